#!/usr/bin/env bash
# Builds what the scripts start: the bundle, by the command of the deploy file.
# The stand-ins are plain modules of the runtime and need no build.
set -euo pipefail
cd "$(dirname "$0")/.."
[ -d node_modules ] || npm ci --silent
node platform/build.mjs
