# What the scripts of review/6 to review/10 share: start and end of processes, free ports, settings. Sourced from the
# project's folder after `case` (the case's folder) and `ports` (how many it needs) are set; sets `work` (a temporary
# folder), `record` and `base` (the first of a range of free ports).
#     BIN: cumindaled, as the deploy file builds it; STANDINS: what review/build-2.sh builds; TROUBLE=0: no disturbance;
#     KEEP=1 keeps the logs
bin=${BIN:-target/bin}
standins=${STANDINS:-target/review-2/bin}
trouble=${TROUBLE:-1}
work=$(mktemp -d) || exit 2
record=$PWD/$case/record.txt
declare -A pid

for program in "$bin/cumindaled" "$standins"/standin-platform-{store,server} "$standins"/{standin-proxy,gate,slow-callers,spoiled,fetch}; do
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
choose_base() {
    local try port
    for try in $(seq 1 50); do
        base=$((20000 + RANDOM % 150 * 64))
        for port in $(seq "$base" $((base + ports - 1))); do port_is_free "$port" || continue 2; done
        return 0
    done
    return 1
}
choose_base || exit 2
store=$base
control=$((base + 1))

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

host_port() { echo $((base + 10 + 6 * $1 + $2)); } # N 1: callers, 2: peers, 3: operators, 4: readiness, 5, 6: free
start_host() { # N [STORE-PORT]: settings as platform/settings.json.in fills them in, with the bounds of a small site
    cat >"$work/host-$1.json" <<SETTINGS
{ "host": { "name": "host-$1", "dataCentre": "dc-1", "callers": "127.0.0.1:$(host_port "$1" 1)",
    "peers": "127.0.0.1:$(host_port "$1" 2)", "operators": "127.0.0.1:$(host_port "$1" 3)",
    "store": "127.0.0.1:${2:-$store}" },
  "gateway": { "platform": "metadata-store", "readiness": "127.0.0.1:$(host_port "$1" 4)", "strength": 0.2,
    "memoryMegabytes": 260, "descriptors": 4100, "longestHoldSeconds": 10, "shortestLeaseSeconds": 1,
    "leaveWithinSeconds": 2, "rulesWithinSeconds": 2, "graceSeconds": 6, "retryRatio": 0.2, "retrySlack": 60 } }
SETTINGS
    start "host-$1" "$bin/cumindaled" --settings "$work/host-$1.json"
}

start_store() { # the operators' document on standard input
    start store "$standins/standin-platform-store" --port "$store" --control_port "$control"
    wait_until 5 curl -sf "http://127.0.0.1:$control/item?key=none" || exit 2
    curl -sf -o /dev/null -X PUT --data-binary @- "http://127.0.0.1:$control/item?key=op/config"
}
: >"$record"
