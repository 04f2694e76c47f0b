#!/usr/bin/env bash
# Measures the scaling figures of docs/CAPACITY.md: decisions and messages (bench-slopes), then idle processes by number
# of hosts and servers: processor time, memory, bytes and store calls for each host.
cd "$(dirname "$0")/.." || exit 1
. standins/lib.sh
seconds=${SECONDS_EACH:-8}

metric() { curl -s "http://127.0.0.1:$(host_port "$1" 3)/metrics" | awk -v name="$2" '$1 == name { print $2 }'; }

sum_over() { # FUNCTION HOSTS
    local n total=0
    for n in $(seq 1 "$2"); do total=$((total + $($1 "$n"))); done
    echo $total
}
ticks_of() { awk '{ print $14 + $15 }' "/proc/${pid[host-$1]}/stat"; }
rss_of() { awk '$1 == "VmRSS:" { print $2 }' "/proc/${pid[host-$1]}/status"; }
bytes_of() { metric "$1" peers_bytes_sent; }
calls() { curl -s "$(store_url)/standin/calls" | sed 's/[^0-9,]//g'; }

at_rest() { # HOSTS SERVERS
    start_system "$1" "$2" || { cat "$work"/*.log >&2; exit 1; }
    sleep 4
    local ticks bytes store reads writes watches
    ticks=$(sum_over ticks_of "$1"); bytes=$(sum_over bytes_of "$1"); store=$(calls)
    sleep "$seconds"
    ticks=$(($(sum_over ticks_of "$1") - ticks)); bytes=$(($(sum_over bytes_of "$1") - bytes))
    IFS=, read -r reads writes watches <<<"$(paste -d, <(echo "$store") <(calls) | awk -F, '{ print $4 - $1 "," $5 - $2 "," $6 - $3 }')"
    awk -v h="$1" -v s="$2" -v t="$seconds" -v k="$ticks" -v b="$bytes" -v r="$reads" -v w="$writes" -v a="$watches" -v m="$(sum_over rss_of "$1")" 'BEGIN {
        printf "{\"hosts\":%d,\"servers\":%d,\"corePercentPerHost\":%.3f,\"beatBytesPerSecondPerHost\":%.0f,\"rssKilobytes\":%.0f,\"storeReadsPerSecond\":%.2f,\"storeWritesPerSecond\":%.2f,\"storeWatchesPerSecond\":%.2f}\n", h, s, k / t / h, b / t / h, m / h, r / t, w / t, a / t }'
    kill_all
}

"$bin/bench-slopes" --benchmark_min_time=0.2 2>/dev/null
sizes=("1 6" "5 6" "10 6" "10 24" "20 6")
for size in "${sizes[@]}"; do
    at_rest $size
done 2>/dev/null
