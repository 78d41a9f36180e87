#!/bin/sh
# Starts a small fleet on loopback, sends requests through it, shows answers and state, stops everything.
# Usage: demo.sh BUILD_DIR. Exits 0 only if every step gave the expected result.
set -eu
bin=$1/bin
work=$(mktemp -d)
pids=

stop_all() {
    status=$?
    trap - EXIT INT TERM
    # shellcheck disable=SC2086  # the list is split on purpose
    [ -z "$pids" ] || kill $pids 2>/dev/null || true
    wait 2>/dev/null || true
    [ "$status" = 0 ] || { echo "demo failed; logs:"; tail -n 20 "$work"/*.log; }
    rm -rf "$work"
    exit "$status"
}
trap stop_all EXIT INT TERM

# start NAME COMMAND...: runs a program and waits for its line `listening ...`.
start() {
    name=$1
    shift
    "$@" > "$work/$name.out" 2> "$work/$name.log" &
    pids="$pids $!"
    eval "pid_$(echo "$name" | tr - _)=$!"
    for _ in $(seq 100); do
        grep -q listening "$work/$name.out" && return 0
        sleep 0.05
    done
    echo "$name did not start"
    exit 1
}
port_of() { sed -n 's/^listening //p' "$work/$1.out"; }
# address_of ROUTER KIND: callers, admin or control.
address_of() { tr ' ' '\n' < "$work/$1.out" | sed -n "s/^$2=//p"; }
say() { printf '\n== %s\n' "$*"; }

say "object API, two model engines, a plain service"
start objects "$bin/standin-objects"
store=127.0.0.1:$(port_of objects)
start engine-1 "$bin/standin-engine" --slots=4 --tokens=20 --token-ms=30
start engine-2 "$bin/standin-engine" --slots=4 --tokens=20 --token-ms=30
start service "$bin/standin-service" --delay-ms=50
echo "object API $store, engines $(port_of engine-1) $(port_of engine-2), service $(port_of service)"

say "three routers"
vms=
for i in 1 2 3; do
    cat > "$work/router-$i.ini" <<INI
[vm]
name = router-$i
data_centre = dc-$i
[fleet]
name = demo
[listen]
callers = 127.0.0.1:0
admin = 127.0.0.1:0
control = 127.0.0.1:0
[store]
address = $store
[drain]
limit = 5s
INI
    start "router-$i" "$bin/bluebelld" --config "$work/router-$i.ini"
    vms="$vms${vms:+,}{\"vm\":\"router-$i\",\"data_centre\":\"dc-$i\",\"control\":\"$(address_of "router-$i" control)\",\"admin\":\"$(address_of "router-$i" admin)\",\"leaving\":false}"
    sed -n p "$work/router-$i.out"
done
curl -sf -X PUT --data-binary "{\"vms\":[$vms]}" "http://$store/vms"

say "a release note"
cat > "$work/note.ini" <<INI
[note]
format = 1
operator = demo
title = First release
[add client_account school-a]
share = 1
[add client_account school-b]
share = 2
[add pool text]
kind = model
[add pool orders]
kind = service
default_cost = 50
[add upstream engine-1]
pool = text
data_centre = dc-1
address = 127.0.0.1:$(port_of engine-1)
slots = 4
[add upstream engine-2]
pool = text
data_centre = dc-2
address = 127.0.0.1:$(port_of engine-2)
slots = 4
[add upstream service-1]
pool = orders
data_centre = dc-1
address = 127.0.0.1:$(port_of service)
slots = 4
INI
"$bin/bluebellctl" --store="$store" apply "$work/note.ini"
for i in 1 2 3; do
    curl -sf --retry 50 --retry-delay 0 --retry-all-errors --retry-max-time 10 \
        "http://$(address_of "router-$i" admin)/readyz" > /dev/null
done

# chat ROUTER ACCOUNT STREAM: a chat completion with its timing.
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

# order ROUTER KEY: a non-repeatable call; prints status line and headers of interest.
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
    eval "kill -TERM \$pid_router_$i"
done
for i in 1 2 3; do
    eval "wait \$pid_router_$i" && echo "router-$i stopped"
done
say "done"
