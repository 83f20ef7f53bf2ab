#!/bin/sh
# Builds the stand-ins that the cases 11 to 15 start, into dist/. The programs
# themselves are built by the deploy file, into target/.
set -e
cd "$(dirname "$0")/.."
[ -d node_modules ] || npm ci --silent
npx tsc -p tsconfig.json
