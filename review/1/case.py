"""A worker crashes midway through an early answer without a length, while the request's body is still on its way."""
import json
import os
import subprocess
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "common"))
from stage import BROKEN, CALLER_LIMITS, HELD, CannotRun, Client, Router, SITES, Store, Worker, play  # noqa: E402

SITE = "stafett-prod"
ZONES = SITES[SITE]["zones"]
WORKERS = 6  # one that crashes is a share of 0.167
BODY_BYTES = 4194304  # max_body_bytes of the configuration
ANSWER_BYTES = 4 * len(b"part 1 of 4: \n") + 4 * 185
CONFIG = {
    "version": 1,
    "routes": [{"name": "order", "host": "school.example", "path_prefix": "/order/", "route_type": "unsafe",
                "timeout_ms": 1500, "target_latency_ms": 300, "priority": 2, "service": "counter", "max_attempts": 1,
                "anonymous": True, "session_affinity": False, "stream_resume": False}],
    "services": [{"name": "counter", "health_path": "/healthz", "max_connections": 100, "protocol": "h1",
                  "tls": False}],
    "limits": CALLER_LIMITS, "tenants": []}


def case(stage):
    store = Store(stage)
    store.put("config", "main", CONFIG)
    crashes = [2] if stage.trouble else []

    def on_event(worker, event):
        stage.note("worker " + event.pop("what"), worker=worker.name, **event)
        if "body_bytes" in event and crashes:
            worker.process.stdin.write((json.dumps({"crash_after_part": crashes.pop()}) + "\n").encode())
            worker.process.stdin.flush()

    for number in range(WORKERS):
        Worker(stage, store, os.path.join(FOLDER, "service.py"), "i-%d" % number, "counter", ZONES[number % 3], 6,
               on_event, stdin=subprocess.PIPE)
    router = Router(stage, SITE, "edge-oslo-a-1", "oslo-a", store.port)
    router.wait_ready()
    time.sleep(0.5)
    client = Client(router.port)
    stage.note("client sends", attempt="9c41d07be2a35f68", body_bytes=BODY_BYTES)
    client.send("POST", "/order/2f", [("Host", "school.example"), ("X-Attempt-Id", "9c41d07be2a35f68"),
                                      ("X-Deadline-Ms", "3000")], b"o" * BODY_BYTES)
    answer = client.read("POST")
    client.close()
    sealed = "x-response-seal" in answer.fields
    stage.note("client has read", status=answer.status, fields=answer.fields, body_bytes=len(answer.body),
               complete=answer.complete, end=answer.end)
    stage.note("check", whole_answer_bytes=ANSWER_BYTES, sealed=sealed)
    if answer.status == 0 or answer.status == 503:
        raise CannotRun("the request was not passed on")
    looks_complete = answer.status // 100 == 2 and answer.complete
    return BROKEN if looks_complete and len(answer.body) != ANSWER_BYTES else HELD


play(FOLDER, case)
