"""Load generator that sends requests until its context ends."""

import json
import threading
import time

from demo.cells import http_call

URGENT = {"service": "quick-counts", "payload": {"seconds": 0.02}}


class Load:
    """Send requests from several threads, each with one request at a time.

    ``answers`` lists (status, error type, outcome, seconds) of each request; the
    status is 0 where the connection failed.
    """

    def __init__(self, addresses, threads=6, body=None, timeout="2.6"):
        self._addresses = addresses
        self._body = body or URGENT
        self._timeout = timeout
        self._stop = threading.Event()
        self._lock = threading.Lock()
        self.answers = []
        self._threads = [
            threading.Thread(target=self._run, args=(number,), daemon=True)
            for number in range(threads)
        ]

    def __enter__(self):
        for thread in self._threads:
            thread.start()
        return self

    def __exit__(self, *ignored):
        self._stop.set()
        for thread in self._threads:
            thread.join()

    @property
    def problems(self):
        """Return the answers with a status other than 200."""
        return [found for found in self.answers if found[0] != 200]

    def wait_for_more(self, count):
        """Wait until this number of further answers has arrived."""
        goal = len(self.answers) + count
        while len(self.answers) < goal:
            self._stop.wait(0.01)

    def _run(self, number):
        while not self._stop.is_set():
            address = self._addresses[number % len(self._addresses)]
            began = time.monotonic()
            headers = {"Request-Timeout": self._timeout}
            try:
                status, _, data = http_call(
                    address, "POST", "/v1/requests", self._body, headers
                )
                found = json.loads(data) if status != 200 else {}
            except OSError as error:
                status, found = 0, {"type": type(error).__name__}
            seconds = time.monotonic() - began
            with self._lock:
                kind = found.get("type", "").rpartition(":")[2]
                self.answers.append((status, kind, found.get("outcome", ""), seconds))
