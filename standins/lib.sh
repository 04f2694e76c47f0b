# Starts and stops the processes of a demo or a test run on loopback. Sourced by the scripts beside it.
#
# Ports from BASE (7000): store BASE; host N: callers BASE+10N+101, peers +102, operators +103; server N:
# BASE+600+N. Two systems with other bases run side by side.
set -u
BASE=${BASE:-7000}
bin=${BIN:-build/bin}
token=demo-operator-token
work=$(mktemp -d)
declare -A pid

start() { # NAME COMMAND...
    local name=$1
    shift
    "$@" >>"$work/$name.log" 2>&1 &
    pid[$name]=$!
}

kill_all() { # every process that these scripts started, frozen ones included
    local name
    for name in "${!pid[@]}"; do
        kill -CONT "${pid[$name]}" 2>/dev/null
        kill -KILL "${pid[$name]}" 2>/dev/null
    done
    wait 2>/dev/null
    pid=()
}

stop_all() {
    kill_all
    if [ -n "${KEEP:-}" ]; then echo "logs and records are in $work" >&2; else rm -rf "$work"; fi
}
trap stop_all EXIT

host_port() { echo $((BASE + 100 + 10 * $1 + $2)); } # N 1: callers, 2: peers, 3: operators
server_port() { echo $((BASE + 600 + $1)); }
store_url() { echo "http://127.0.0.1:$BASE"; }

host_settings() { # N DATA-CENTRE; LIMITS: further members of the settings
    cat <<SETTINGS
{ "host": { "name": "host-$1", "dataCentre": "$2",
    "callers": { "address": "127.0.0.1", "port": $(host_port $1 1) },
    "peers": { "address": "127.0.0.1", "port": $(host_port $1 2) },
    "operators": { "address": "127.0.0.1", "port": $(host_port $1 3) },
    "operatorToken": "$token",
    "store": { "address": "127.0.0.1", "port": $BASE },
    "hostList": { "address": "127.0.0.1", "port": $BASE } }${LIMITS:-} }
SETTINGS
}

host_entry() { # N DATA-CENTRE
    echo "{\"name\":\"host-$1\",\"dataCentre\":\"$2\",\"address\":\"127.0.0.1\",\"peerPort\":$(host_port $1 2),\"callerPort\":$(host_port $1 1),\"operatorPort\":$(host_port $1 3)}"
}

put_hosts() { # ENTRY...
    local list
    list=$(IFS=,; echo "$*")
    curl -s -o /dev/null -X PUT -d "{\"hosts\":[$list]}" $(store_url)/hosts
}

start_store() { start store "$bin/standin-store" --port "$BASE"; }

start_host() { # N DATA-CENTRE
    host_settings "$1" "$2" >"$work/host-$1.json"
    start "host-$1" "$bin/cumindaled" --settings "$work/host-$1.json"
}

start_server() { # N [OPTION...]
    local n=$1
    shift
    start "server-$n" "$bin/standin-backend" --port "$(server_port "$n")" --name "server-$n" --record "$work/server-$n.record" "$@"
}

server_resource() { # N DATA-CENTRE [EXTRA-FIELDS]
    echo "{\"kind\":\"BackendServer\",\"name\":\"server-$1\",\"spec\":{\"service\":\"tracing\",\"address\":\"127.0.0.1\",\"port\":$(server_port "$1"),\"dataCentre\":\"$2\",\"slots\":4,\"connections\":120${3:-}}}"
}

service_resource() { # [LONGEST-WORK-MS]
    cat <<SERVICE
{"kind":"Service","name":"tracing","spec":{"pathPrefix":"/tracing/","key":{"header":"Case-Key"},
 "routes":[{"method":"GET","pathPrefix":"archive","idempotent":true,"class":"background","deadlineMs":4000},
           {"method":"GET","idempotent":true,"deadlineMs":4000},
           {"method":"POST","pathPrefix":"upload","class":"upload","deadlineMs":4000},
           {"method":"POST","class":"submission","deadlineMs":4000}],
 "longestWorkMs":${1:-1000}}}
SERVICE
}

ctl() { "$bin/cumindalectl" --host "127.0.0.1:$(host_port "${CTL_HOST:-1}" 3)" --token "$token" "$@"; }

wait_until() { # SECONDS COMMAND...: until it succeeds
    local end=$((SECONDS + $1))
    shift
    until "$@" >/dev/null 2>&1; do
        [ $SECONDS -lt $end ] || { echo "gave up waiting for: $*" >&2; return 1; }
        sleep 0.05
    done
}

host_ready() { curl -sf "http://127.0.0.1:$(host_port $1 1)/cumindale/health" >/dev/null; }
host_routes() { [ "$(curl -s -o /dev/null -w '%{http_code}' -H 'Case-Key: ready' -H 'X-Nonce: ready' "http://127.0.0.1:$(host_port $1 1)/tracing/lookup")" = 200 ]; }

start_system() { # HOSTS SERVERS: with three data centres
    local n entries=()
    start_store
    wait_until 5 curl -sf $(store_url)/hosts || return 1
    for n in $(seq 1 "$1"); do entries+=("$(host_entry "$n" "dc-$((n % 3 + 1))")"); done
    put_hosts "${entries[@]}"
    for n in $(seq 1 "$2"); do start_server "$n" ${SERVER_OPTIONS:-}; done
    for n in $(seq 1 "$1"); do start_host "$n" "dc-$((n % 3 + 1))"; done
    wait_until 5 ctl status || return 1
    service_resource "${LONGEST_WORK:-1000}" | ctl apply --file=- >/dev/null || return 1
    for n in $(seq 1 "$2"); do server_resource "$n" "dc-$((n % 3 + 1))" "${SERVER_FIELDS:-}" | ctl apply --file=- >/dev/null || return 1; done
    for n in $(seq 1 "$1"); do wait_until 10 host_routes "$n" || return 1; done
}

host_list() { # HOSTS: callers' endpoints, comma-separated
    local n list=()
    for n in $(seq 1 "$1"); do list+=("127.0.0.1:$(host_port $n 1)"); done
    (IFS=,; echo "${list[*]}")
}

owners_given() { # total number of times that a slice was assigned an owner
    ctl --output table status | awk '/ownersGiven/ { sum += $2 } END { print sum + 0 }'
}
