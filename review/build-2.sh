#!/bin/sh
# Builds every stand-in that the scripts of review/4 and review/5 start. They are plain modules of Node without a dependency, so this only checks that they can be read.
cd "$(dirname "$0")/.." && for file in review/lib-2/*.mjs review/4/run.mjs review/5/run.mjs review/extra-2/*.mjs; do node --check "$file" || exit 1; done
