#!/usr/bin/env bash
# The stand-ins are plain modules of Node.js: nothing is compiled, they are only checked.
set -e
cd "$(dirname "$0")"
for file in lib/*.mjs [0-9]/*.mjs; do node --check "$file"; done
