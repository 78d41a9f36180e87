#!/bin/sh
# Tests real processes on loopback under failures: kills, pauses, a stopped object API and bad input.
# Usage: process.sh BUILD_DIR. Exits 0 only if every check holds. Takes about 40 s.
set -eu
bin=$1/bin
name_of_run=process
# shellcheck source=tools/fleet.sh
. "$(dirname "$0")/../tools/fleet.sh"
fleet_open
failures=0
account=school-a
section() { printf '== %s\n' "$*"; }
# check TEXT COMMAND...: counts a failure unless the command succeeds.
check() {
    text=$1
    shift
    if "$@"; then
        echo "ok    $text"
    else
        echo "FAIL  $text (status $(cat "$work/status" 2>/dev/null), answer: $(head -c 400 "$work/answer" 2>/dev/null))"
        failures=$((failures + 1))
    fi
}
# within SECONDS COMMAND...: repeats the command until it succeeds.
within() {
    end=$(($(date +%s) + $1))
    shift
    until "$@"; do
        [ "$(date +%s)" -lt "$end" ] || return 1
        sleep 0.1
    done
}

# call ROUTER PATH CURL_OPTION...: sends a request and writes the files status, head and answer. Fails without an
# HTTP answer.
call() {
    router=$1
    path=$2
    shift 2
    curl -sS -m 15 -D "$work/head" -o "$work/answer" -w '%{http_code}' -H "Client-Account: $account" "$@" \
        "http://$(address_of "$router" callers)$path" > "$work/status" 2> "$work/curl"
}
chat_body() {
    printf '{"model":"text","stream":%s,"max_tokens":%s,"messages":[{"role":"user","content":"%s"}]}' "$1" "$2" "$3"
}
# chat ROUTER: sends a repeatable request; succeeds if it ran.
chat() { call "$1" /v1/chat/completions --data "$(chat_body false 2 hello)" && answered 200 ran; }
# order ROUTER KEY: sends a non-repeatable request.
order() { call "$1" /services/orders/print -X POST -H "Idempotency-Key: $2" --data "{\"print\":\"$2\"}"; }
# answered STATUS OUTCOME: the last answer has this status and outcome.
answered() { [ "$(cat "$work/status")" = "$1" ] && grep -qi "^Outcome: $2" "$work/head"; }
# coded STATUS CODE: the last answer is an error with this code and the outcome not_run.
coded() { [ "$(cat "$work/status")" = "$1" ] && grep -q "\"code\":\"$2\"" "$work/answer" && grep -qi "^Outcome: not_run" "$work/head"; }
# stream ROUTER TOKENS NAME: requests a streamed answer in the background; sets pid_stream.
stream() {
    chat_body true "$2" "$3" > "$work/$3.body"
    curl -sS -N -m 20 -o "$work/$3.stream" -H 'Client-Account: school-a' --data @"$work/$3.body" \
        "http://$(address_of "$1" callers)/v1/chat/completions" 2> "$work/$3.curl" &
    pid_stream=$!
    pids="$pids $pid_stream"
}
# whole NAME ENGINE: the stream equals the engine's direct answer to the same body and ends with the outcome `ran`.
whole() {
    curl -sS -m 15 --data @"$work/$1.body" "http://127.0.0.1:$(port_of "$2")/v1/chat/completions" > "$work/$1.expected"
    sed '/^event: outcome/,$d' "$work/$1.stream" | cmp -s - "$work/$1.expected" &&
        grep -q '"outcome":"ran"' "$work/$1.stream"
}
# typed_end NAME: the stream ends with an outcome event other than `ran`.
typed_end() { grep -q '^event: outcome' "$work/$1.stream" && grep -qE '"outcome":"(not_run|outcome_unknown)"' "$work/$1.stream"; }
whole_or_typed() { typed_end "$1" || whole "$1" "$2"; }
# runs FIELD: prints a run counter of the service stand-in.
runs() { curl -s -m 5 "http://127.0.0.1:$(port_of service)/runs" | sed "s/.*\"$1\":\([0-9]*\).*/\1/"; }
each_key_once() { [ "$(runs most)" -le 1 ]; }
running_at() { curl -s -m 2 "http://127.0.0.1:$(port_of "$1")/load" | grep -q '"running":1'; }
streaming() { [ -s "$work/$1.stream" ]; }
ready_status() { curl -s -m 2 -o /dev/null -w '%{http_code}' "http://$(address_of "$1" admin)/readyz"; }
not_ready() { [ "$(ready_status "$1")" = 503 ]; }
refused_draining() { call "$1" /v1/chat/completions --data "$(chat_body false 2 late)" && coded 503 draining; }

