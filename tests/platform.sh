#!/bin/sh
# Tests the platform's router as a real process: settings and their reload, readiness without a store, log, metrics,
# dump, graceful stop.
# Usage: platform.sh BUILD_DIR
set -eu
bin=$1/bin/bluebelld-platform
work=$(mktemp -d)
pid=
cleanup() {
    [ -z "$pid" ] || kill -KILL "$pid" 2>/dev/null || true
    rm -rf "$work"
}
trap cleanup EXIT
fail() {
    echo "FAILED: $*" >&2
    exit 1
}
# exit_code COMMAND...: runs the command and prints its exit code; its output is in $work/out and $work/err.
exit_code() {
    code=0
    "$@" > "$work/out" 2> "$work/err" || code=$?
    echo "$code"
}
ports=$(python3 - <<'PY'
import socket
sockets = [socket.socket() for _ in range(4)]
for listener in sockets:
    listener.bind(("127.0.0.1", 0))
print(*[listener.getsockname()[1] for listener in sockets])
PY
)
set -- $ports
callers=$1 ops=$2 control=$3 store=$4
cat > "$work/good.ini" <<INI
[vm]
name = r1
data_centre = x
[listen]
callers = 127.0.0.1:$callers
ops = 127.0.0.1:$ops
control = 127.0.0.1:$control
[store]
address = 127.0.0.1:$store
[bounds]
stop = 6s
INI
printf '[vm]\nname = r1\n[odd]\nx = 1\n' > "$work/bad.ini"

[ "$(exit_code "$bin" --check-config "$work/good.ini")" = 0 ] || fail "good settings are refused"
[ "$(exit_code "$bin" --check-config "$work/bad.ini")" = 2 ] || fail "bad settings are accepted"
grep -q 'bad.ini:3: settings_unknown_section' "$work/err" || fail "no line for the unknown section"
[ "$(exit_code "$bin" --config-env BLUEBELL_NOT_SET)" = 2 ] || fail "a missing variable is accepted"
[ "$(exit_code "$bin" --nonsense)" = 2 ] || fail "bad usage is accepted"
[ "$(exit_code "$bin" --version)" = 0 ] || fail "no version"

BLUEBELL_TEST_SETTINGS=$work/good.ini "$bin" --config-env BLUEBELL_TEST_SETTINGS > "$work/log" 2>&1 &
pid=$!
for _ in $(seq 50); do
    curl -s -o /dev/null "http://127.0.0.1:$ops/ready" && break
    sleep 0.1
done
# status CURL_ARGUMENT...: prints the status of a request; the answer's body is in $work/body.
status() {
    curl -s -o "$work/body" -w '%{http_code}' "$@"
}
[ "$(status "http://127.0.0.1:$ops/ready")" = 503 ] || fail "ready without a configuration"
[ "$(status "http://127.0.0.1:$callers/a/b")" = 503 ] || fail "a request without a configuration is not refused"
[ "$(status -H Host: "http://127.0.0.1:$callers/a/b")" = 400 ] || fail "a request without a host is accepted"
[ "$(status "http://127.0.0.1:$ops/metrics")" = 200 ] || fail "no metrics"
grep -q '^bluebell_log_lines_dropped 0' "$work/body" || fail "no count of dropped lines"
[ "$(status "http://127.0.0.1:$ops/dump")" = 200 ] || fail "no dump"
python3 -c 'import json,sys; d=json.load(open(sys.argv[1])); assert [c["name"] for c in d["tree"]["children"]] == ["dispatch","fleet","store","relay"], d' \
    "$work/body" || fail "the dump does not show the tree"
# wait_for EVENT TEXT: waits until the log has a line of this event that contains the text.
wait_for() {
    for _ in $(seq 40); do
        grep "\"$1\"" "$work/log" | grep -q "$2" && return 0
        sleep 0.1
    done
    fail "no $1 with $2 in the log"
}
kill -HUP "$pid"
wait_for reload_requested '"changed":false'
sed 's/stop = 6s/stop = 5s/' "$work/good.ini" > "$work/next.ini"
mv "$work/next.ini" "$work/good.ini"
wait_for settings_read '"restart_needed":false'
sed 's/data_centre = x/data_centre = y/' "$work/good.ini" > "$work/next.ini"
mv "$work/next.ini" "$work/good.ini"
kill -HUP "$pid"
wait_for settings_read '"restart_needed":true'
cp "$work/bad.ini" "$work/next.ini"
mv "$work/next.ini" "$work/good.ini"
wait_for settings_refused 'good.ini:3'
kill -0 "$pid" || fail "a reload ends the process"
start=$(date +%s)
kill -TERM "$pid"
code=0
wait "$pid" || code=$?
pid=
[ "$code" = 0 ] || fail "a graceful stop exits with $code"
[ $(($(date +%s) - start)) -le 6 ] || fail "the stop takes longer than its limit"
python3 - "$work/log" <<'PY' || fail "a log line is not JSON or an event is missing"
import json, sys
lines = [json.loads(line) for line in open(sys.argv[1])]
events = [line["event"] for line in lines]
for event in ("started", "store_failed", "ended", "refused", "reload_requested", "stop_requested", "draining", "stopped"):
    assert event in events, (event, events)
for line in lines:
    if line["event"] == "ended":
        assert {"limit", "position", "sums_age_ms", "retry_after_ms"} <= line.keys(), line
    if line["event"] == "refused":
        assert "retry_after_ms" in line, line
PY
echo "platform.sh passed"
