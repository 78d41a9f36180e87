"""A model worker: streams numbered events, goes on after `Last-Event-Id`, and crashes on order inside an event."""
import os
import queue
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "common"))
from http_worker import HttpWorker, crash, report  # noqa: E402

EVENTS = 40
PREFILL_S = 0.15
HALF_EVENT_S = 0.012  # six tokens an event, 3.82 ms a step


class Engine(HttpWorker):
    def __init__(self):
        super().__init__()
        self.orders = queue.Queue()

    def order(self, document):
        self.orders.put(document["crash_in_event"])

    def run(self, request):
        after = request.fields.get("last-event-id")
        report("begins", attempt=request.fields.get("x-attempt-id"), last_event_id=after)
        crash_in_event = self.orders.get()  # 0 for no crash
        time.sleep(PREFILL_S)
        request.connection.sendall(self.head("200 OK", request) + b"Content-Type: text/event-stream\r\n"
                                   b"Transfer-Encoding: chunked\r\n\r\n")
        for number in range(int(after or 0) + 1, EVENTS + 1):
            event = b"id: %d\ndata: words of piece %d\n\n" % (number, number)
            half = len(event) // 2
            self.chunk(request, event[:half])
            time.sleep(HALF_EVENT_S)
            if number == crash_in_event:
                report("crashes", in_event=number)
                crash()
            self.chunk(request, event[half:])
            time.sleep(HALF_EVENT_S)
        request.connection.sendall(b"0\r\n\r\n")
        report("ends", attempt=request.fields.get("x-attempt-id"))
        return True

    @staticmethod
    def chunk(request, data):
        request.connection.sendall(b"%x\r\n%s\r\n" % (len(data), data))


Engine().serve()
