#!/usr/bin/env bash
# Tests the guarantees with real processes on loopback, under kills, freezes and outages, against the servers' own
# records. Prints one line per guarantee: name, runs, violations, figure. Exit status 1 on a violation.
#
#     bench/prove.sh [NAME...]     all guarantees if none is named;  LOSSES=n server losses for crash and freeze
cd "$(dirname "$0")/.." || exit 1
. standins/lib.sh
LOSSES=${LOSSES:-10}
failed=0

field() { sed -n "s/.*\"$1\":\([-0-9.E+]*\).*/\1/p" "$2" | awk '{ printf "%d", $1 }'; }

# Counts wrong answers, requests run twice, misled callers, slices with two owners, and lost requests, since every
# caller must get an answer.
violations() { # VERDICT...
    local file sum=0 name
    for file in "$@"; do
        for name in wrong lost ranTwice misled twoOwners; do sum=$((sum + $(field $name "$file"))); done
        [ "$sum" = 0 ] || cat "$file" >>"$work/violations.txt"
    done
    echo $sum
}

failures() { echo $(($(field requests "$1") - $(field ok "$1"))); }

line() { # NAME RUNS VIOLATIONS FIGURE
    printf '%s\t%s\t%s\t%s\n' "$1" "$2" "$3" "$4"
    [ "$3" = 0 ] || failed=1
}

load() { # NAME REQUESTS RATE [OPTION...]
    local name=$1 requests=$2 rate=$3
    shift 3
    "$bin/standin-callers" --hosts "$(host_list "$hosts")" --requests "$requests" --rate "$rate" --keys 300 \
        --records "$work" --seed $((RANDOM * 32768 + RANDOM)) "$@" >"$work/$name.verdict"
}

