#!/usr/bin/env bash
# The stand-ins of the cases are plain modules of Node.js and need no build; this checks their syntax.
cd "$(dirname "$0")/.." || exit 2
for file in review/lib/*.mjs review/*/case.mjs; do
  node --check "$file" || exit 1
done
