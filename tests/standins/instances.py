"""Stand-in for backend servers: service instances with slots, fenced by epoch."""

import collections
import json
import threading


class _Instance:
    def __init__(self, service, slots):
        self.service = service
        self.slots = slots
        self.epoch = 0
        self.running = collections.Counter()
        self.runs = collections.Counter()
        self.most = 0


class InstancesStandin:
    """Simulate all instances of a cell; each call names one of them."""

    def __init__(self, board, service_seconds=0.002):
        self._board = board
        self._seconds = service_seconds
        self._instances = {}
        self._lock = threading.Lock()

    def add(self, name, service, slots=8):
        self._instances[name] = _Instance(service, slots)

    def call(self, name, request_id, epoch, payload):
        """Run one request and return status, body and headers."""
        instance = self._instances[name]
        with self._lock:
            if epoch < instance.epoch:
                return 409, b"{}", {"Shard-Epoch": str(instance.epoch)}
            instance.epoch = epoch
            instance.running[request_id] += 1
            instance.runs[request_id] += 1
            instance.most = max(instance.most, sum(instance.running.values()))
        try:
            self._work(name, payload)
            if self._board.get(name, "fail"):
                return 500, b'{"error": "fails everything"}', {}
            body = {"instance": name, "service": instance.service, "payload": payload}
            return 200, json.dumps(body).encode(), {}
        finally:
            with self._lock:
                instance.running[request_id] -= 1

    def fence(self, name, epoch):
        instance = self._instances[name]
        with self._lock:
            if epoch < instance.epoch:
                return 409, {"epoch": instance.epoch}
            instance.epoch = epoch
            return 200, {"running": sorted(+instance.running)}

    def state(self, name, request_id):
        instance = self._instances[name]
        with self._lock:
            if instance.running[request_id]:
                return 200, {"state": "running"}
            if instance.runs[request_id]:
                return 200, {"state": "done"}
            return 404, {}

    def runs(self):
        """Return the number of runs of each request over all instances."""
        total = collections.Counter()
        with self._lock:
            for instance in self._instances.values():
                total += instance.runs
        return dict(total)

    def most(self):
        """Return the highest number of requests that an instance ran at once."""
        return max((found.most for found in self._instances.values()), default=0)

    def _work(self, name, payload):
        seconds = self._seconds
        if isinstance(payload, dict):
            seconds = payload.get("seconds", seconds)
        self._board.delay(name)
        if seconds:
            threading.Event().wait(seconds)
