#!/usr/bin/env bash
# A path of the operators' routes that the host answers itself, with success. See claim.txt.
# Exit status: 1 the rule was broken, 0 it held, 2 the case couldn't run. TROUBLE=0: the change of the config adds no such
# route, and the callers use another path.
cd "$(dirname "$0")/../.." || exit 2
case=review/9 ports=40
. review/lib-2.sh
server_port() { echo $((base + 3 + $1)); }

rules() { # VERSION SECOND-PREFIX
    cat <<RULES
{"version":$1,"routes":[
 {"name":"lookup","host":"desk.example","path_prefix":"/lookup/","route_type":"safe","timeout_s":3,"target_latency_s":0.4,
  "priority":2,"service":"desk","max_attempts":2},
 {"name":"file","host":"desk.example","path_prefix":"$2","route_type":"unsafe","timeout_s":3,"target_latency_s":0.5,
  "priority":1,"service":"desk","max_attempts":2}],
 "services":[{"name":"desk","health_path":"/health","max_connections":120}],
 "limits":{"max_header_bytes":16384,"max_body_bytes":1000000,"header_timeout_s":3,"idle_timeout_s":15}}
RULES
}

ask() { # ID METHOD PATH [BODY]: sets `status`, `signature` and `body`
    note "$1 sent: $2 $3 ${4:-}"
    curl -s -m 4 -X "$2" ${4:+--data-binary "$4"} -D "$work/head" -o "$work/body" -H 'Host: desk.example' -H "X-Request-Id: $1" \
        -H 'X-Request-Deadline-Ms: 3000' "http://127.0.0.1:$(host_port 1 1)$3"
    status=$(awk 'NR == 1 { print $2 }' "$work/head")
    signature=$(tr -d '\r' <"$work/head" | sed -n 's/^X-Upstream-Signature: //p')
    body=$(head -c 60 "$work/body" | tr '\n' ' ')
    note "$1 answered: ${status:-nothing}, signature ${signature:-none}, body: $body"
}
answers() { ask "ready-$RANDOM" GET "$1" && [ "$status" = 200 ]; }

start_store < <(rules 1 /claim/)
start server-1 "$standins/standin-platform-server" --port "$(server_port 1)" --name i-1 --service desk --nokeyed \
    --data_centre dc-1 --store_control "$control" --slots 4 --work_ms 20 --record "$work/server-1.record"
start_host 1
wait_until 20 answers /lookup/1 || exit 2
prefix=/cumindale/ path=/cumindale/health
[ "$trouble" = 1 ] || { prefix=/cumindale-2/ path=/cumindale-2/health; }
rules 2 $prefix | curl -sf -o /dev/null -X PUT --data-binary @- "http://127.0.0.1:$control/item?key=op/config"
note "the config changes: POST $prefix goes to the service desk, at most once"
sleep 3
wrong=0
for n in 1 2 3; do
    ask "c$n" POST $path "order $n"
    runs=$(grep -c "^B c$n " "$work/server-1.record")
    note "c$n ran $runs times"
    case $status in 2??) [ -n "$signature" ] || wrong=$((wrong + 1)) ;; esac
done
sed 's/^/server-1 /' "$work/server-1.record" >>"$record"
if [ $wrong -gt 0 ]; then echo "MIXED broken: $wrong of 3 successes without an upstream's signature"; exit 1; fi
[ "$status" = 200 ] || { echo "no answer" >&2; exit 2; }
echo "MIXED held"
