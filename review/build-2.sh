#!/bin/sh
# Builds the stand-ins of review/6 to review/10. They are in review/harness-2.mjs
# and the case.mjs files: plain Node.js without dependencies, so nothing is
# compiled; this checks that Node.js can parse them.
cd "$(dirname "$0")" || exit 1
for file in harness-2.mjs [0-9]*/case.mjs; do
  node --check "$file" || exit 1
done
