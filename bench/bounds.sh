#!/usr/bin/env bash
# Runs the slopes and checks their ratios against bounds.json. Results as JSON in the file named by RESULT. Several short
# measurements of each, mixed: the check takes the quickest, as other processes only ever add time.
cd "$(dirname "$0")/.." || exit 1
bin=${BIN:-build/bin}
result=${RESULT:-$(mktemp)}
"$bin/bench-slopes" --benchmark_min_time=0.01 --benchmark_repetitions=7 \
    --benchmark_enable_random_interleaving=true --benchmark_out="$result" --benchmark_out_format=json \
    >/dev/null 2>&1 || exit 1
"$bin/bench-check-bounds" "$result" bench/bounds.json
