#!/usr/bin/env bash
# A coordinator that stood still for five seconds orders again, seconds after another one has taken over. See claim.txt.
# Exit status: 1 the rule was broken, 0 it held, 2 the case couldn't run. TROUBLE=0: the same without the cut and the freeze.
#     BIN: cumindaled, as the deploy file builds it; STANDINS: what review/build-2.sh builds
cd "$(dirname "$0")/../.." || exit 2
here=$PWD/review/6
bin=${BIN:-target/bin}
standins=${STANDINS:-target/review-2/bin}
trouble=${TROUBLE:-1}
work=$(mktemp -d) || exit 2
record=$here/record.txt
hosts=10 # one is a share of 0.1
declare -A pid

for program in "$bin/cumindaled" "$standins"/standin-platform-{store,server} "$standins"/{standin-proxy,gate,fetch}; do
    [ -x "$program" ] || { echo "missing: $program" >&2; exit 2; }
done

start() { # NAME COMMAND...
    local name=$1
    shift
    "$@" >>"$work/$name.log" 2>&1 &
    pid[$name]=$!
    disown # bash would report how it ended
}

stop_all() {
    local name
    touch "$work/stop"
    for name in "${!pid[@]}"; do
        kill -CONT "${pid[$name]}" 2>/dev/null
        kill -KILL "${pid[$name]}" 2>/dev/null
    done
    wait 2>/dev/null # for the callers
    if [ -n "${KEEP:-}" ]; then echo "$work" >&2; else rm -rf "$work"; fi
}
trap stop_all EXIT
trap 'exit 2' HUP INT TERM
curl() { "$standins/fetch" "$@"; }

port_is_free() { ! (exec 3<>"/dev/tcp/127.0.0.1/$1") 2>/dev/null; }
choose_base() { # a range of free ports
    local try port
    for try in $(seq 1 50); do
        base=$((20000 + RANDOM % 120 * 80))
        for port in $(seq "$base" $((base + 75))); do port_is_free "$port" || continue 2; done
        return 0
    done
    return 1
}
choose_base || exit 2
store=$base control=$((base + 1)) beats=$((base + 2)) beats_faults=$((base + 3)) gate=$((base + 4)) # of server 1
server_port() { echo $((base + 4 + $1)); } # up to 6
host_port() { echo $((base + 5 + 6 * $1 + $2)); } # N 1: callers, 2: peers, 3: operators, 4: readiness, 5: to the store, 6: its faults

wait_until() { # SECONDS COMMAND...
    local end=$((SECONDS + $1))
    shift
    until "$@" >/dev/null 2>&1; do
        [ $SECONDS -lt $end ] || { echo "gave up waiting for: $*" >&2; return 1; }
        sleep 0.05
    done
}
now() { awk '{ printf "%.3f", $1 }' /proc/uptime; }
note() { echo "$(now) $*" | tee -a "$record"; }
faults() { curl -sf -m 2 -o /dev/null -X POST -d "$2" "http://127.0.0.1:$1/faults"; } # CONTROL-PORT JSON

start_host() { # N: settings as platform/settings.json.in fills them in, with the bounds of a small site
    cat >"$work/host-$1.json" <<SETTINGS
{ "host": { "name": "host-$1", "dataCentre": "dc-1", "callers": "127.0.0.1:$(host_port "$1" 1)",
    "peers": "127.0.0.1:$(host_port "$1" 2)", "operators": "127.0.0.1:$(host_port "$1" 3)",
    "store": "127.0.0.1:$(host_port "$1" 5)" },
  "gateway": { "platform": "metadata-store", "readiness": "127.0.0.1:$(host_port "$1" 4)", "strength": 0.2,
    "memoryMegabytes": 260, "descriptors": 4100, "longestHoldSeconds": 10, "shortestLeaseSeconds": 1,
    "leaveWithinSeconds": 2, "rulesWithinSeconds": 2, "graceSeconds": 6, "retryRatio": 0.2, "retrySlack": 60 } }
SETTINGS
    start "store-link-$1" "$standins/standin-proxy" --port "$(host_port "$1" 5)" --control_port "$(host_port "$1" 6)" \
        --target "$store"
    start "host-$1" "$bin/cumindaled" --settings "$work/host-$1.json"
}

