#!/usr/bin/env bash
# Builds the one binary into target/, from a clean checkout or again.
set -euo pipefail
cd "$(dirname "$0")/.."
# Packages that were installed on another kind of machine hold a runtime that does not start here.
if ! [ node_modules/.package-lock.json -nt package-lock.json ] || ! node_modules/.bin/node --version >/dev/null 2>&1; then
	npm ci --no-audit --no-fund --loglevel=error
fi
deploy/link-runtime.sh
export PATH="$PWD/node_modules/.bin:$PATH"
node cli/valvesaddle/build.ts target
