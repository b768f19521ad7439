#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if it couldn't run.
# TROUBLE=0 plays the same without the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/bin/dragonflylockd ] && [ -x target/review-2/standin ] || exit 2
work=$(mktemp -d) || exit 2
target/review-2/standin case late-start "$work" target/review-2/standin
result=$?
cp "$work/record.txt" review/8/record.txt || result=2
rm -rf "$work"
exit $result
