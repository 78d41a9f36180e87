#!/bin/sh
# Tests exit codes and messages of bluebellctl and bluebelld with real processes on loopback.
# Usage: cli.sh BUILD_DIR. Exits 0 only if every check holds. Takes about 20 s.
# shellcheck disable=SC2016,SC2154  # sed scripts with $; variables of tools/fleet.sh
set -eu
bin=$1/bin
# shellcheck disable=SC2034  # read by tools/fleet.sh
name_of_run=cli
# shellcheck source=tools/fleet.sh
. "$(dirname "$0")/../tools/fleet.sh"
fleet_open
failures=0
section() { printf '== %s\n' "$*"; }
# expect TEXT CODE PATTERN COMMAND...: counts a failure unless the command exits with CODE and prints PATTERN; an
# empty PATTERN matches every output.
expect() {
    text=$1
    wanted=$2
    pattern=$3
    shift 3
    code=0
    timeout 20 "$@" > "$work/answer" 2>&1 || code=$?
    if [ "$code" = "$wanted" ] && { [ -z "$pattern" ] || grep -qE -e "$pattern" "$work/answer"; }; then
        echo "ok    $text: $code"
    else
        echo "FAIL  $text: exit code $code, expected $wanted and /$pattern/:"
        cat "$work/answer"
        failures=$((failures + 1))
    fi
}
ctl() { "$bin/bluebellctl" --store="$store" "$@"; }
# expect_ctl TEXT CODE PATTERN ARGUMENT...: the same check for bluebellctl with the store of the run.
expect_ctl() {
    wanted_text=$1
    wanted_code=$2
    wanted_pattern=$3
    shift 3
    expect "$wanted_text" "$wanted_code" "$wanted_pattern" "$bin/bluebellctl" --store="$store" "$@"
}
# note FILE OPERATOR TITLE: writes a release note with the sections of standard input.
note() {
    printf '[note]\nformat = 1\noperator = %s\ntitle = %s\n' "$2" "$3" > "$work/$1"
    cat >> "$work/$1"
}
newest() { ctl releases | sed -n '1s/\t.*//p'; }
inject() { curl -sf -m 5 -X PUT --data "$1" "http://$store/fault"; }

start_objects
start engine-1 "$bin/standin-engine"
start engine-2 "$bin/standin-engine"
start service "$bin/standin-service"
write_settings router-1 dc-1 < /dev/null
start_router 1
list_vms 1
write_note "$work/note.ini"

section "bluebellctl: 0, done"
expect "help" 0 'Exit codes' "$bin/bluebellctl" --help
expect "version" 0 '^bluebellctl [0-9]' "$bin/bluebellctl" --version
expect_ctl "validate" 0 'the note is valid' validate "$work/note.ini"
expect_ctl "diff" 0 '^\+ upstream engine-1' diff "$work/note.ini"
expect_ctl "releases of an empty store" 0 '' releases
expect_ctl "apply" 0 'revision 1 is in force on every router' apply "$work/note.ini"
expect_ctl "status" 0 'router-1.*revision 1' status
expect_ctl "status as JSON" 0 '^\{"revision":1,' --json status
expect_ctl "releases" 0 'demo.First release' releases
expect_ctl "dump" 0 '"tree":\{"name":"root"' dump router-1
expect_ctl "top" 0 'router-1' --rounds=1 top
echo '{"time":"2026-01-01T00:00:00.000Z","process":"r1","event":"ended","request":"id-1","cause":"queue_full"}' > "$work/story"
expect "explain" 0 '\* ended .*queue_full' "$bin/bluebellctl" explain id-1 "$work/story"
expect "explain as JSON" 0 '^\[\{"time"' "$bin/bluebellctl" --json explain id-1 "$work/story"
expect "explain an unknown request" 1 'no line names request id-2' "$bin/bluebellctl" explain id-2 "$work/story"

