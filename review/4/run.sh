#!/bin/sh
# Runs the case once; TROUBLE=0 leaves the disruption out. Writes review/4/record.txt.
cd "$(dirname "$0")/../.." && exec node review/4/run.mjs review/4/record.txt
