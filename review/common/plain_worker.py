"""A plain worker: runs each request for some milliseconds and answers with a sealed text."""
import os
import sys
import time

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
from http_worker import HttpWorker, report  # noqa: E402

WORK_S = 0.02


class Service(HttpWorker):
    def run(self, request):
        attempt = request.fields.get("x-attempt-id", "")
        report("runs", attempt=attempt, method=request.method, at=time.monotonic(),
               tenant=request.fields.get("x-tenant"))
        time.sleep(WORK_S)
        body = ("ran %s" % attempt).encode()
        head = self.head("200 OK", request) + b"Content-Length: %d\r\n\r\n" % len(body)
        request.connection.sendall(head + (b"" if request.method == "HEAD" else body))
        return True


Service().serve()
