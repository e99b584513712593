#!/bin/sh
# Installs the packages and bundles the deployed program. Installed packages are kept only if they are newer than the lock
# file and run on this machine: the bundler is a binary for one processor architecture, so a folder that was carried over
# from a machine of another kind is installed anew.
set -eu
runs_here() {
  node -e "require('esbuild').transformSync('')" > /dev/null 2>&1
}
if ! [ node_modules -nt package-lock.json ] || ! runs_here; then
  npm ci --silent --no-audit --no-fund
fi
node deploy/bundle.mjs
