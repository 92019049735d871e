#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review/driver ] && [ -x target/release/glenfall ] || { echo "build first: the deploy file, review/build.sh"; exit 2; }
exec target/review/driver slow-fetch target/release/glenfall review/3/record.txt
