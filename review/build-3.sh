#!/bin/sh
# The stand-ins of review/kit-3, and the guard that they start, are plain modules: there is nothing to compile. Checks that they load.
cd "$(dirname "$0")/.." || exit 1
for file in review/kit-3/*.mjs review/stand-ins/guard.mjs; do
  node --check "$file" || exit 1
done
