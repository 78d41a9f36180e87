"""The part that the worker stand-ins share: connections, requests, and the fields of each answer.

A worker prints what happens as JSON documents, a line each, and takes orders the same way from its standard input.
"""
import json
import os
import signal
import socket
import sys
import threading

lock = threading.Lock()


def report(what, **values):
    with lock:
        print(json.dumps({"what": what, **values}), flush=True)


def crash():
    """Ends this process at once, as a crash does."""
    os.kill(os.getpid(), signal.SIGKILL)


class Request:
    def __init__(self, method, path, fields, connection):
        self.method, self.path, self.fields, self.connection = method, path, fields, connection
        self.body = b""

    @property
    def length(self):
        return int(self.fields.get("content-length", 0))


class HttpWorker:
    """Subclasses implement `run`, which answers a request and returns whether the connection stays open."""

    reads_bodies = True
    receive_buffer = 0

    def __init__(self):
        self.name = sys.argv[1]
        self.listener = socket.socket()
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        if self.receive_buffer:
            self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, self.receive_buffer)
        self.listener.bind(("127.0.0.1", int(sys.argv[2])))
        self.listener.listen(128)

    def serve(self):
        threading.Thread(target=self.take_orders, daemon=True).start()
        report("listening")
        while True:
            connection, _ = self.listener.accept()
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            threading.Thread(target=self.converse, args=(connection,), daemon=True).start()

    def take_orders(self):
        for line in sys.stdin:
            self.order(json.loads(line))

    def order(self, document):
        pass

    def converse(self, connection):
        unread = b""
        try:
            while True:
                while b"\r\n\r\n" not in unread:
                    data = connection.recv(4096)
                    if not data:
                        return
                    unread += data
                head, _, unread = unread.partition(b"\r\n\r\n")
                first, *lines = head.decode("latin-1").split("\r\n")
                method, path, _ = first.split(" ", 2)
                fields = {}
                for line in lines:
                    name, _, value = line.partition(":")
                    fields[name.strip().lower()] = value.strip()
                request = Request(method, path, fields, connection)
                while self.reads_bodies and len(unread) < request.length:
                    data = connection.recv(65536)
                    if not data:
                        return
                    unread += data
                request.body, unread = unread[:request.length], unread[request.length:]
                if not self.answer(request):
                    return
        except OSError as fault:
            report("connection failed", cause=str(fault))
        finally:
            connection.close()

    def answer(self, request):
        if request.path == "/healthz":
            request.connection.sendall(b"HTTP/1.1 200 OK\r\nX-Instance-Id: %s\r\nContent-Length: 0\r\n\r\n"
                                       % self.name.encode())
            return True
        if request.fields.get("x-expect-instance") != self.name:
            request.connection.sendall(self.head("421 Misdirected Request", request) + b"Content-Length: 0\r\n\r\n")
            return True
        return self.run(request)

    def head(self, status, request):
        """The status line and the fields that every answer has; the caller adds its own and the blank line."""
        text = "HTTP/1.1 %s\r\nX-Instance-Id: %s\r\n" % (status, self.name)
        if "x-attempt-id" in request.fields:
            text += "X-Attempt-Id: %s\r\n" % request.fields["x-attempt-id"]
        if status.startswith("200"):
            text += "X-Response-Seal: %s.%s\r\n" % (self.name, request.fields.get("x-attempt-id", ""))
        return text.encode()
