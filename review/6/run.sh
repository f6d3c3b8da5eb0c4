#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
folder=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$folder/../.." || exit 2
number=$(basename "$folder")
[ -x "target/review-2/case-$number" ] && [ -x target/release/latchmount ] || exit 2
ROOT=$PWD timeout 120 "target/review-2/case-$number" "review/$number"
code=$?
[ $code -le 1 ] && exit $code
exit 2
