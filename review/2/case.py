"""A client resumes its stream with `Last-Event-Id`, and the worker crashes inside the first event that it sends."""
import json
import os
import subprocess
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "common"))
from stage import BROKEN, CALLER_LIMITS, HELD, CannotRun, Client, Router, SITES, Store, Worker, play  # noqa: E402

SITE = "mdasc-router"
ZONES = SITES[SITE]["zones"]
ENGINES = 18
EVENTS = 40
# Ids of the attempts of the client: those that begin the stream, and those that resume it.
BEGINNING = ["9c41d07be2a35f6%d" % number for number in range(8)]
RESUMING = ["17b2e0c94dd5a0f%d" % number for number in range(8)]
# Events in which the first two workers of the stream crash. A third one crashes in the first event after it was
# resumed by the client. That makes 3 of 18 workers, a share of 0.167.
FIRST_CRASHES = [7, 13]
CONFIG = {
    "version": 1,
    "routes": [{"name": "report", "host": "survey.example", "path_prefix": "/report/", "route_type": "streaming",
                "timeout_ms": 15000, "target_latency_ms": 800, "priority": 1, "service": "writers", "max_attempts": 2,
                "anonymous": False, "session_affinity": True, "stream_resume": True, "target_gap_ms": 300}],
    "services": [{"name": "writers", "health_path": "/healthz", "max_connections": 310, "protocol": "h1", "tls": False,
                  "engine": {"slots": 48, "kv_capacity": 462798, "kv_token_bytes": 163840, "link_mbps": 370000.0,
                             "moves": True, "backups": True, "stride": 6, "most": 12, "pin_ms": 4000.0,
                             "hold_ms": 2000.0, "kv_handle_s": 5.0, "models": [{"name": "m"}]}}],
    "limits": CALLER_LIMITS, "tenants": [{"name": "district-a", "api_keys": ["key-of-district-a"], "priority": 1}]}


def read_events(body):
    """Returns the numbers of the whole events."""
    numbers = []
    for event in body.decode().split("\n\n")[:-1]:
        numbers += [int(line[4:]) for line in event.split("\n") if line.startswith("id: ")]
    return numbers


def case(stage):
    store = Store(stage)
    store.put("config", "main", CONFIG)
    first_crashes = list(FIRST_CRASHES) if stage.trouble else []
    last_crashes = [1] if stage.trouble else []

    def crash_in_event(event):
        """Returns the event in which the worker that has just begun is to crash; zero for none."""
        if event["attempt"] in BEGINNING:
            return first_crashes.pop(0) if first_crashes else 0
        return int(event["last_event_id"] or 0) + last_crashes.pop() if last_crashes else 0

    def on_event(worker, event):
        stage.note("worker " + event.pop("what"), worker=worker.name, **event)
        if "last_event_id" in event:
            order = {"crash_in_event": crash_in_event(event)}
            worker.process.stdin.write((json.dumps(order) + "\n").encode())
            worker.process.stdin.flush()

    for number in range(ENGINES):
        Worker(stage, store, os.path.join(FOLDER, "engine.py"), "i-%02d" % number, "writers", ZONES[number % 3], 48,
               on_event, stdin=subprocess.PIPE)
    routers = [Router(stage, SITE, "edge-%s-1" % zone, zone, store.port) for zone in ZONES]
    for router in routers:
        router.wait_ready()
    time.sleep(4)  # the routers have confirmed the configuration

    def ask(router, attempts, last):
        """Sends the request until it is not refused; each time with another id, as clients do after a 503."""
        for attempt in attempts:
            answer, numbers = ask_once(router, attempt, last)
            if answer.status != 503:
                return answer, numbers
            time.sleep(0.5)
        raise CannotRun("the request is refused each time")

    def ask_once(router, attempt, last):
        fields = [("Host", "survey.example"), ("X-Attempt-Id", attempt), ("X-Model", "m"),
                  ("X-Token-Usage", "826,300"), ("X-Prefix-Hash", "5c1e07a2:119,91bd3f06:79,e4402b7d:628"),
                  ("X-Deadline-Ms", "15000"), ("Authorization", "Bearer key-of-district-a")]
        if last:
            fields.insert(1, ("Last-Event-Id", str(last)))
        stage.note("client sends", router=router.name, attempt=attempt, last_event_id=last)
        client = Client(router.port)
        client.send("POST", "/report/2f", fields, b"report on the season")
        answer = client.read("POST")
        client.close()
        numbers = read_events(answer.body)
        stage.note("client has read", attempt=attempt, status=answer.status, events=numbers, complete=answer.complete,
                   end=answer.end)
        return answer, numbers

    answer, numbers = ask(routers[0], BEGINNING, 0)
    if answer.status != 200:
        raise CannotRun("the first attempt gets no stream")
    if numbers != list(range(1, len(numbers) + 1)):
        return BROKEN
    if answer.complete:
        return HELD if len(numbers) == EVENTS else BROKEN
    last = numbers[-1]
    answer, resumed = ask(routers[1], RESUMING, last)
    if answer.status != 200:
        raise CannotRun("the second attempt gets no stream")
    repeated = [number for number in resumed if number <= last]
    gapless = resumed == list(range(resumed[0], resumed[0] + len(resumed))) if resumed else True
    stage.note("check", asked_to_go_on_after=last, first_event=resumed[0] if resumed else None, repeated=repeated,
               gapless=gapless)
    missing = bool(resumed) and resumed[0] > last + 1
    return BROKEN if repeated or missing or not gapless else HELD


play(FOLDER, case)