section "bluebellctl: 5, outcome unknown"
# The change rewrites no chunk, so the first lost answer is that to the write of the head.
note same.ini ingrid "Same share" <<INI
[change client_account school-a]
share = 1
INI
inject '{"lose_answers":1000,"stale_reads":100000}'
expect_ctl "lost answers and stale reads" 5 'store_answer_lost' apply "$work/same.ini"
inject '{}'
expect_ctl "the change was accepted once" 0 '^2.ingrid.Same share' releases
expect_ctl "it is the newest" 0 'revision 2' status

section "bluebellctl: 1, no answer"
closed=$(python3 -c 'import socket; s = socket.socket(); s.bind(("127.0.0.1", 0)); print(s.getsockname()[1])')
expect "store that does not answer" 1 'store_unavailable' "$bin/bluebellctl" "--store=127.0.0.1:$closed" status
expect_ctl "router that is not listed" 1 'router-9' dump router-9
inject '{"outage":true}'
expect_ctl "store outage" 1 'store_unavailable' apply "$work/same.ini"
inject '{}'

section "bluebellctl: 2, usage or bad note"
expect "no store" 2 'BLUEBELL_STORE' env -u BLUEBELL_STORE "$bin/bluebellctl" status
expect "bad store address" 2 'store' "$bin/bluebellctl" --store=nowhere status
expect "no command" 2 'usage' "$bin/bluebellctl"
expect_ctl "unknown command" 2 'usage' explode
expect_ctl "missing file" 2 'absent.ini: note_malformed' apply "$work/absent.ini"
expect_ctl "wait that is no number" 2 'wait' --wait=soon apply "$work/same.ini"
expect_ctl "rounds that are no number" 2 'rounds' --rounds=few top
before=$(newest)
note bad.ini ingrid "Bad note" <<INI
[change client_account school-a]
share = 3
[change client_account nobody]
share = 2
[add upstream engine-9]
pool = none
data_centre = dc-1
address = 127.0.0.1:1
slots = 0
INI
expect_ctl "unknown account, with line" 2 'bad.ini:7: note_unknown_name' apply "$work/bad.ini"
expect_ctl "slots out of range, with line" 2 'bad.ini:9: note_invalid_value' apply "$work/bad.ini"
expect_ctl "validate a bad note" 2 'nothing was changed' validate "$work/bad.ini"
expect_ctl "apply a note twice" 2 'note_duplicate_name' apply "$work/note.ini"
expect "a bad note changes nothing" 0 '' [ "$(newest)" = "$before" ]

section "bluebellctl: 3, conflict"
note old.ini berit "Late note" <<INI
base_revision = 1
[change client_account school-b]
share = 5
INI
expect_ctl "note on an old revision" 3 'ingrid' apply "$work/old.ini"
for operator in anna berta; do
    note "$operator.ini" "$operator" "Change of $operator" <<INI
base_revision = $(newest)
[change client_account school-b]
share = 4
INI
done
before=$(newest)
ctl apply "$work/anna.ini" > "$work/anna.out" 2>&1 &
racer=$!
pids="$pids $racer"
second=0
ctl apply "$work/berta.ini" > "$work/berta.out" 2>&1 || second=$?
first=0
wait "$racer" || first=$?
winner=anna
loser=berta
if [ "$second" = 0 ]; then
    winner=berta
    loser=anna
fi
expect "one of two racing notes wins (codes $first and $second)" 0 '' [ "$((first + second))" = 3 ]
expect "the other is told who won" 0 "$winner.*revision $((before + 1))|revision $((before + 1)).*$winner" \
    cat "$work/$loser.out"
expect "one revision came of it" 0 '' [ "$(newest)" = $((before + 1)) ]

section "withdrawal of an upstream"
before=$(newest)
note withdraw.ini ingrid "Withdraw engine-2" <<INI
[withdraw upstream engine-2]
INI
expect_ctl "withdraw" 0 "revision $((before + 2)) is in force" apply "$work/withdraw.ini"
expect "it took two revisions" 0 '' [ "$(newest)" = $((before + 2)) ]
expect_ctl "the upstream is gone" 2 'engine-2' validate "$work/withdraw.ini"

