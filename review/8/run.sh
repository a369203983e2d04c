#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: without the disruption.
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
program=target/review-2/release/review-2
[ -x "$program" ] && [ -x target/release/milletwing-system ] || exit 2
REVIEW_PROCESSES=$(mktemp) || exit 2
export REVIEW_PROCESSES
# What the program has not ended itself, because it was ended from outside.
end() {
    while read -r process; do kill -s KILL "$process"; done < "$REVIEW_PROCESSES" 2> /dev/null
    rm -f "$REVIEW_PROCESSES"
}
"$program" retest "$here" &
running=$!
trap 'kill -s KILL "$running" 2> /dev/null; end; exit 2' INT TERM HUP
wait "$running"
code=$?
if [ "$code" -gt 2 ]; then end; code=2; fi
rm -f "$REVIEW_PROCESSES"
exit "$code"