system() { # HOSTS SERVERS
    hosts=$1
    start_system "$1" "$2" || { cat "$work"/*.log >&2; exit 1; }
}

end_system() {
    kill_all
    [ -n "${KEEP:-}" ] || rm -f "$work"/*.record "$work"/*.log
}

faults() { curl -s -o /dev/null -X POST -d "$1" "$(store_url)/standin/faults"; }
assigner() { ctl --output=table status | awk '$1 == "assigner" { print $2 }'; }
percentile_99() { sort -n | awk '{ v[NR] = $1 } END { i = int(NR * 0.99 + 0.999999); print v[i] }'; }
server_moved() { ! ctl --output=table status | grep -q "slicesOfServer.server-$1[^0-9]"; }
server_back() { ctl --output=table status | grep -q "slicesOfServer.server-$1[^0-9]"; }

leaves() { # a server leaves under load: no request fails
    system 3 6
    load leaves 3000 500 & local job=$!
    sleep 1
    ctl drain server-2 --wait >/dev/null 2>&1
    sleep 2
    ctl drain server-5 --wait >/dev/null 2>&1
    wait $job
    local bad=$(($(violations "$work/leaves.verdict") + $(failures "$work/leaves.verdict")))
    server_moved 2 || bad=$((bad + 1))
    line server-leaves 2 "$bad" "failed $(failures "$work/leaves.verdict"), longest $(field longestGapMs "$work/leaves.verdict") ms"
    end_system
}

losses() { # crash|freeze LIMIT-MS: servers are lost and return; p99 of the time until every key is answered again
    local how=$1 limit=$2 i n bad=0
    system 3 6
    : >"$work/$how.gaps"
    for i in $(seq 1 "$LOSSES"); do
        n=$((i % 6 + 1))
        load "$how" 1000 350 --keys 60 --skew 1 & local job=$!
        sleep 0.5
        if [ "$how" = crash ]; then kill -KILL "${pid[server-$n]}"; else kill -STOP "${pid[server-$n]}"; fi
        wait $job
        field longestGapMs "$work/$how.verdict" >>"$work/$how.gaps"
        echo >>"$work/$how.gaps"
        # A claim that was at the server when it was lost may only be answered "unknown".
        bad=$((bad + $(violations "$work/$how.verdict")))
        if [ "$how" = crash ]; then start_server $n; else kill -CONT "${pid[server-$n]}"; fi
        wait_until 10 server_back "$n"
        sleep 0.3
    done 2>/dev/null
    local p99
    p99=$(percentile_99 <"$work/$how.gaps")
    [ "${p99:-99999}" -le "$limit" ] || bad=$((bad + 1))
    line "server-$how" "$LOSSES" "$bad" "next answer p99 $p99 ms (limit $limit), all: $(sort -n "$work/$how.gaps" | paste -sd' ')"
    end_system
}

crash() { losses crash 1000; }
freeze() { losses freeze 2000; }

short_freeze() { # a freeze shorter than detection moves nothing
    system 3 6
    local before after
    sleep 3
    before=$(owners_given)
    load short 600 200 & local job=$!
    sleep 1
    kill -STOP "${pid[server-3]}"
    sleep 0.25
    kill -CONT "${pid[server-3]}"
    wait $job
    after=$(owners_given)
    local bad
    bad=$(($(violations "$work/short.verdict") + $(failures "$work/short.verdict")))
    server_back 3 || bad=$((bad + 1))
    line short-freeze 1 "$bad" "owners given $((after - before)) (for evenness: the server kept its own), failed $(failures "$work/short.verdict")"
    end_system
}

host_killed() { # one host, then the assigner, are killed: the other hosts' keys stay available
    system 4 6
    load host 3000 500 --keys 60 --skew 1 --killed "127.0.0.1:$(host_port 4 1)" & local job=$!
    sleep 2
    kill -KILL "${pid[host-4]}"
    wait $job
    line host-killed 1 "$(violations "$work/host.verdict")" "errors $(sed 's/.*"errors"://' "$work/host.verdict"), longest $(field longestGapMs "$work/host.verdict") ms"
    end_system
}

assigner_killed() { # the assigner is killed in the middle of a move
    local leader n i bad=0 longest=0
    for i in 1 2; do
        system 4 6
        leader=$(assigner)
        n=${leader#host-}
        load assigner 3000 500 --keys 60 --skew 1 --killed "127.0.0.1:$(host_port "$n" 1)" & local job=$!
        sleep 1
        CTL_HOST=$((n % 4 + 1)) ctl drain server-2 >/dev/null 2>&1
        sleep 0.0$((RANDOM % 9))
        kill -KILL "${pid[$leader]}"
        wait $job
        bad=$((bad + $(violations "$work/assigner.verdict")))
        CTL_HOST=$((n % 4 + 1)) wait_until 8 server_moved 2 || bad=$((bad + 1))
        longest=$(($(field longestGapMs "$work/assigner.verdict") > longest ? $(field longestGapMs "$work/assigner.verdict") : longest))
        end_system
    done 2>/dev/null
    line assigner-killed 2 "$bad" "longest $longest ms"
}

majority_lost() { # three of five hosts are killed at once: the other two continue by reading the store
    system 5 6
    load majority 4000 500 --keys 60 --skew 1 --killed "127.0.0.1:$(host_port 3 1),127.0.0.1:$(host_port 4 1),127.0.0.1:$(host_port 5 1)" & local job=$! n
    sleep 2
    for n in 3 4 5; do kill -KILL "${pid[host-$n]}"; done
    wait $job
    line majority-lost 1 "$(violations "$work/majority.verdict")" "longest $(field longestGapMs "$work/majority.verdict") ms, errors $(sed 's/.*"errors"://' "$work/majority.verdict")"
    end_system
}

host_frozen() { # a host is frozen past its lease and resumed with requests queued, while keys move
    system 3 6
    load frozen 3000 500 --killed "127.0.0.1:$(host_port 3 1)" & local job=$!
    sleep 1
    kill -STOP "${pid[host-3]}"
    ctl drain server-2 --wait >/dev/null 2>&1
    sleep 2.5
    kill -CONT "${pid[host-3]}"
    wait $job
    line host-frozen 1 "$(violations "$work/frozen.verdict")" "errors $(sed 's/.*"errors"://' "$work/frozen.verdict")"
    end_system
}

store_down() { # a store outage of 30 s fails no request; losing a server meanwhile gives no false answer
    local seconds=${STORE_DOWN:-30}
    system 3 6
    load down $((seconds * 200)) 200 & local job=$!
    sleep 1
    faults '{"down":true}'
    sleep $((seconds - 3))
    faults '{}'
    wait $job
    line store-down 1 "$(($(violations "$work/down.verdict") + $(failures "$work/down.verdict")))" "failed $(failures "$work/down.verdict") in $seconds s, longest $(field longestGapMs "$work/down.verdict") ms"
    faults '{"down":true}'
    load lost 1600 200 & job=$!
    sleep 1
    kill -KILL "${pid[server-4]}"
    wait $job
    local bad
    bad=$(violations "$work/lost.verdict")
    faults '{}'
    wait_until 15 server_moved 4 || bad=$((bad + 1))
    line store-down-server-lost 1 "$bad" "errors $(sed 's/.*"errors"://' "$work/lost.verdict")"
    end_system
}

store_faults() { # store calls take 2 s longer, then answers are lost after the write took effect, while keys move
    system 3 6
    load slow 3000 300 & local job=$!
    faults '{"delayMs":2000}'
    ctl drain server-2 >/dev/null 2>&1
    wait $job
    local bad
    bad=$(($(violations "$work/slow.verdict") + $(failures "$work/slow.verdict")))
    faults '{"loseAnswers":3}'
    load lose 1500 300 & job=$!
    ctl drain server-3 >/dev/null 2>&1
    wait $job
    faults '{}'
    wait_until 10 server_moved 3 || bad=$((bad + 1))
    bad=$((bad + $(violations "$work/lose.verdict") + $(failures "$work/lose.verdict")))
    line store-slow-and-answers-lost 2 "$bad" "longest $(field longestGapMs "$work/slow.verdict") and $(field longestGapMs "$work/lose.verdict") ms"
    end_system
}

operators_race() { # 200 changes by two operators: each is either committed and in force on every host, or refused
    system 3 6
    local i who winners=0 losers=0
    racer() { # WHO HOST
        local k revision status
        for k in $(seq 1 100); do
            revision=$(CTL_HOST=$2 ctl get BackendServer server-1 | sed 's/.*"revision":\([0-9]*\).*/\1/')
            server_resource 1 dc-2 ",\"coldStartMs\":$k" | CTL_HOST=$2 ctl apply --file=- --expected_revision="$revision" >/dev/null 2>&1
            status=$?
            echo $status
        done >"$work/racer-$1"
    }
    racer a 1 & local a=$!
    racer b 2 & local b=$!
    wait $a $b
    winners=$(grep -c '^0$' "$work/racer-a" "$work/racer-b" | awk -F: '{ s += $2 } END { print s }')
    losers=$(grep -c '^3$' "$work/racer-a" "$work/racer-b" | awk -F: '{ s += $2 } END { print s }')
    local revision bad=0 began ended
    began=$(date +%s%N)
    server_resource 1 dc-2 ',"coldStartMs":7' | ctl apply --file=- --wait >"$work/last" 2>&1 || bad=1
    ended=$(date +%s%N)
    [ $((winners + losers)) = 200 ] || bad=$((bad + 1))
    for i in 1 2 3; do
        CTL_HOST=$i ctl get BackendServer server-1 | grep -q '"coldStartMs":7' || bad=$((bad + 1))
    done
    line operators-race 200 "$bad" "committed $winners, conflicts $losers, in force everywhere after $(((ended - began) / 1000000)) ms"
    end_system
}

