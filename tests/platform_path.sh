#!/bin/sh
# Tests requests through a real router on the platform: configuration and upstreams from the store, keys, a new
# configuration, entries that cannot be read, an outage of the store, the explanation of a request from the log, and a
# planned stop.
# Usage: platform_path.sh BUILD_DIR
set -eu
bin=$1/bin
here=$(cd "$(dirname "$0")" && pwd)
work=$(mktemp -d)
router=
peers=
cleanup() {
    [ -z "$router" ] || kill -KILL "$router" 2>/dev/null || true
    [ -z "$peers" ] || kill -KILL "$peers" 2>/dev/null || true
    rm -rf "$work"
}
trap cleanup EXIT
fail() {
    echo "FAILED: $*" >&2
    tail -n 20 "$work/log" >&2 || true
    exit 1
}
ports=$(python3 - <<'PY'
import socket
sockets = [socket.socket() for _ in range(5)]
for listener in sockets:
    listener.bind(("127.0.0.1", 0))
print(*[listener.getsockname()[1] for listener in sockets])
PY
)
set -- $ports
callers=$1 ops=$2 control=$3 store=$4 worker=$5
# config VERSION KEY: prints a configuration with one route and one key.
config() {
    cat <<JSON
{"version":$1,"routes":[{"name":"r","host":"h.example","path_prefix":"/order/","route_type":"unsafe","timeout_ms":3000,
 "target_latency_ms":300,"priority":1,"service":"orders","max_attempts":1,"anonymous":false}],
 "services":[{"name":"orders","health_path":"/healthz","max_connections":50}],
 "limits":{"max_header_bytes":16384,"max_body_bytes":65536,"header_timeout_ms":3000,"idle_timeout_ms":15000},
 "tenants":[{"name":"school-a","api_keys":["$2"],"priority":1}]}
JSON
}
config 1 key-1 | python3 "$here/platform_peers.py" "$store" "$worker" > "$work/peers" 2>&1 &
peers=$!
cat > "$work/settings.ini" <<INI
[vm]
name = r1
data_centre = x
[listen]
callers = 127.0.0.1:$callers
ops = 127.0.0.1:$ops
control = 127.0.0.1:$control
[store]
address = 127.0.0.1:$store
INI
for _ in $(seq 50); do
    grep -q listening "$work/peers" && break
    sleep 0.1
done
"$bin/bluebelld-platform" --config "$work/settings.ini" > "$work/log" 2>&1 &
router=$!
# until_status SECONDS STATUS COMMAND...: waits at most SECONDS until the command prints this status.
until_status() {
    end=$(($(date +%s) + $1))
    wanted=$2
    shift 2
    while [ "$(date +%s)" -le "$end" ]; do
        [ "$("$@")" != "$wanted" ] || return 0
        sleep 0.1
    done
    fail "no $wanted from $*, but $("$@")"
}
# ready: prints the status of the readiness check.
ready() { curl -s -o /dev/null -w '%{http_code}' "http://127.0.0.1:$ops/ready"; }
# order ID KEY [PATH]: sends a request and prints its status; the answer is in $work/head and $work/answer.
order() {
    curl -s -m 5 -D "$work/head" -o "$work/answer" -w '%{http_code}' -H 'Host: h.example' -H "X-Attempt-Id: $1" \
        -H 'X-Deadline-Ms: 3000' -H "Authorization: Bearer $2" --data 'paper=a4' "http://127.0.0.1:$callers/${3:-order/1}"
}
until_status 5 200 ready
[ "$(order id-1 key-1)" = 200 ] || fail "an order with a key is not served"
grep -qx 'ran for school-a' "$work/answer" || fail "the worker received another account"
grep -qi '^X-Response-Seal: seal' "$work/head" || fail "the field that the worker adds is missing"
[ "$(order id-2 key-2)" = 401 ] || fail "an unknown key is accepted"
[ "$(order id-3 key-1 none/1)" = 404 ] || fail "an unknown path is routed"
# Entries that cannot be read neither end the process nor hide the others, and each is logged once.
for _ in 1 2; do
    curl -sf -X POST --data '{"metadata":{"name":"c-late"},"spec":"@deep@"}' \
        "http://127.0.0.1:$store/api/objects/servers" > /dev/null
done
end=$(($(date +%s) + 3))
until grep entry_unreadable "$work/log" | grep -q c-late || [ "$(date +%s)" -gt "$end" ]; do
    sleep 0.1
done
sleep 0.5 # a second line of an entry would come within this time
for odd in a-deep b-large c-late y-bytes z-port; do
    [ "$(grep entry_unreadable "$work/log" | grep -c "\"name\":\"$odd\",\"cause\":\"[a-z]")" = 1 ] ||
        fail "not exactly one line on the entry $odd"
done
config 2 key-2 | curl -sf -X POST --data-binary @- "http://127.0.0.1:$store/test/config" > /dev/null
until_status 2 200 order id-4 key-2
[ "$(order id-5 key-1)" = 401 ] || fail "a key that was removed is accepted"
[ "$(curl -s "http://127.0.0.1:$store/test/runs")" = 2 ] || fail "the worker did not run exactly two orders"
kill -KILL "$peers"
peers=
# Without the store, the router confirms no keys and refuses requests after the revocation bound, by default five
# seconds.
# cause ID: sends a request and prints the body of the answer, which is the cause of a refusal.
cause() {
    order "$1" key-2 > /dev/null
    cat "$work/answer"
}
until_status 6 router_isolated cause id-6
[ "$(order id-7 key-2)" = 503 ] || fail "a key is accepted after the revocation bound"
kill -TERM "$router"
wait "$router" || fail "the stop failed"
router=
"$bin/bluebellctl" explain id-7 "$work/log" > "$work/explanation" || fail "a request is not explained"
grep -q '\* ended .*cause="router_isolated"' "$work/explanation" || fail "the explanation does not contain the cause"
grep -q 'store_failed' "$work/explanation" || fail "the explanation does not contain the outage of the store"
# A planned stop whose grace is shorter than the running order takes.
config 1 key-1 | python3 "$here/platform_peers.py" "$store" "$worker" > "$work/peers" 2>&1 &
peers=$!
until_status 5 listening cat "$work/peers"
printf '[bounds]\nstop = 2s\n' >> "$work/settings.ini"
"$bin/bluebelld-platform" --config "$work/settings.ini" > "$work/log" 2>&1 &
router=$!
until_status 5 200 ready
order id-8 key-1 order/slow/1 > "$work/slow-status" &
slow=$!
until_status 2 1 curl -s "http://127.0.0.1:$store/test/runs"
begin=$(date +%s%3N)
kill -TERM "$router"
until_status 1 503 ready
wait "$slow" || fail "the running order has no answer"
took=$(($(date +%s%3N) - begin))
[ "$(cat "$work/slow-status")" = 504 ] || fail "the running order ends with $(cat "$work/slow-status")"
wait "$router" || fail "the stop failed"
router=
[ "$took" -ge 1667 ] || fail "the running order is ended before the last sixth of the grace, after $took ms"
[ "$took" -le 2000 ] || fail "the running order is answered after the grace, after $took ms"
echo "platform_path.sh passed"
