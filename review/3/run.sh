#!/usr/bin/env bash
# Plays the case; exits with 1 if the rule was broken, 0 if it held, and 2 if it could not run.
# TROUBLE=0 leaves the disruption out. Needs the build of the deploy file and review/build.sh.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/crowbridged ] && [ -x target/reviewstandin ] || exit 2
exec timeout --signal=TERM --kill-after=2 118 target/reviewstandin drain review/3/record.txt
