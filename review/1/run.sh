#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
set -u
cd "$(dirname "$0")/../.." || exit 2
[ -x target/limpetwall ] && [ -x target/limpetwall-review ] || { echo "run the build of the deploy file and review/build.sh first"; exit 2; }
TROUBLE="${TROUBLE:-1}" exec timeout --preserve-status -k 5 115 target/limpetwall-review free review/1/record.txt