start_objects
start engine-1 "$bin/standin-engine" --slots=4 --token-ms=50
start engine-2 "$bin/standin-engine" --slots=4 --token-ms=50
start service "$bin/standin-service" --delay-ms=600
for i in 1 2 3; do
    write_settings "router-$i" "dc-$i" <<INI
[limits]
body = 64KiB
[drain]
limit = 5s
INI
    start_router "$i"
done
list_vms 1 2 3
write_note "$work/note.ini"
"$bin/bluebellctl" --store="$store" apply "$work/note.ini" > "$work/apply.log" 2>&1
for i in 1 2 3; do
    wait_ready "$i"
done

section "kill -9 of the engine that runs a streamed answer"
stream router-1 40 broken
within 5 streaming broken || true
victim=engine-1
survivor=engine-2
if running_at engine-2; then
    victim=engine-2
    survivor=engine-1
fi
check "an engine runs the stream" running_at "$victim"
kill -KILL "$(pid_of "$victim")"
check "the caller's stream ends" within 15 ended "$pid_stream"
check "the stream is complete or has a typed end" whole_or_typed broken "$survivor"
tail -n 2 "$work/broken.stream"
start "$victim" "$bin/standin-engine" --slots=4 --token-ms=50 "--port=$(port_of "$victim")"

section "kill -9 of a router with orders in progress"
keys="k1 k2 k3"
for key in $keys; do
    curl -s -m 10 -o /dev/null -X POST -H 'Client-Account: school-a' -H "Idempotency-Key: $key" \
        --data "{\"print\":\"$key\"}" "http://$(address_of router-2 callers)/services/orders/print" &
    pids="$pids $!"
done
sleep 0.4
kill -KILL "$(pid_of router-2)"
check "router-1 keeps serving" chat router-1
check "router-3 keeps serving" chat router-3
echo "runs before the repeats: $(runs runs)"
# settled ROUTER KEY: sends an order; succeeds if its outcome is not `not_run`.
settled() { order "$1" "$2" && ! grep -qi '^Outcome: not_run' "$work/head"; }
for key in $keys; do
    check "the repeat of $key at router-3 gets a definite answer" within 10 settled router-3 "$key"
    echo "      $key: status $(cat "$work/status") $(grep -i '^Outcome' "$work/head" | tr -d '\r')"
done
check "no order ran twice" each_key_once

section "SIGTERM of a router with a stream in progress"
stream router-3 40 drained
within 5 streaming drained || true
kill -TERM "$(pid_of router-3)"
check "readyz turns false" within 2 not_ready router-3
check "the stream is still in progress then" alive "$pid_stream"
check "a new request is refused" refused_draining router-3
check "the stream ends" within 10 ended "$pid_stream"
check "the stream is complete" whole drained engine-1
check "the router ends within 5 s" within 5 ended "$(pid_of router-3)"
code=0
wait "$(pid_of router-3)" || code=$?
check "its exit code is 0 (is $code)" [ "$code" = 0 ]

section "replacement of both routers"
start_router 2
start_router 3
list_vms 1 2 3
wait_ready 2
wait_ready 3
check "router-2 serves" chat router-2
check "router-3 serves" chat router-3

section "the object API process is stopped"
kill -STOP "$(pid_of objects)"
sleep 0.5
check "a repeatable request runs at router-1" chat router-1
check "a repeatable request runs at router-3" chat router-3
before=$(runs runs)
order router-1 k-outage || true
check "a non-repeatable one is refused not_run" answered 503 not_run
cat "$work/answer"; echo
check "it did not run" [ "$(runs runs)" = "$before" ]
kill -CONT "$(pid_of objects)"
ran_order() { order "$1" "$2" && answered 200 ran; }
check "the same order runs after the outage" within 10 ran_order router-1 k-outage
check "no order ran twice" each_key_once

