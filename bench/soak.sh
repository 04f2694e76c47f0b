#!/usr/bin/env bash
# Random faults from a printed seed, under load, for SOAK seconds (600); verified by the same checks as the demo.
#     SEED=n bench/soak.sh        last line: rounds, faults, violations. Exit status 1 on a violation.
cd "$(dirname "$0")/.." || exit 1
. standins/lib.sh
seed=${SEED:-$(date +%s)}
echo "seed $seed"
RANDOM=$((seed % 32768))
total=${SOAK:-600}
start_system 4 6 || { cat "$work"/*.log >&2; exit 1; }
violations=0 rounds=0 faults=0

store_faults() { curl -s -o /dev/null -X POST -d "$1" "$(store_url)/standin/faults"; }

strike() { # HOST: injects one random fault and ends it; host faults affect this host only
    local server=$((RANDOM % 6 + 1)) host=$1 pause
    pause=0.$((RANDOM % 9 + 1))
    faults=$((faults + 1))
    case $((RANDOM % 7)) in
    0) echo "crash server-$server"; kill -KILL "${pid[server-$server]}"; sleep 2; start_server $server ;;
    1) echo "freeze server-$server"; kill -STOP "${pid[server-$server]}"; sleep 2$pause; kill -CONT "${pid[server-$server]}" ;;
    2) echo "blink server-$server"; kill -STOP "${pid[server-$server]}"; sleep $pause; kill -CONT "${pid[server-$server]}" ;;
    3) echo "kill host-$host"; kill -KILL "${pid[host-$host]}"; sleep 1; start_host "$host" "dc-$((host % 3 + 1))" ;;
    4) echo "freeze host-$host"; kill -STOP "${pid[host-$host]}"; sleep 1$pause; kill -CONT "${pid[host-$host]}" ;;
    5) echo "store down"; store_faults '{"down":true}'; sleep 3; store_faults '{}' ;;
    6) echo "answers lost"; store_faults '{"loseAnswers":2}'; sleep 1; store_faults '{}' ;;
    esac
}

while [ $SECONDS -lt "$total" ]; do
    rounds=$((rounds + 1))
    host=$((RANDOM % 3 + 2)) # host 1 must stay up for ctl
    "$bin/standin-callers" --hosts "$(host_list 4)" --killed "127.0.0.1:$(host_port $host 1)" --requests 4500 --rate 300 \
        --keys 120 --skew 1 --records "$work" --seed $((seed % 1000000 * 1000 + rounds)) >"$work/soak.verdict" &
    load=$!
    sleep 1
    for _ in 1 2 3; do strike $host; sleep 1; done
    wait $load || { violations=$((violations + 1)); cat "$work/soak.verdict"; }
    grep -q '"lost":0' "$work/soak.verdict" || { violations=$((violations + 1)); cat "$work/soak.verdict"; }
    for n in 1 2 3 4; do wait_until 20 host_routes $n || violations=$((violations + 1)); done
done 2>/dev/null
echo "{\"rounds\":$rounds,\"faults\":$faults,\"violations\":$violations}"
[ $violations = 0 ]