start_server() { # N PUBLIC-PORT STORE-CONTROL-PORT
    start "server-$1" "$standins/standin-platform-server" --port "$(server_port "$1")" --name "i-$1" --service desk \
        --public_port "$2" --data_centre dc-1 --store_control "$3" --slots 4 --work_ms 20 --record "$work/server-$1.record"
}

asks() { # HOST NUMBER: a caller, one request after the other; writes what was sent and answered
    local n=0 id key
    RANDOM=$(($1 * 100 + $2))
    while [ ! -e "$work/stop" ]; do
        n=$((n + 1)) id=c$1-$2-$n key=$((RANDOM * 2))
        echo "$(now) sent $id key $key host-$1" >>"$work/asked-$1-$2"
        echo "$(now) answered $id $(curl -s -m 1 -o /dev/null -w '%{http_code}' -H 'Host: desk.example' \
            -H "X-Request-Id: $id" -H 'X-Request-Deadline-Ms: 1000' -H "X-Shard-Key: $key" \
            "http://127.0.0.1:$(host_port "$1" 1)/lookup/$key")" >>"$work/asked-$1-$2"
        sleep 0.02
    done
}

coordinates() { curl -sf -m 1 "http://127.0.0.1:$(host_port "$1" 3)/status" | grep -q '"coordinates":true'; }
serves() {
    [ "$(curl -s -m 1 -o /dev/null -w '%{http_code}' -H 'Host: desk.example' -H "X-Request-Id: ready-$1-$RANDOM$RANDOM" \
        -H 'X-Request-Deadline-Ms: 1000' -H 'X-Shard-Key: 1' "http://127.0.0.1:$(host_port "$1" 1)/lookup/1")" = 200 ]
}

: >"$record"
start store "$standins/standin-platform-store" --port "$store" --control_port "$control"
wait_until 5 curl -sf "http://127.0.0.1:$control/item?key=none" || exit 2
curl -sf -o /dev/null -X PUT --data-binary @- "http://127.0.0.1:$control/item?key=op/config" <<'RULES'
{"version":1,"routes":[{"name":"lookup","host":"desk.example","path_prefix":"/lookup/","route_type":"safe","timeout_s":1,
  "target_latency_s":0.4,"priority":2,"service":"desk","max_attempts":2},
 {"name":"file","host":"desk.example","path_prefix":"/file/","route_type":"safe","timeout_s":1,"target_latency_s":0.4,
  "priority":2,"service":"vault","max_attempts":2}],
 "services":[{"name":"desk","health_path":"/health","max_connections":120,"sharded":true},
  {"name":"vault","health_path":"/health","max_connections":120}],
 "limits":{"max_header_bytes":16384,"max_body_bytes":1000000,"header_timeout_s":3,"idle_timeout_s":15}}
RULES
start beats "$standins/standin-proxy" --port "$beats" --control_port "$beats_faults" --target "$control"
start gate "$standins/gate" "$gate" "$(server_port 1)" "$work/island"
start_server 1 "$gate" "$beats"
for n in 3 4 5 6; do # of another service, without keys: server 1 is one upstream of five
    start "server-$n" "$standins/standin-platform-server" --port "$(server_port "$n")" --name "i-$n" --service vault --nokeyed \
        --data_centre dc-1 --store_control "$control" --slots 4 --work_ms 20 --record "$work/server-$n.record"
done
for n in $(seq 1 $hosts); do start_host "$n"; done
for n in $(seq 1 $hosts); do wait_until $((40 - SECONDS)) serves "$n" || { tail -n 3 "$work"/*.log >&2; exit 2; }; done
sleep 4 # until the list of hosts is in the store
first=
for n in $(seq 1 $hosts); do coordinates "$n" && first=$n; done
[ -n "$first" ] || { echo "no coordinator" >&2; exit 2; }
note "host-$first coordinates"
for n in $(seq 1 $hosts); do
    asks "$n" 1 &
done
sleep 2
thaw=0 heal=0
if [ "$trouble" = 1 ]; then
    note "server 1 and host-$first are cut off from the store and from the other hosts"
    echo "${pid[host-$first]}" >"$work/island.new" && mv "$work/island.new" "$work/island"
    faults "$beats_faults" '{"holdTo":true,"holdFrom":true}'
    faults "$(host_port "$first" 6)" '{"holdTo":true,"holdFrom":true}'
    note "host-$first is frozen"
    kill -STOP "${pid[host-$first]}"
else
    sleep 0.1
fi
sleep 1
note "server 2 joins"
start_server 2 "$(server_port 2)" "$control"
sleep 4
if [ "$trouble" = 1 ]; then
    thaw=$(now)
    kill -CONT "${pid[host-$first]}"
    note "host-$first goes on"
fi
sleep 5
if [ "$trouble" = 1 ]; then
    heal=$(now)
    rm -f "$work/island"
    faults "$beats_faults" '{}'
    faults "$(host_port "$first" 6)" '{}'
    note "the cut is over"
fi
sleep 3
touch "$work/stop"
sleep 1.2
sort -n "$work"/asked-* >>"$record"
for n in 1 2; do sed "s/^/server-$n /" "$work/server-$n.record" >>"$record"; done
[ "$(grep -c ' answered .* 200$' "$record")" -ge 100 ] || { echo "too few answers" >&2; exit 2; }

# Holds of the same keys at server 1 and another that overlap, with requests that both servers began meanwhile. Grants that arrived
# within thaw_slack_s after the thaw or the end of the cut don't count.
awk -v thaw="$thaw" -v heal="$heal" '
    function end_holds(server, first, last, at,   i) {
        for (i = 1; i <= count; ++i)
            if (owner[i] == server && from[i] <= last && first <= to[i] && until[i] > at) until[i] = at
    }
    $1 ~ /^server-[0-9]$/ && $2 == "G" {
        at = $6 / 1e6
        end_holds($1, $3, $4, at)
        ++count; owner[count] = $1; from[count] = $3; to[count] = $4; begin[count] = at; until[count] = at + $5 / 1000
    }
    $1 ~ /^server-[0-9]$/ && $2 == "R" { end_holds($1, $3, $4, $5 / 1e6) }
    $1 ~ /^server-[0-9]$/ && $2 == "B" { ++runs; ran_at[runs] = $1; key[runs] = $4; ran[runs] = $6 / 1e6 }
    function begins(server, first, last, since, before,   i) {
        for (i = 1; i <= runs; ++i)
            if (ran_at[i] == server && key[i] >= first && key[i] <= last && ran[i] >= since && ran[i] < before) return 1
        return 0
    }
    function excused(at) { return (thaw > 0 && at >= thaw && at <= thaw + slack) || (heal > 0 && at >= heal && at <= heal + slack) }
    END {
        slack = 0.3
        for (i = 1; i <= count; ++i) for (j = 1; j <= count; ++j) {
            if (owner[i] != "server-1" || owner[j] == owner[i]) continue
            first = from[i] > from[j] ? from[i] : from[j]; last = to[i] < to[j] ? to[i] : to[j]
            since = begin[i] > begin[j] ? begin[i] : begin[j]; before = until[i] < until[j] ? until[i] : until[j]
            if (first > last || since >= before) continue
            if (excused(begin[i]) || excused(begin[j])) continue
            both = begins(owner[i], first, last, since, before) && begins(owner[j], first, last, since, before)
            printf "both hold %d to %d for %.3f s from %.3f on; grants at %.3f (server 1) and %.3f (%s); requests on both: %s\n",
                first, last, before - since, since, begin[i], begin[j], owner[j], both ? "yes" : "no"
            if (both) broken = 1
        }
        exit broken
    }' "$record" >"$work/verdict"
broken=$?
head -n 20 "$work/verdict" | tee -a "$record"
if [ $broken = 1 ]; then echo "OWNER broken"; exit 1; fi
echo "OWNER held"
