#!/bin/sh
# Plays the case; with TROUBLE=0 without the disruption. Exits with 1 if the rule was broken, 0 if it held, 2 if the case
# could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/ospreymoor ] && [ -x target/review-standin ] || { echo "build the software and review/build.sh first" >&2; exit 2; }
if [ "${TROUBLE:-1}" = 0 ]; then
	exec target/review-standin 3 0
fi
exec target/review-standin 3 1
