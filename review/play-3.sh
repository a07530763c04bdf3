#!/bin/bash
# play-3.sh CASE FOLDER: plays a case of the stand-ins in a process group of its own and ends all of
# its processes. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/.." || exit 2
program=review/standins-3/target/release/review-standins-3
[ -x "$program" ] && [ -x target/release/jacinthrock-entry ] || { echo "build first" >&2; exit 2; }
set -m
"$program" "$1" "$2" &
group=$!
trap 'kill -KILL -- "-$group" 2>/dev/null' EXIT
trap 'exit 2' INT TERM
(sleep 118; kill -KILL -- "-$group") >/dev/null 2>&1 &
timer=$!
disown "$timer"
wait "$group"
code=$?
kill -KILL -- "-$timer" 2>/dev/null
[ "$code" -le 1 ] || code=2
exit "$code"
