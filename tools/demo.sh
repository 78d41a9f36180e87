#!/bin/sh
# Starts a small fleet on loopback, sends requests through it, prints answers and state, and stops it.
# Usage: demo.sh BUILD_DIR. Exits 0 only if every step gave the expected result.
set -eu
bin=$1/bin
name_of_run=demo
# shellcheck source=tools/fleet.sh
. "$(dirname "$0")/fleet.sh"
fleet_open
say() { printf '\n== %s\n' "$*"; }

say "object API, two model engines, a plain service"
start_objects
start engine-1 "$bin/standin-engine" --slots=4 --tokens=20 --token-ms=30
start engine-2 "$bin/standin-engine" --slots=4 --tokens=20 --token-ms=30
start service "$bin/standin-service" --delay-ms=50
echo "object API $store, engines $(port_of engine-1) $(port_of engine-2), service $(port_of service)"

say "three routers"
for i in 1 2 3; do
    write_settings "router-$i" "dc-$i" <<INI
[drain]
limit = 5s
INI
    start_router "$i"
    sed -n p "$work/router-$i.out"
done
list_vms 1 2 3

say "a release note"
write_note "$work/note.ini"
"$bin/bluebellctl" --store="$store" apply "$work/note.ini"
for i in 1 2 3; do
    wait_ready "$i"
done

# chat ROUTER ACCOUNT STREAM PATTERN: prints a chat completion and its timing; fails unless the answer has PATTERN.
chat() {
    curl -sS -N -o "$work/answer" -w 'status %{http_code}, first byte %{time_starttransfer} s, total %{time_total} s\n' \
        -H "Client-Account: $2" -H 'Content-Type: application/json' \
        --data "{\"model\":\"text\",\"stream\":$3,\"max_tokens\":10,\"messages\":[{\"role\":\"user\",\"content\":\"one line, please\"}]}" \
        "http://$(address_of "$1" callers)/v1/chat/completions"
    cat "$work/answer"
    grep -q "$4" "$work/answer"
}
say "router-1: a streamed answer for school-a"
chat router-1 school-a true '"outcome":"ran"'
say "router-2: a whole answer for school-b"
chat router-2 school-b false 'choices'

# order ROUTER KEY: a non-repeatable request; prints status line, outcome and answer.
order() {
    curl -sS -D "$work/head" -o "$work/answer" -X POST -H 'Client-Account: school-a' -H "Idempotency-Key: $2" \
        --data '{"print":1}' "http://$(address_of "$1" callers)/services/orders/print"
    grep -iE '^(HTTP|Outcome)' "$work/head" | tr -d '\r'
    cat "$work/answer"
    echo
}
say "router-1: a print order that must run at most once"
order router-1 order-1
say "router-2: the same order again; it does not run a second time"
order router-2 order-1
grep -q key_already_ran "$work/answer"

say "an unknown client account gets a typed error"
curl -sS -H 'Client-Account: nobody' --data '{"model":"text","messages":[]}' \
    "http://$(address_of router-3 callers)/v1/chat/completions" | tee "$work/answer"
echo
grep -q unknown_client_account "$work/answer"

say "the fleet"
"$bin/bluebellctl" --store="$store" status
"$bin/bluebellctl" --store="$store" releases

say "graceful stop"
for i in 1 2 3; do
    kill -TERM "$(pid_of "router-$i")"
done
for i in 1 2 3; do
    wait "$(pid_of "router-$i")" && echo "router-$i stopped"
done
say "done"
