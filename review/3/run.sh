#!/bin/bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -f target/agatepond.cjs ] || node tools/target.mjs || exit 2
exec node review/3/run.mjs review/3/record.txt
