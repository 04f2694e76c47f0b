#!/usr/bin/env bash
# A host that is asked to stop breaks off answers that callers are still reading, if these have sent further requests. See
# claim.txt. Exit status: 1 the rule was broken, 0 it held, 2 the case couldn't run. TROUBLE=0: no SIGTERM.
cd "$(dirname "$0")/../.." || exit 2
case=review/7 ports=40
. review/lib-2.sh
callers=12 bytes=500000 budget=3000 # as the largest downloads of the pages, and their time
server_port() { echo $((base + 3 + $1)); }

serves() {
    [ "$(curl -s -m 1 -o /dev/null -w '%{http_code}' -H 'Host: books.example' -H "X-Request-Id: ready-$1-$RANDOM$RANDOM" \
        -H 'X-Request-Deadline-Ms: 1000' "http://127.0.0.1:$(host_port "$1" 1)/book/ready")" = 200 ]
}

start_store <<'RULES'
{"version":1,"routes":[{"name":"fetch","host":"books.example","path_prefix":"/book/","route_type":"download","timeout_s":3,
  "target_latency_s":1.5,"priority":2,"service":"books","max_attempts":2}],
 "services":[{"name":"books","health_path":"/health","max_connections":110}],
 "limits":{"max_header_bytes":16384,"max_body_bytes":1000000,"header_timeout_s":3,"idle_timeout_s":15}}
RULES
for n in 1 2; do
    start "server-$n" "$standins/standin-platform-server" --port "$(server_port $n)" --name "i-$n" --service books --nokeyed \
        --data_centre dc-1 --store_control "$control" --slots 6 --work_ms 20 --response_bytes $bytes \
        --record "$work/server-$n.record"
done
for n in 1 2; do start_host $n; done
for n in 1 2; do wait_until 20 serves $n || { tail -n 3 "$work"/*.log >&2; exit 2; }; done
sleep 2
note "$callers callers ask host-1 for $bytes bytes each, read 230 kB/s, and send further requests after 0.7 and 1.1 s"
"$standins/slow-callers" "$(host_port 1 1)" $callers 230000 700 1100 $budget >"$work/callers" &
sleep 0.35
if [ "$trouble" = 1 ]; then
    kill -TERM "${pid[host-1]}"
    note "host-1 gets SIGTERM"
fi
wait $!
sed 's/^/first request: /' "$work/callers" >>"$record"
for n in 1 2; do sed "s/^/server-$n /" "$work/server-$n.record" >>"$record"; done

# First requests that ran to their end, and whose answers the callers lost before their time was over.
cut=0
while read -r caller id status received expected end after; do
    [ "$end" = complete ] && continue
    [ "$end" = budget ] && continue
    grep -qh "^E $id " "$work"/server-*.record || continue
    cut=$((cut + 1))
    note "$caller lost the answer to $id: $status, $received of $expected bytes, $end after $after ms"
done <"$work/callers"
[ "$(grep -c . "$work/callers")" = $callers ] || { echo "the callers failed" >&2; exit 2; }
[ "$(grep -h '^E r' "$work"/server-*.record | wc -l)" -ge $callers ] || { echo "requests didn't run" >&2; exit 2; }
if [ $cut -gt 0 ]; then echo "LOST broken: $cut of $callers answers"; exit 1; fi
echo "LOST held"
