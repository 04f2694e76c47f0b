#!/usr/bin/env bash
# Plays one case: PROGRAM of target/review, in the folder of the case. Called by the cases' run.sh. The program starts
# the processes and ends them; they also end with it. Exit status 0: the rule held, 1: it was broken, 2: it couldn't run.
case_folder=$(cd "$1" && pwd) || exit 2
cd "$(dirname "$0")/.." || exit 2
program=target/review/$2
[ -x "$program" ] && [ -x target/bin/cumindaled ] || { echo "build first: deploy/system.toml, review/build.sh"; exit 2; }
work=$(mktemp -d) || exit 2
trap 'rm -rf "$work"' EXIT
timeout -k 2 116 "$program" "$work" target/review/standin-store "$case_folder/record.txt" >"$work/out"
status=$?
cat "$work/out"
[ $status = 0 ] || [ $status = 1 ] || { tail -n 5 "$work"/*.log; exit 2; }
exit $status