section "a router is paused for 6 s"
for key in p1 p2; do
    curl -s -m 12 -o /dev/null -X POST -H 'Client-Account: school-a' -H "Idempotency-Key: $key" \
        --data "{\"print\":\"$key\"}" "http://$(address_of router-1 callers)/services/orders/print" &
    pids="$pids $!"
done
sleep 0.2
kill -STOP "$(pid_of router-1)"
paused_at=$(date +%s)
check "router-2 keeps serving" chat router-2
for key in p1 p2; do
    check "the repeat of $key at router-2 gets a definite answer" within 5 settled router-2 "$key"
done
left=$((paused_at + 6 - $(date +%s)))
[ "$left" -le 0 ] || sleep "$left"
kill -CONT "$(pid_of router-1)"
check "the paused router serves again" within 5 chat router-1
check "a new order runs at the paused router" within 5 ran_order router-1 p3
sleep 1
check "no order ran twice" each_key_once

section "bad input"
bad() {
    text=$1
    status=$2
    code=$3
    shift 3
    call router-2 "$@" || true
    check "$text: $status $code" coded "$status" "$code"
}
completions=/v1/chat/completions
bad "malformed JSON" 400 malformed_request $completions --data '{"model":'
bad "JSON nested too deeply" 400 malformed_request $completions --data "$(printf '[%.0s' $(seq 100))"
bad "no messages" 400 missing_field $completions --data '{"model":"text"}'
bad "unknown model" 404 unknown_pool $completions --data '{"model":"none","messages":[{"role":"user","content":"x"}]}'
bad "unknown path" 404 unknown_pool /nothing
head -c 100000 /dev/zero | tr '\0' x > "$work/large"
bad "body above the limit" 413 body_too_large $completions --data @"$work/large"
bad "order without key" 422 idempotency_key_required /services/orders/print -X POST --data x
bad "unknown class" 422 invalid_field $completions -H 'Request-Class: first' --data "$(chat_body false 2 x)"
bad "bad hint" 422 invalid_field $completions -H 'Cost-Hint: -1' --data "$(chat_body false 2 x)"
account=nobody
bad "unknown account" 401 unknown_client_account $completions --data "$(chat_body false 2 x)"
account=school-a
check "the router still serves" chat router-2

section "state of a process"
tree_ok='import json,sys
state = json.loads(sys.stdin.read().strip().splitlines()[-1])
names = [child["name"] for child in state["tree"]["children"]]
assert names == ["store", "fleet", "decision", "upstream", "edge"], names
assert state["tree"]["state"] == "running" and state["state"]["router"]["vm"] == "router-2"'
dumped() { "$bin/bluebellctl" --store="$store" dump router-2 | python3 -c "$tree_ok"; }
signalled() { grep '^{"tree"' "$work/router-2.log" | python3 -c "$tree_ok" 2> /dev/null; }
check "bluebellctl dump shows the supervisor tree" dumped
kill -USR1 "$(pid_of router-2)"
check "SIGUSR1 writes the supervisor tree" within 3 signalled

curl -s -m 5 "http://$(address_of router-2 admin)/metrics" > "$work/answer"
# A collector drops the whole page if one line violates the format.
series='^[a-zA-Z_:][a-zA-Z0-9_:]*(\{[a-z_]+="[^"]*"(,[a-z_]+="[^"]*")*\})? [-+0-9.e]+$'
well_formed() { ! grep -v '^# TYPE ' "$work/answer" | grep -qvE "$series"; }
check "each line of /metrics has the Prometheus format" well_formed
check "the queue of a pool is a series" grep -q '^bluebell_schedule_waiting_by_pool{pool="text"}' "$work/answer"
check "readiness is a series" grep -q '^bluebell_router_ready 1$' "$work/answer"

echo "$failures checks failed"
[ "$failures" = 0 ]