host_cut_from_server() { # one host can't reach a server: nothing moves, and its requests go through another
    system 3 6
    sleep 6
    local before bad
    before=$(owners_given)
    load cut 2400 400 & local job=$!
    sleep 1
    curl -s -o /dev/null -X POST -d '{"muteHost":"host-1"}' "http://127.0.0.1:$(server_port 2)/standin/faults"
    wait $job
    bad=$(violations "$work/cut.verdict")
    server_moved 2 && bad=$((bad + 1))
    local relayed
    relayed=$(curl -s "http://127.0.0.1:$(host_port 1 3)/metrics" | awk '$1 == "requests_relayed" { print $2 }')
    [ "${relayed:-0}" -gt 0 ] || bad=$((bad + 1))
    line host-cut-from-server 1 "$bad" "relayed ${relayed:-0}, failed $(failures "$work/cut.verdict"), longest $(field longestGapMs "$work/cut.verdict") ms, owners given $(($(owners_given) - before))"
    end_system
}

overload() { # load of twice the servers' capacity: lookups and claims stay fast, goodput holds, archive reads progress
    local capacity=1263 seconds=${OVERLOAD:-20} bad=0 kind before after # 24 slots, 19 ms of work on average
    system 3 6
    load half $((capacity / 2 * 8)) $((capacity / 2)) --work_scale 5 --skew 1
    load twice $((capacity * 2 * seconds)) $((capacity * 2)) --work_scale 5 --skew 1
    sleep 5
    load after $((capacity / 2 * 4)) $((capacity / 2)) --work_scale 5 --skew 1
    kind_p99() { sed -n "s/.*\"$1\":{\"served\":[0-9]*,\"p99ms\":\([-0-9.E+]*\).*/\1/p" "$2" | awk '{ printf "%d", $1 }'; }
    for kind in lookup claim; do
        before=$(kind_p99 $kind "$work/half.verdict"); after=$(kind_p99 $kind "$work/twice.verdict")
        [ "$after" -le $((before * 3)) ] || bad=$((bad + 1))
        [ "$(kind_p99 $kind "$work/after.verdict")" -le $((before * 2)) ] || bad=$((bad + 1))
        figures="${figures:-}$kind p99 $before to $after ms, "
    done
    local goodput=$(($(field ok "$work/twice.verdict") / seconds))
    [ $goodput -ge $((capacity * 9 / 10)) ] || bad=$((bad + 1))
    grep -q '"archive":{"served":0' "$work/twice.verdict" && bad=$((bad + 1))
    bad=$((bad + $(violations "$work/half.verdict" "$work/twice.verdict" "$work/after.verdict")))
    line overload 1 "$bad" "${figures}goodput $goodput of $capacity/s, $(sed 's/.*"kinds"://' "$work/twice.verdict")"
    end_system
}

