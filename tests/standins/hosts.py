"""Stand-in for the service that lists the live and leaving hosts, with a lag."""

import hashlib
import json
import threading

HOSTS = "hosts"


class HostsStandin:
    def __init__(self, clock, lag_seconds=0.0):
        self._clock = clock
        self._lag = lag_seconds
        self._changes = []
        self._shown = {}
        self._lock = threading.Lock()

    def put(self, line):
        """Add or replace a host's entry; it is listed after the lag."""
        self._change(line["name"], line)

    def remove(self, name):
        self._change(name, None)

    def mark(self, name, state):
        """Change the state of a host that was added before."""
        with self._lock:
            lines = dict(self._shown)
            lines.update({found[1]: found[2] for found in self._changes})
        self._change(name, {**lines[name], "state": state})

    def lines(self):
        now = self._clock.monotonic()
        with self._lock:
            while self._changes and self._changes[0][0] <= now:
                _, name, line = self._changes.pop(0)
                if line is None:
                    self._shown.pop(name, None)
                else:
                    self._shown[name] = line
            return [self._shown[name] for name in sorted(self._shown)]

    def answer(self):
        body = json.dumps({"hosts": self.lines()}).encode()
        return hashlib.sha256(body).hexdigest()[:16], body

    def _change(self, name, line):
        with self._lock:
            due = self._clock.monotonic() + self._lag
            self._changes.append((due, name, line))
