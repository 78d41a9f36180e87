# Functions that run a fleet of processes on loopback, for POSIX shell scripts to source.
# The script sets `bin` (directory of the programs) and `name_of_run` (for messages), then calls fleet_open once.
# shellcheck shell=sh
# shellcheck disable=SC2154  # set by the script that sources this file

# fleet_open: creates the work directory and sets traps that stop every started process on exit.
fleet_open() {
    work=$(mktemp -d)
    pids=
    left=
    trap fleet_close EXIT
    trap 'exit 130' INT
    trap 'exit 143' TERM
}

# alive PID: succeeds for a child of this script that has not ended, fails for a later process with the same id.
alive() {
    ps -o ppid=,stat= -p "$1" 2>/dev/null |
        awk -v parent="$$" '$1 == parent && $2 !~ /^Z/ { found = 1 } END { exit !found }'
}
# ended PID: the opposite of alive.
ended() { ! alive "$1"; }

# fleet_close: stops each started process by its id, prints the logs after a failure, removes the work directory.
fleet_close() {
    status=$?
    trap - EXIT INT TERM
    for pid in $pids; do
        alive "$pid" || continue
        kill -TERM "$pid" 2>/dev/null || true
        # A paused process handles TERM only after CONT.
        kill -CONT "$pid" 2>/dev/null || true
    done
    # Processes that have not ended after 3 s are killed, so that a router with requests in progress delays the
    # end of the script no longer.
    for _ in $(seq 30); do
        left=
        for pid in $pids; do
            ended "$pid" || left="$left $pid"
        done
        [ -n "$left" ] || break
        sleep 0.1
    done
    for pid in $left; do
        kill -KILL "$pid" 2>/dev/null || true
    done
    wait 2>/dev/null || true
    if [ "$status" != 0 ]; then
        echo "$name_of_run failed; logs:"
        tail -n 20 "$work"/*.log
    fi
    rm -rf "$work"
    exit "$status"
}

# start NAME COMMAND...: runs a program, sets pid_NAME and waits up to 10 s for its line `listening ...`.
start() {
    name=$1
    shift
    "$@" > "$work/$name.out" 2> "$work/$name.log" &
    pids="$pids $!"
    eval "pid_$(echo "$name" | tr - _)=$!"
    for _ in $(seq 200); do
        grep -q listening "$work/$name.out" && return 0
        sleep 0.05
    done
    echo "$name did not start"
    exit 1
}

# pid_of NAME: prints the process id of the last start under this name.
pid_of() { eval "echo \$pid_$(echo "$1" | tr - _)"; }
# port_of NAME: prints the port of a stand-in.
port_of() { sed -n 's/^listening //p' "$work/$1.out"; }
# address_of ROUTER LISTENER: prints an address of a router; LISTENER is callers, admin or control.
address_of() { tr ' ' '\n' < "$work/$1.out" | sed -n "s/^$2=//p"; }

# start_objects: starts the object API and sets `store` to its address.
start_objects() {
    start objects "$bin/standin-objects"
    store=127.0.0.1:$(port_of objects)
}

# write_settings ROUTER DATA_CENTRE: writes settings with free ports; appends the lines of standard input.
write_settings() {
    cat > "$work/$1.ini" <<INI
[vm]
name = $1
data_centre = $2
[fleet]
name = demo
[listen]
callers = 127.0.0.1:0
admin = 127.0.0.1:0
control = 127.0.0.1:0
[store]
address = $store
INI
    cat >> "$work/$1.ini"
}

# start_router N: starts router-N with the settings that write_settings wrote.
start_router() { start "router-$1" "$bin/bluebelld" --config "$work/router-$1.ini"; }

# list_vms N...: replaces the VM list by these routers, each router-N in data centre dc-N; sets `vms`.
list_vms() {
    vms=
    for i in "$@"; do
        vms="$vms${vms:+,}{\"vm\":\"router-$i\",\"data_centre\":\"dc-$i\",\"control\":\"$(address_of "router-$i" control)\",\"admin\":\"$(address_of "router-$i" admin)\",\"leaving\":false}"
    done
    curl -sf -m 5 -X PUT --data-binary "{\"vms\":[$vms]}" "http://$store/vms"
}

# wait_ready N: waits up to 10 s until router-N is ready.
wait_ready() {
    curl -sf --retry 200 --retry-delay 0 --retry-all-errors --retry-max-time 10 -m 2 \
        "http://$(address_of "router-$1" admin)/readyz" > /dev/null
}

# write_note FILE: writes a first release note with the running engine-1, engine-2 and service.
write_note() {
    cat > "$1" <<INI
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
}
