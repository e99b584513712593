#!/bin/sh
# Checks the stand-ins of the cases 11 to 15. They are plain modules of Node.js and need no other build.
set -eu
cd "$(dirname "$0")"
for module in lib-3/*.mjs 1[1-5]/*.mjs; do
  [ ! -f "$module" ] || node --check "$module"
done
