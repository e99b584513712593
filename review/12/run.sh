#!/bin/sh
# Exits with 1 if a job is shown as failed though none of its runs has failed, 0 if not, 2 if the case could not run.
exec node "$(dirname "$0")/run.mjs"
