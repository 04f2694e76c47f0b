#!/usr/bin/env bash
# Runs the scaling benchmarks and checks their ratios against bounds.json. Writes the results as JSON to the file named
# by RESULT. Each benchmark runs several times in random order; the check takes the quickest run, as other processes can
# only add time.
cd "$(dirname "$0")/.." || exit 1
bin=${BIN:-build/bin}
result=${RESULT:-$(mktemp)}
"$bin/bench-slopes" --benchmark_min_time=0.01 --benchmark_repetitions=7 \
    --benchmark_enable_random_interleaving=true --benchmark_out="$result" --benchmark_out_format=json \
    >/dev/null 2>&1 || exit 1
"$bin/bench-check-bounds" "$result" bench/bounds.json
