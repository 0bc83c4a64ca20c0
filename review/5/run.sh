#!/bin/sh
# Runs the case once; TROUBLE=0 leaves the disruption out. Writes review/5/record.txt.
cd "$(dirname "$0")/../.." && exec node review/5/run.mjs review/5/record.txt
