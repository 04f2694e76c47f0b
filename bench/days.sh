#!/usr/bin/env bash
# Runs the scenarios under deploy/days, one kind of fault each (first single, then two overlapping), on one deployment,
# and lists those in which a rule was violated or a process failed.
#
#     BENCH=/path/to/program SITE=/path/to/site.toml SEED=7 JOBS=4 ./bench/days.sh [day ...]
#
# Kinds that the deployment's contracts don't define are counted as skipped. Exits 1 if a rule was violated.
set -eu
cd "$(dirname "$0")/.."
: "${BENCH:?the program that plays days}" "${SITE:?the file of the deployment}"
seed=${SEED:-7}
logs=$(mktemp -d)
days=("$@")
[ ${#days[@]} -gt 0 ] || days=(deploy/days/*.toml)
"$BENCH" build > "$logs/build" 2>&1 || { cat "$logs/build"; exit 2; }
printf '%s\n' "${days[@]}" | xargs -P "${JOBS:-4}" -I{} sh -c \
    '"$0" run "$1" "$2" --seed "$3" --jobs 1 > "$4/$(basename "$2" .toml)" 2>&1 || true' "$BENCH" "$SITE" {} "$seed" "$logs"
rm "$logs/build"
played=0
skipped=0
broken=0
for log in "$logs"/*; do
    day=$(basename "$log")
    if grep -q 'is not open' "$log"; then
        skipped=$((skipped + 1))
    elif ! grep -qE '^worth [0-9-]' "$log"; then
        echo "not played: $day: $(tail -1 "$log")"
        broken=$((broken + 1))
    elif grep -qE 'BROKEN|^rules broken|FAULT' "$log"; then
        echo "broken: $day, seed $seed"
        grep -E '^rules broken|^[A-Z]+ at |FAULT' "$log" | sed 's/^/    /'
        broken=$((broken + 1))
    else
        played=$((played + 1))
    fi
done
echo "$played days without a broken rule, $broken with, $skipped skipped; reports in $logs"
[ "$broken" -eq 0 ]
