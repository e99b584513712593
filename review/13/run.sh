#!/bin/sh
# Exits with 1 if members of one run of a gang start with different checkpoints, 0 if not, 2 if the case could not run.
exec node "$(dirname "$0")/run.mjs"
