#!/bin/sh
# Exits with 1 if two runs of a work unit were at work at the same time, 0 if not, 2 if the case could not run.
exec node "$(dirname "$0")/run.mjs"
