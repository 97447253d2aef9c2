#!/bin/sh
# Prepares what the scripts of the second review start. Their stand-ins are
# plain modules of the runtime in kit-2/, so that there is nothing to compile;
# the programs themselves are built by the build line of deploy/system.toml.
cd "$(dirname "$0")/.." || exit 2
for file in review/kit-2/*.mjs review/[4-8]/*.mjs; do
  [ -e "$file" ] || continue
  node --check "$file" || exit 1
done
test -e target/main.cjs || node platform/build.mjs
