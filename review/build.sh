#!/usr/bin/env bash
# Builds what the scripts start besides the entries. The stand-ins are plain
# JavaScript and need no build; this checks that Node.js can read them.
set -e
cd "$(dirname "$0")"
for file in lib/*.mjs [0-9]/*.mjs; do node --check "$file"; done
