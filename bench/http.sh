#!/usr/bin/env bash
# Measures a host's overhead: the same load directly on the stand-in servers and through one host, in one run.
cd "$(dirname "$0")/.." || exit 1
. standins/lib.sh
seconds=${SECONDS_EACH:-5}
start_system 1 6 || { cat "$work"/*.log >&2; exit 1; }
direct=$(for n in 1 2 3 4 5 6; do echo "127.0.0.1:$(server_port $n)"; done | paste -sd,)
cpu() { awk '{ print $14 + $15 }' "/proc/${pid[host-1]}/stat"; }
run() { "$bin/bench-http" --seconds "$seconds" "$@"; }
echo "{\"load\":\"direct 2000/s\",\"result\":$(run --targets $direct --rate 2000 --connections 24)}"
echo "{\"load\":\"through 2000/s\",\"result\":$(run --targets "$(host_list 1)" --rate 2000 --connections 24)}"
echo "{\"load\":\"direct closed\",\"result\":$(run --targets $direct --connections 48)}"
before=$(cpu)
result=$(run --targets "$(host_list 1)" --connections 48)
used=$(($(cpu) - before))
echo "{\"load\":\"through closed\",\"result\":$result,\"cpuTicks\":$used}"
