#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. TROUBLE=0 leaves out the
# disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/garnet-node ] && [ -x target/review-standin ] || { echo "build the deploy file and review/build.sh first" >&2; exit 2; }
exec target/review-standin usage target/garnet-node review/3/record.txt
