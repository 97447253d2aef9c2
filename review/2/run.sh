#!/usr/bin/env bash
# Exits with 1 if LOST was broken, 0 if it held, 2 if the case couldn't run.
# TROUBLE=0 runs the same without the planned stops.
exec node "$(dirname "$0")/run.mjs"
