#!/bin/bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: without the disruption.
cd "$(dirname "$0")" || exit 2
export REVIEW_ROOT="$(cd ../.. && pwd)" TROUBLE="${TROUBLE:-1}"
program="$REVIEW_ROOT/target/review/release/review-standin"
[ -x "$program" ] || exit 2
timeout -k 5 115 "$program" stale-pages "$PWD/record.txt"
code=$?
[ $code -le 1 ] && exit $code
exit 2
