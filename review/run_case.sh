#!/usr/bin/env bash
# Plays one case: PROGRAM of target/review, in the folder of the case. Called by the cases' run.sh, with TROUBLE set. The
# program starts the processes and ends them; those that are left are ended here, by their ids. Exit status 0: the rule
# held, 1: it was broken, 2: it couldn't run.
case_folder=$(cd "$1" && pwd) || exit 2
cd "$(dirname "$0")/.." || exit 2
program=target/review/$2
[ -x "$program" ] && [ -x target/bin/cumindaled ] || { echo "build first: deploy/system.toml, review/build.sh"; exit 2; }
work=$(mktemp -d) || exit 2
player=

end_all() {
    [ -n "$player" ] && kill "$player" 2>/dev/null && wait "$player"
    # Ids of processes that the program has ended itself are no longer in the file.
    [ -f "$work/pids" ] && while read -r pid; do kill -KILL "$pid" 2>/dev/null; done <"$work/pids"
    rm -rf "$work"
}
trap end_all EXIT
trap 'exit 2' TERM INT

timeout -k 2 114 "$program" "$work" target/review/standin-store "$case_folder/record.txt" >"$work/out" &
player=$!
wait "$player"
status=$?
player=
cat "$work/out"
[ $status = 0 ] || [ $status = 1 ] || { tail -n 5 "$work"/*.log; exit 2; }
exit $status
