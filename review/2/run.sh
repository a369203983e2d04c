#!/bin/bash
# Orders that come to an edge while it leaves after SIGTERM. 1: the rule was broken, 0: it held, 2: it could not run.
# TROUBLE=0: the same without the SIGTERM. Beforehand: the build of deploy/system.toml, and review/build.sh.
folder="$(cd "$(dirname "$0")" && pwd)"
cd "$folder/../.." || exit 2
program=review/standins/target/release/leave
[ -x "$program" ] || bash review/build.sh || exit 2
RECORD="$folder/record.txt" timeout -k 5 110 "$program"
code=$?
[ "$code" -le 1 ] && exit "$code"
exit 2