grants() { # servers that check grants: one leaves, one freezes and resumes with requests queued
    SERVER_OPTIONS=--checks_grants SERVER_FIELDS=',"checksGrants":true' system 3 6
    load grants 3000 400 --keys 60 --skew 1 & local job=$!
    sleep 1
    ctl drain server-2 --wait >/dev/null 2>&1
    kill -STOP "${pid[server-4]}"
    sleep 4
    kill -CONT "${pid[server-4]}"
    wait $job
    local bad
    bad=$(violations "$work/grants.verdict")
    server_moved 2 || bad=$((bad + 1))
    line servers-check-grants 2 "$bad" "longest $(field longestGapMs "$work/grants.verdict") ms, errors $(sed 's/.*"errors"://' "$work/grants.verdict")"
    end_system
}

slow_uploads() { # 500 uploads at 2 KB/s on one host; a server leaves, keys move, then the host is stopped
    system 2 6
    hosts=1 load slow 1 1 --slow_uploads 500 --slow_bytes 24000 --slow_rate 2000 & local job=$! most=0 rss i
    for i in $(seq 1 9); do
        sleep 1
        rss=$(awk '$1 == "VmRSS:" { print $2 }' "/proc/${pid[host-1]}/status")
        [ "${rss:-0}" -gt $most ] && most=$rss
        [ $i = 3 ] && ctl drain server-2 >/dev/null 2>&1
        [ $i = 6 ] && kill -TERM "${pid[host-1]}"
    done
    wait $job
    local bad
    bad=$(($(violations "$work/slow.verdict") + $(failures "$work/slow.verdict")))
    wait "${pid[host-1]}" || bad=$((bad + 1))
    [ $most -le 131072 ] || bad=$((bad + 1))
    line slow-uploads 500 "$bad" "cut or failed $(failures "$work/slow.verdict"), most memory of the host $most KB"
    end_system
}

