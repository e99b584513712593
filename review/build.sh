#!/bin/sh
# Builds what the scripts start. The stand-ins are plain modules and need no build step; they are only checked.
# The deployed program is built by the command of deploy/system.toml.
set -e
cd "$(dirname "$0")"
for file in lib/*.mjs [1-5]/*.mjs; do
  node --check "$file"
done
