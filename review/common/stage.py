"""Stand-ins and helpers that the cases share: the platform's store, routers, workers and clients on loopback.

Only the standard library is used. The routers are the project's own programs, started with the command of
deploy/system.toml and with settings rendered from its template.
"""
import http.server
import json
import os
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import urllib.parse

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
HOST = "127.0.0.1"
BROKEN, HELD, NOT_RUN = 1, 0, 2

# Bounds that both small deployments share, and what differs between them.
BOUNDS = {"seed_lag_s": 3, "reuse_after_s": 2, "stable_ms": 3000, "ack_ms": 4000, "catch_up_s": 4, "drain_ms": 2000,
          "grace_s": 8, "loss_slack_ms": 200, "config_apply_ms": 2000, "rollback_slack_ms": 250,
          "partition_max_ms": 5000, "revoke_fail_closed": True, "revoke_ms": 5000, "retry_budget_ratio": 0.2,
          "retry_window_s": 10, "recovery_s": 12, "event_delay_ms": 120, "quota_window_s": 4}
SITES = {
    "stafett-prod": {"zones": ["oslo-a", "oslo-b", "oslo-c"], "region": "oslo",
                     "bounds": {**BOUNDS, "retry_slack": 54, "reuse_window_s": 10},
                     "limits": {"cpu_share": 0.25, "cores": 1, "memory_mb": 260, "file_descriptors": 4200,
                                "link_mbps": 1000.0, "disk_mb": 0}},
    "mdasc-router": {"zones": ["cantho-a", "cantho-b", "soctrang-c"], "region": "mekong-south",
                     "bounds": {**BOUNDS, "retry_slack": 58, "reuse_window_s": 9.1},
                     "limits": {"cpu_share": 0.25, "cores": 1, "memory_mb": 110, "file_descriptors": 4100,
                                "link_mbps": 1000.0, "disk_mb": 0}}}
CALLER_LIMITS = {"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000,
                 "idle_timeout_ms": 15000, "tokens_per_s": 480000}


class CannotRun(Exception):
    """The case could not be brought about."""


def candidate_ports():
    """Ports below those that the system hands out, so that no outgoing connection takes one before it is used."""
    first, count = 14000, 18000
    start = os.getpid() * 61
    while True:
        yield first + start % count
        start += 1


PORTS = candidate_ports()


def free_port():
    for port in PORTS:
        with socket.socket() as listener:
            try:
                listener.bind((HOST, port))
                return port
            except OSError:
                pass


def render(template, values):
    """Fills in a settings template: values, sections, and sections for a missing value."""
    def look_up(name, scope):
        if name == ".":
            return scope.get(".")
        found = scope
        for word in name.split("."):
            if isinstance(found, list):
                found = found[int(word)] if int(word) < len(found) else None
            else:
                found = found.get(word) if isinstance(found, dict) else None
        return found

    def as_text(value):
        if isinstance(value, bool):
            return "true" if value else "false"
        return "" if value is None else str(value)

    def fill(text, scope):
        section = re.compile(r"\{\{([#^])([\w.]+)\}\}(.*?)\{\{/\2\}\}", re.S)

        def one(match):
            value = look_up(match[2], scope)
            present = value is not None and value is not False
            if match[1] == "^":
                return "" if present else fill(match[3], scope)
            return fill(match[3], {**scope, ".": value}) if present else ""

        text = section.sub(one, text)
        return re.sub(r"\{\{([\w.]+)\}\}", lambda match: as_text(look_up(match[1], scope)), text)

    return fill(template, values)


def deploy_role():
    """Returns the words of `run` and the path of the template of the only role in deploy/system.toml."""
    with open(os.path.join(ROOT, "deploy", "system.toml"), encoding="utf-8") as file:
        text = file.read()
    run = re.search(r'^run\s*=\s*"([^"]*)"', text, re.M)[1]
    template = re.search(r'^template\s*=\s*"([^"]*)"', text, re.M)[1]
    return run.split(" "), os.path.join(ROOT, template)


class Stage:
    """Owns every process, thread and file of one run."""

    def __init__(self, folder):
        self.folder = folder
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.work = tempfile.mkdtemp(prefix="bluebell-review-")
        self.processes = []
        self.closers = []
        self.began = time.monotonic()
        self.lock = threading.Lock()
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")
        self.note("run", trouble=self.trouble)

    def now_ms(self):
        return round((time.monotonic() - self.began) * 1000)

    def note(self, what, **values):
        """Writes a line of the record: time in ms, what happened, and its data."""
        with self.lock:
            if not self.file.closed:
                self.file.write("%7d %s %s\n" % (self.now_ms(), what, json.dumps(values)))
                self.file.flush()

    def spawn(self, words, name, env=None, **options):
        log = open(os.path.join(self.work, name + ".log"), "ab")
        kept = {key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ}
        options.setdefault("stdout", log)
        process = subprocess.Popen(words, cwd=ROOT, env={**kept, **(env or {})}, stderr=log, **options)
        log.close()
        self.processes.append(process)
        return process

    def close(self):
        for closer in self.closers:
            try:
                closer()
            except OSError:
                pass
        for process in self.processes:
            if process.poll() is None:
                process.kill()
        for process in self.processes:
            process.wait()
        with self.lock:
            self.file.close()
        shutil.rmtree(self.work, ignore_errors=True)


