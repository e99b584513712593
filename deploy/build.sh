#!/bin/sh
# Installs the packages and bundles the deployed program.
set -eu

program=target/scheduler.mjs
# Copy of the lock file that the installed packages were installed from.
installed_lock=node_modules/.installed-lock.json

# The bundler is a binary for one processor architecture, which a folder from another machine may lack.
bundler_runs() {
  node -e "require('esbuild').transformSync('')" > /dev/null 2>&1
}

# Compares contents, since a fresh checkout gives an unchanged lock file a new time.
packages_are_current() {
  cmp -s package-lock.json "$installed_lock" && bundler_runs
}

# If this build fails, there must be no program of an earlier commit to start.
rm -f "$program"

if ! packages_are_current; then
  npm ci --silent --no-audit --no-fund
  cp package-lock.json "$installed_lock"
fi
node deploy/bundle.mjs "$program"
