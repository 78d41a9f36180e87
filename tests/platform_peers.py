"""Stand-ins for the platform's store and one of its upstreams, for tests with real routers.

Usage: platform_peers.py STORE_PORT WORKER_PORT. Reads the configuration from standard input. The store serves it and
the worker's entry from the start, and between others that cannot be read. `POST /test/config` replaces the
configuration, `GET /test/runs` returns the number of requests that the worker ran. The worker takes 10 s for a path
with `/slow/`.
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
# Texts that another writer may leave in an entry, and that `json` cannot write, by their placeholders.
unreadable = {b"@deep@": b"[" * 100000 + b"]" * 100000, b"@large@": b"1e999", b"@bytes@": b'"\xff\xfe"'}


def put(kind, name, spec):
    with changed:
        revision = len(history) + 1
        stored = {"metadata": {"name": name, "revision": revision}, "spec": spec, "status": {}}
        objects[kind, name] = stored
        history.append((revision, kind, stored))
        changed.notify_all()


class peer(http.server.BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"

    def log_message(self, *_):
        pass

    def reply(self, status, body, fields=()):
        data = body if isinstance(body, bytes) else json.dumps(body).encode()
        for placeholder, text in unreadable.items():
            data = data.replace(b'"%s"' % placeholder, text)
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
        parameters = dict(pair.split("=", 1) for pair in query.split("&") if "=" in pair)
        with changed:
            if "watch" not in parameters:
                entries = [stored for (stored_kind, _), stored in sorted(objects.items()) if stored_kind == kind]
                return self.reply(200, {"entries": entries, "has_more": False, "at": len(history)})
            since = int(parameters["watch"])
            end = time.monotonic() + int(parameters.get("wait_ms", 0)) / 1000

            def events():
                return [{"object": stored, "deleted": False} for revision, stored_kind, stored in history
                        if revision > since and stored_kind == kind]

            while not events() and time.monotonic() < end:
                changed.wait(end - time.monotonic())
            return self.reply(200, {"events": events(), "at": len(history)})

    def do_POST(self):
        document = json.loads(self.body())
        if self.path == "/test/config":
            put("config", "main", document)
        else:
            put(self.path.split("/")[3], document["metadata"]["name"], document["spec"])
        self.reply(201, {})


class worker(peer):
    def do_POST(self):
        self.body()
        if self.headers.get("X-Expect-Instance") != "i-1":
            return self.reply(421, b"", [("X-Instance-Id", "i-1")])
        runs.append(self.headers.get("X-Attempt-Id"))
        if "/slow/" in self.path:
            time.sleep(10)
        self.reply(200, ("ran for " + self.headers.get("X-Tenant", "nobody")).encode(),
                   [("X-Attempt-Id", self.headers.get("X-Attempt-Id", "")), ("X-Response-Seal", "seal")])


put("servers", "i-1", {"service": "orders", "address": "127.0.0.1:%d" % worker_port, "zone": "x", "version": "1",
                       "slots": 2, "state": "ready", "warmup_left_ms": 0, "sequence": 1, "born": 1})
for name, odd in (("a-deep", {"extra": "@deep@"}), ("b-large", {"slots": "@large@"}), ("y-bytes", {"zone": "@bytes@"}),
                  ("z-port", {"address": "127.0.0.1:80000"})):
    put("servers", name, {**objects["servers", "i-1"]["spec"], **odd})
put("config", "main", json.load(sys.stdin))
for port, kind in ((store_port, store), (worker_port, worker)):
    threading.Thread(target=http.server.ThreadingHTTPServer(("127.0.0.1", port), kind).serve_forever).start()
print("listening", flush=True)
