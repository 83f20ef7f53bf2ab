#!/usr/bin/env bash
# The stand-ins are plain JavaScript and need no build; checks their syntax.
set -euo pipefail
cd "$(dirname "$0")"
for file in harness.mjs */case.mjs; do node --check "$file"; done
