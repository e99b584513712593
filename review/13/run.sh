#!/bin/sh
# Exits with 1 if an accepted job is answered 410, 0 if not, 2 if the case could not run.
exec node "$(dirname "$0")/run.mjs"
