#!/usr/bin/env bash
# Runs the slopes and checks their ratios against bounds.json. Results as JSON in the file named by RESULT.
cd "$(dirname "$0")/.." || exit 1
bin=${BIN:-build/bin}
result=${RESULT:-$(mktemp)}
"$bin/bench-slopes" --benchmark_min_time=0.05 --benchmark_out="$result" --benchmark_out_format=json \
    >/dev/null 2>&1 || exit 1
"$bin/bench-check-bounds" "$result" bench/bounds.json
