#!/bin/sh
# The stand-ins and callers of the cases 6 to 10 are plain modules of Node.js: there is nothing to compile. Checks that
# they can be loaded.
set -eu
cd "$(dirname "$0")"
for module in lib-2/*.mjs; do
  node --check "$module"
done
