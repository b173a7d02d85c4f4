#!/usr/bin/env bash
# Exit code 1: the rule was broken, 0: it held, 2: the case could not run. With TROUBLE=0 there is no disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-2/case_departed ] || exit 2
OUTAGE=1 target/review-2/case_departed review/10/record.txt
