"""A plain worker that answers before it has read a long body, with an answer that ends with its connection."""
import os
import socket
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "common"))
from http_worker import HttpWorker, crash, report  # noqa: E402

PARTS = [b"part %d of 4: %s\n" % (number, b"x" * 185) for number in range(1, 5)]
PART_GAP_S = 0.1


class Service(HttpWorker):
    reads_bodies = False
    receive_buffer = 4096

    def __init__(self):
        super().__init__()
        self.crash_after_part = 0

    def order(self, document):
        self.crash_after_part = document["crash_after_part"]

    def run(self, request):
        report("runs", attempt=request.fields.get("x-attempt-id"), body_bytes=request.length)
        time.sleep(PART_GAP_S)
        request.connection.sendall(self.head("200 OK", request) + b"Connection: close\r\n\r\n")
        for number, part in enumerate(PARTS, 1):
            request.connection.sendall(part)
            report("has written", part=number)
            time.sleep(PART_GAP_S)
            if number == self.crash_after_part:
                report("crashes", after_part=number)
                crash()
        # The answer is complete; the rest of the body is read, so that the close does not reset the connection.
        request.connection.shutdown(socket.SHUT_WR)
        while request.connection.recv(65536):
            pass
        return False


Service().serve()
