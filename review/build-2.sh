#!/bin/sh
# Builds every stand-in that the scripts of cases 6 to 10 start. They are plain modules that run in the script's own process and
# need nothing but Node.js, so that there is nothing to translate; each is parsed once.
set -e
cd "$(dirname "$0")"
for file in stand-ins/*.mjs 6/*.mjs 7/*.mjs 8/*.mjs 9/*.mjs; do node --check "$file"; done
