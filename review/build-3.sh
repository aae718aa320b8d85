#!/bin/sh
# The stand-ins of review/kit-3 are plain modules: there is nothing to compile. Checks that they load.
cd "$(dirname "$0")/.." || exit 1
for file in review/kit-3/*.mjs; do
  node --check "$file" || exit 1
done
