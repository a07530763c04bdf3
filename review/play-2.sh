#!/usr/bin/env bash
# Plays a script of the second review: "case6" and "case7", and "silence" and "wide-events", which
# are findings beside the five cases. Starts the driver, which starts the entry processes and the
# replicas, and ends what is left of them if the driver runs too long.
set -u
cd "$(dirname "$0")/.." || exit 2
driver=target/review-2/release/review-case
if [[ ! -x $driver || ! -x target/release/jacinthrock-entry ]]; then
    echo "run the build of deploy/system.toml and review/build-2.sh first" >&2
    exit 2
fi
folder=$(mktemp -d) || exit 2
trap 'rm -rf "$folder"' EXIT
record=$folder/record.txt
[[ -d review/${1#case} ]] && record=review/${1#case}/record.txt
timeout 112 "$driver" "$1" "$folder" "$record"
code=$?
if ((code > 1)); then
    while read -r id; do
        kill -KILL "$id" 2>/dev/null
    done <"$folder/processes"
    exit 2
fi
exit "$code"