silent_connections() { # connections to a server go silent for good while new ones work
    system 3 6
    load silent 2000 400 --keys 60 --skew 1 & local job=$! i
    for i in 1 2 3; do
        sleep 1
        curl -s -o /dev/null -X POST -d '{"silenceOpen":true}' "http://127.0.0.1:$(server_port $i)/standin/faults"
    done
    wait $job
    line silent-connections 3 "$(violations "$work/silent.verdict")" "longest $(field longestGapMs "$work/silent.verdict") ms, errors $(sed 's/.*"errors"://' "$work/silent.verdict")"
    end_system
}

hosts_replaced() { # all hosts are replaced one by one under load: SIGTERM aborts no request
    system 3 6
    load replaced 6000 300 & local job=$!
    local n bad=0
    for n in 1 2 3; do
        sleep 0.5
        local from=${pid[host-$n]}
        kill -TERM "$from"
        sleep 0.2
        kill -TERM "$from"
        wait "$from" || bad=$((bad + 1))
        start_host $n "dc-$((n % 3 + 1))"
        wait_until 10 host_routes $n || bad=$((bad + 1))
    done
    wait $job
    bad=$((bad + $(violations "$work/replaced.verdict")))
    line hosts-replaced 3 "$bad" "errors $(sed 's/.*"errors"://' "$work/replaced.verdict")"
    end_system
}

budget() { # ten idle hosts: store calls and heartbeats
    system 10 6
    sleep 6
    local before after bytes_before bytes_after ticks_before ticks_after
    calls() { curl -s "$(store_url)/standin/calls" | sed 's/[^0-9,]//g' | tr , ' '; }
    bytes() { local n s=0; for n in $(seq 1 10); do s=$((s + $(curl -s "http://127.0.0.1:$(host_port $n 3)/metrics" | awk '$1 == "peers_bytes_sent" { print $2 }'))); done; echo $s; }
    ticks() { local n s=0; for n in $(seq 1 10); do s=$((s + $(awk '{ print $14 + $15 }' "/proc/${pid[host-$n]}/stat"))); done; echo $s; }
    read -r -a before <<<"$(calls)"
    bytes_before=$(bytes); ticks_before=$(ticks)
    sleep 10
    read -r -a after <<<"$(calls)"
    bytes_after=$(bytes); ticks_after=$(ticks)
    local reads=$(((after[0] - before[0] + after[2] - before[2]))) writes=$((after[1] - before[1]))
    local each=$(((bytes_after - bytes_before) / 100)) cpu=$(((ticks_after - ticks_before) ))
    local bad=0
    [ $reads -le 400 ] || bad=$((bad + 1))
    [ $writes -le 100 ] || bad=$((bad + 1))
    [ $each -le 2000 ] || bad=$((bad + 1))
    line store-and-beats-at-rest 1 $bad "10 s: reads and watches $reads, writes $writes; beats $each bytes/s a host; processor $((cpu / 10)).$((cpu % 10 )) ms/s a host, probes and all"
    end_system
}

all="leaves crash freeze short_freeze host_killed assigner_killed majority_lost host_frozen store_down store_faults operators_race host_cut_from_server overload grants slow_uploads silent_connections hosts_replaced budget"
for promise in ${*:-$all}; do $promise; done
[ -f "$work/violations.txt" ] && cat "$work/violations.txt" >&2
exit $failed