class Store:
    """The platform's store: objects by kind and name with one revision counter, lists and watches."""

    def __init__(self, stage):
        self.changed = threading.Condition()
        self.objects = {}
        self.history = []
        store = self

        class Handler(http.server.BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"

            def log_message(self, *_):
                pass

            def reply(self, status, document):
                data = json.dumps(document).encode()
                self.send_response(status)
                self.send_header("Content-Type", "application/json")
                self.send_header("Content-Length", str(len(data)))
                self.end_headers()
                self.wfile.write(data)

            def document(self):
                return json.loads(self.rfile.read(int(self.headers.get("Content-Length") or 0)) or b"{}")

            def place(self):
                path, _, query = self.path.partition("?")
                parts = [urllib.parse.unquote(part) for part in path.split("/")[3:]]
                return parts, dict(urllib.parse.parse_qsl(query, keep_blank_values=True))

            def do_GET(self):
                (kind, *rest), query = self.place()
                if rest:
                    with store.changed:
                        found = store.objects.get((kind, rest[0]))
                    return self.reply(200, found) if found else self.reply(404, {"error": "none"})
                if "watch" in query:
                    return self.reply(200, store.watch(kind, int(query["watch"]), int(query.get("wait_ms", 0)) / 1000))
                with store.changed:
                    entries = [found for (its_kind, name), found in sorted(store.objects.items())
                               if its_kind == kind and name > query.get("after", "")]
                    return self.reply(200, {"entries": entries, "has_more": False, "at": store.revision()})

            def do_POST(self):
                (kind, *_), _ = self.place()
                document = self.document()
                name = document["metadata"]["name"]
                with store.changed:
                    if (kind, name) in store.objects:
                        return self.reply(409, store.objects[kind, name])
                    self.reply(201, store.put(kind, name, document.get("spec")))

            def do_PUT(self):
                (kind, name, *_), _ = self.place()
                document = self.document()
                with store.changed:
                    if (kind, name) not in store.objects:
                        return self.reply(404, {"error": "none"})
                    self.reply(200, store.put(kind, name, document.get("spec")))

        class Server(http.server.ThreadingHTTPServer):
            daemon_threads = True
            request_queue_size = 128

            def handle_error(self, *_):
                pass

        self.server = Server((HOST, 0), Handler)
        self.port = self.server.server_address[1]
        threading.Thread(target=self.server.serve_forever, daemon=True).start()
        stage.closers.append(self.server.shutdown)

    def revision(self):
        return len(self.history) + 100

    def put(self, kind, name, spec):
        """Creates or replaces an object and returns it."""
        with self.changed:
            found = self.objects.get((kind, name))
            if found is not None and found["spec"] == spec:
                return found
            stored = {"metadata": {"name": name, "revision": self.revision() + 1, "finalizers": [],
                                   "created": found["metadata"]["created"] if found else self.revision() + 1,
                                   "deletion_pending": False}, "spec": spec, "status": None}
            self.objects[kind, name] = stored
            self.history.append((kind, stored, False))
            self.changed.notify_all()
            return stored

    def delete(self, kind, name):
        with self.changed:
            stored = self.objects.pop((kind, name))
            self.history.append((kind, stored, True))
            self.changed.notify_all()

    def watch(self, kind, since, wait):
        end = time.monotonic() + wait
        with self.changed:
            while True:
                events = [{"deleted": deleted, "object": stored}
                          for its_kind, stored, deleted in self.history[max(since - 100, 0):] if its_kind == kind]
                left = end - time.monotonic()
                if events or left <= 0:
                    return {"events": events, "at": self.revision()}
                self.changed.wait(left)


class Router:
    """One of the project's routers as a process of its own."""

    def __init__(self, stage, site, name, zone, store_port):
        self.stage, self.name = stage, name
        self.port, self.ops, control = free_port(), free_port(), free_port()
        self.words, template_path = deploy_role()
        with open(template_path, encoding="utf-8") as file:
            template = file.read()
        address = "%s:%d"
        settings = render(template, {
            "node_name": name, "role": "router", "machine_class": "edge", "ip": HOST, "zone": zone,
            "region": SITES[site]["region"], "internal_ports": [control, control], "bootstrap": True,
            "limits": SITES[site]["limits"], "bounds": SITES[site]["bounds"],
            "listen": {"frontend": address % (HOST, self.port), "readiness": address % (HOST, self.ops)},
            "platform": {"address": address % (HOST, store_port), "form": "objects"}})
        self.settings = os.path.join(stage.work, name + ".ini")
        with open(self.settings, "w", encoding="utf-8") as file:
            file.write(settings)
        self.start()

    def start(self):
        self.process = self.stage.spawn(self.words, self.name, {"BLUEBELLDALE_CONFIG": self.settings})

    def ready(self):
        try:
            with socket.create_connection((HOST, self.ops), 1) as connection:
                connection.sendall(b"GET /api/readyz HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n")
                return connection.recv(64).startswith(b"HTTP/1.1 200")
        except OSError:
            return False

    def wait_ready(self, limit_s=15):
        end = time.monotonic() + limit_s
        while not self.ready():
            if self.process.poll() is not None or time.monotonic() > end:
                raise CannotRun("router %s is not ready" % self.name)
            time.sleep(0.1)


class Worker:
    """A worker as a process of its own; it reports on its standard output, a JSON document a line."""

    def __init__(self, stage, store, script, name, service, zone, slots, on_event, arguments=(), **options):
        self.name, self.port = name, free_port()
        self.store, self.service, self.zone, self.slots = store, service, zone, slots
        self.born = int(time.time() * 1000)
        self.process = stage.spawn([sys.executable, script, name, str(self.port), *arguments], name,
                                   stdout=subprocess.PIPE, **options)
        self.events = threading.Thread(target=self.read, args=(on_event,), daemon=True)
        self.listening = threading.Event()
        self.events.start()
        if not self.listening.wait(10):
            raise CannotRun("worker %s does not start" % name)
        self.register("ready")

    def register(self, state):
        self.store.put("servers", self.name, {
            "service": self.service, "address": "%s:%d" % (HOST, self.port), "zone": self.zone, "version": "v1",
            "slots": self.slots, "state": state, "warmup_left_ms": 0, "sequence": 1, "born": self.born})

    def read(self, on_event):
        for line in self.process.stdout:
            event = json.loads(line)
            if event["what"] == "listening":
                self.listening.set()
            else:
                on_event(self, event)

    def crash(self):
        self.process.send_signal(signal.SIGKILL)


class Answer:
    """What a client has read of one answer."""

    def __init__(self):
        self.status = 0
        self.fields = {}
        self.body = b""
        self.complete = False
        self.end = ""


class Client:
    """A client's connection: HTTP/1.1, one request at a time. Reads answers strictly by the protocol."""

    def __init__(self, port, timeout=20):
        self.socket = socket.create_connection((HOST, port), timeout)
        self.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.unread = b""

    def send(self, method, path, fields, body=b""):
        lines = ["%s %s HTTP/1.1" % (method, path)] + ["%s: %s" % field for field in fields]
        if body or method == "POST":
            lines.append("Content-Length: %d" % len(body))
        self.socket.sendall(("\r\n".join(lines) + "\r\n\r\n").encode() + body)

    def fill(self):
        """Reads more bytes; returns how the connection ended, or an empty text."""
        try:
            data = self.socket.recv(65536)
        except socket.timeout:
            return "timeout"
        except OSError:
            return "reset"
        self.unread += data
        return "" if data else "closed"

    def line(self):
        while b"\r\n" not in self.unread:
            end = self.fill()
            if end:
                return None, end
        text, _, self.unread = self.unread.partition(b"\r\n")
        return text, ""

    def exactly(self, count, answer):
        while count > 0:
            if not self.unread:
                answer.end = self.fill()
                if answer.end:
                    return False
            part, self.unread = self.unread[:count], self.unread[count:]
            answer.body += part
            count -= len(part)
        return True

    def read(self, method="GET"):
        answer = Answer()
        text, answer.end = self.line()
        if text is None:
            return answer
        match = re.fullmatch(rb"HTTP/1\.1 (\d{3}) [ -~]*", text)
        if not match:
            answer.end = "no answer in the protocol: %r" % (text[:80],)
            return answer
        answer.status = int(match[1])
        while True:
            text, answer.end = self.line()
            if text is None:
                return answer
            if not text:
                break
            name, _, value = text.decode("latin-1").partition(":")
            answer.fields[name.strip().lower()] = value.strip()
        if method == "HEAD" or answer.status in (204, 304):
            answer.complete = True
        elif answer.fields.get("transfer-encoding", "").lower() == "chunked":
            while True:
                text, answer.end = self.line()
                if text is None:
                    return answer
                size = int(text.split(b";")[0], 16)
                if size == 0:
                    text, answer.end = self.line()
                    answer.complete = text == b""
                    return answer
                if not self.exactly(size, answer):
                    return answer
                text, answer.end = self.line()
                if text is None:
                    return answer
        else:
            answer.complete = self.exactly(int(answer.fields.get("content-length", 0)), answer)
        return answer

    def close(self):
        self.socket.close()


def play(folder, case):
    """Runs a case and exits with its result: 1 the rule was broken, 0 it held, 2 it could not run."""
    stage = Stage(folder)
    result = NOT_RUN
    try:
        result = case(stage)
    except Exception as fault:  # whatever goes wrong in a script is no fault of the router
        stage.note("cannot run", cause="%s: %s" % (type(fault).__name__, fault))
    finally:
        stage.note("result", code=result, meaning={BROKEN: "broken", HELD: "held", NOT_RUN: "could not run"}[result])
        stage.close()
    sys.exit(result)
