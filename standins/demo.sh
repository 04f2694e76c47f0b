#!/usr/bin/env bash
# The demo: a store, 6 backend servers in 3 data centres and 3 hosts as processes on loopback; a mixed load of
# 6,000 requests while one server is drained and one host is killed. Last line: one line of JSON.
cd "$(dirname "$0")/.." || exit 1
. standins/lib.sh

start_system 3 6 || { cat "$work"/*.log >&2; exit 1; }
before=$(owners_given)
"$bin/standin-callers" --hosts "$(host_list 3)" --killed "127.0.0.1:$(host_port 3 1)" --requests 6000 --rate 600 \
    --records "$work" >"$work/verdict.json" &
load=$!
sleep 2
ctl drain server-2 --wait >&2
sleep 2
kill -KILL "${pid[host-3]}"
wait $load
status=$?
after=$(owners_given)
sed "s/}\$/,\"ownersMoved\":$((after - before))}/" "$work/verdict.json"
exit $status
