#!/usr/bin/env bash
# Tests all guarantees: the two long series of server losses in parallel with the rest, each on its own ports. Exit
# status 1 on a violation.
cd "$(dirname "$0")/.." || exit 1
LOSSES=${LOSSES:-50} BASE=9000 ./bench/prove.sh crash &
crash=$!
LOSSES=${LOSSES:-50} BASE=11000 ./bench/prove.sh freeze &
freeze=$!
./bench/prove.sh leaves short_freeze host_killed assigner_killed majority_lost host_frozen store_down store_faults operators_race \
    host_cut_from_server grants slow_uploads silent_connections hosts_replaced budget
status=$?
wait $crash || status=1
wait $freeze || status=1
./bench/prove.sh overload || status=1 # not in parallel: it saturates the servers
exit $status
