#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
# TROUBLE=0 leaves out the disruption. Needs the build of the deploy file and
# review/build-3.sh.
set -u
here="$(cd "$(dirname "$0")" && pwd)"
cd "$here/../.." || exit 2
[ -x target/review-3/case-reset ] || exit 2
target/review-3/case-reset "$here/record.txt"
