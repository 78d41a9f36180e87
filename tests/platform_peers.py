"""Stand-ins for the platform's store and one of its plain workers, for tests with real routers.

Usage: platform_peers.py STORE_PORT WORKER_PORT. The configuration and the worker's entry are served from the start.
`POST /test/config` replaces the configuration, `GET /test/runs` counts what the worker ran.
"""
import http.server
import json
import sys
import threading
import time

store_port, worker_port = int(sys.argv[1]), int(sys.argv[2])
changed = threading.Condition()
objects = {}
history = []
runs = []


def put(kind, name, spec):
    with changed:
        revision = len(history) + 1
        made = {"metadata": {"name": name, "revision": revision}, "spec": spec, "status": {}}
        objects[kind, name] = made
        history.append((revision, kind, made))
        changed.notify_all()


class peer(http.server.BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"

    def log_message(self, *_):
        pass

    def reply(self, status, body, fields=()):
        data = body if isinstance(body, bytes) else json.dumps(body).encode()
        self.send_response(status)
        for name, value in fields:
            self.send_header(name, value)
        self.send_header("Content-Length", str(len(data)))
        self.end_headers()
        self.wfile.write(data)

    def body(self):
        return self.rfile.read(int(self.headers.get("Content-Length", 0)))


class store(peer):
    def do_GET(self):
        path, _, query = self.path.partition("?")
        if path == "/test/runs":
            return self.reply(200, len(runs))
        kind = path.split("/")[3]
        asked = dict(each.split("=", 1) for each in query.split("&") if "=" in each)
        with changed:
            if "watch" not in asked:
                entries = [made for (of, _), made in sorted(objects.items()) if of == kind]
                return self.reply(200, {"entries": entries, "has_more": False, "at": len(history)})
            since = int(asked["watch"])
            end = time.monotonic() + int(asked.get("wait_ms", 0)) / 1000

            def events():
                return [{"object": made, "deleted": False} for at, of, made in history if at > since and of == kind]

            while not events() and time.monotonic() < end:
                changed.wait(end - time.monotonic())
            return self.reply(200, {"events": events(), "at": len(history)})

    def do_POST(self):
        given = json.loads(self.body())
        if self.path == "/test/config":
            put("config", "main", given)
        else:
            put(self.path.split("/")[3], given["metadata"]["name"], given["spec"])
        self.reply(201, {})


class worker(peer):
    def do_POST(self):
        self.body()
        if self.headers.get("X-Expect-Instance") != "i-1":
            return self.reply(421, b"", [("X-Instance-Id", "i-1")])
        runs.append(self.headers.get("X-Attempt-Id"))
        self.reply(200, ("ran for " + self.headers.get("X-Tenant", "nobody")).encode(),
                   [("X-Attempt-Id", self.headers.get("X-Attempt-Id", "")), ("X-Response-Seal", "seal")])


put("servers", "i-1", {"service": "orders", "address": "127.0.0.1:%d" % worker_port, "zone": "x", "version": "1",
                       "slots": 2, "state": "ready", "warmup_left_ms": 0, "sequence": 1, "born": 1})
put("config", "main", json.load(sys.stdin))
for port, kind in ((store_port, store), (worker_port, worker)):
    threading.Thread(target=http.server.ThreadingHTTPServer(("127.0.0.1", port), kind).serve_forever).start()
print("listening", flush=True)