section "bluebellctl: 4, not in force everywhere"
first_list=$vms
vms="$first_list,{\"vm\":\"router-2\",\"data_centre\":\"dc-2\",\"control\":\"127.0.0.1:$closed\",\"admin\":\"127.0.0.1:$closed\",\"leaving\":false}"
curl -sf -m 5 -X PUT --data-binary "{\"vms\":[$vms]}" "http://$store/vms"
before=$(newest)
note cut.ini ingrid "Withdraw engine-1" <<INI
[withdraw upstream engine-1]
INI
expect_ctl "a router that does not answer" 4 'release_not_in_force.*router-2|not in force on: router-2' --wait=1 apply "$work/cut.ini"
expect "the upstream is marked only" 0 '' [ "$(newest)" = $((before + 1)) ]
expect_ctl "the second attempt does not withdraw it" 4 'router-2' --wait=1 apply "$work/cut.ini"
expect_ctl "it is still departing" 0 '^- upstream engine-1.*departing' diff "$work/cut.ini"
curl -sf -m 5 -X PUT --data-binary "{\"vms\":[$first_list]}" "http://$store/vms"
expect_ctl "the withdrawal completes when the router is gone" 0 'in force on every router' apply "$work/cut.ini"

section "bluebelld: 2, bad settings"
good=$work/router-1.ini
daemon=$bin/bluebelld
settings() { # settings NAME SED_SCRIPT: a copy of the good settings with one fault
    sed "$2" "$good" > "$work/$1.ini"
}
expect "good settings" 0 '' "$daemon" --check-config "$good"
settings unknown 's/^name = demo/&\ncolour = blue/'
expect "unknown key" 2 "unknown.ini:6: settings_unknown_key" "$daemon" --check-config "$work/unknown.ini"
expect "the same when it runs" 2 "unknown.ini:6: settings_unknown_key" "$daemon" --config "$work/unknown.ini"
settings section '1i [colours]'
expect "unknown section" 2 "section.ini:1: settings_unknown_section" "$daemon" --check-config "$work/section.ini"
settings unit '$a timeout = 2'
expect "missing unit" 2 "unit.ini:12: settings_invalid_value" "$daemon" --check-config "$work/unit.ini"
settings twice '$a [fleet]\nname = other'
expect "duplicate section" 2 "twice.ini:12: settings_duplicate" "$daemon" --check-config "$work/twice.ini"
settings key '$a address = 127.0.0.1:1'
expect "duplicate key" 2 "key.ini:12: settings_duplicate" "$daemon" --check-config "$work/key.ini"
settings clash '$a [limits]\nbody = 2MiB\nqueue_bytes = 1MiB'
expect "contradiction" 2 "clash.ini:13: settings_contradiction" "$daemon" --check-config "$work/clash.ini"
settings range '$a [limits]\nrequests = 0'
expect "out of range" 2 "range.ini:13: settings_invalid_value" "$daemon" --check-config "$work/range.ini"
settings missing '/^data_centre/d'
expect "missing key" 2 "missing.ini: settings_missing" "$daemon" --check-config "$work/missing.ini"
settings syntax '$a nonsense'
expect "syntax" 2 "syntax.ini:12: settings_unreadable" "$daemon" --check-config "$work/syntax.ini"
expect "absent file" 2 "absent.ini: settings_unreadable" "$daemon" --check-config "$work/absent.ini"
expect "no arguments" 2 'usage|Usage' "$daemon"
expect "version" 0 '^bluebelld [0-9]' "$daemon" --version

section "bluebelld: 1, failed"
settings taken "s/^callers = .*/callers = $(address_of router-1 callers)/"
expect "address in use" 1 'in use|in_use' "$daemon" --config "$work/taken.ini"

section "drain: bluebelld ends with 0"
expect_ctl "drain" 0 'router-1 drains' drain router-1
within=50
while alive "$pid_router_1" && [ "$within" -gt 0 ]; do
    within=$((within - 1))
    sleep 0.1
done
code=0
wait "$pid_router_1" || code=$?
expect "exit code of the drained router ($code)" 0 '' [ "$code" = 0 ]

echo "$failures checks failed"
[ "$failures" = 0 ]
