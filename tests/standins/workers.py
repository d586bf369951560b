"""Stand-in for workers that run tasks under leases and refuse lower epochs."""

import threading

AMOUNTS = ("processors", "memory", "accelerators")


class _Task:
    def __init__(self, name, demand, started, lease_end, work):
        self.name = name
        self.demand = demand
        self.started = started
        self.lease_end = lease_end
        self.work = work
        self.ended = None


class _Worker:
    def __init__(self, capacity):
        self.capacity = capacity
        self.epoch = 0
        self.tasks = {}
        self.overfilled = 0


class WorkersStandin:
    """Simulate all workers of a cell; each call names one of them."""

    def __init__(self, clock, drift=0.0):
        self._clock = clock
        self._drift = drift
        self._workers = {}
        self._progress = {}
        self._lock = threading.Lock()

    def add(self, name, capacity):
        self._workers[name] = _Worker(capacity)

    def call(self, name, path, body):
        """Handle one POST request and return its status and JSON value."""
        with self._lock:
            worker = self._workers.get(name)
            if worker is None:
                return 404, {}
            self._advance(worker)
            if body["epoch"] < worker.epoch:
                return 409, {"epoch": worker.epoch}
            worker.epoch = body["epoch"]
            return getattr(self, "_" + path)(worker, body)

    def overfilled(self):
        """Return how often a start exceeded the capacity of its worker."""
        return sum(worker.overfilled for worker in self._workers.values())

    def running(self):
        """Return the running tasks by worker."""
        with self._lock:
            for worker in self._workers.values():
                self._advance(worker)
            return {
                name: sorted(t.name for t in worker.tasks.values() if not t.ended)
                for name, worker in self._workers.items()
            }

    def _now(self):
        return self._clock.monotonic() * (1 + self._drift)

    def _advance(self, worker):
        now = self._now()
        for task in worker.tasks.values():
            if task.ended:
                continue
            due = task.started + task.work.get("run_seconds", 0.05)
            due -= self._progress.get(task.work.get("checkpoint"), 0.0)
            if task.work.get("fail"):
                task.ended = "failed"
            elif due <= min(now, task.lease_end):
                task.ended = "done"
            elif now > task.lease_end:
                task.ended = "lapsed"

    def _fence(self, worker, body):
        return 200, {"tasks": self._reports(worker, worker.tasks)}

    def _tasks(self, worker, body):
        name = body["task"]
        if name not in worker.tasks:
            now = self._now()
            lease_end = now + body["lease_seconds"]
            worker.tasks[name] = _Task(
                name, body["demand"], now, lease_end, body["work"]
            )
            self._measure(worker)
        return 200, {}

    def _stop(self, worker, body):
        for name in body["tasks"]:
            task = worker.tasks.get(name)
            if task is None:
                # The stop arrived before its start; the record makes the later start
                # have no effect.
                task = _Task(name, {}, self._now(), 0, {})
                worker.tasks[name] = task
            task.ended = task.ended or "stopped"
        return 200, {}

    def _checkpoint(self, worker, body):
        for name in body["tasks"]:
            task = worker.tasks.get(name)
            if task is not None and not task.ended:
                before = self._progress.get(task.work.get("checkpoint"), 0.0)
                self._progress[name] = before + self._now() - task.started
                task.ended = "checkpointed"
        return 200, {}

    def _leases(self, worker, body):
        now = self._now()
        for name in body["tasks"]:
            task = worker.tasks.get(name)
            if task is not None and not task.ended:
                task.lease_end = now + body["lease_seconds"]
        return 200, {"tasks": self._reports(worker, body["tasks"])}

    @staticmethod
    def _reports(worker, names):
        tasks = [worker.tasks[name] for name in names if name in worker.tasks]
        return [
            {
                "task": task.name,
                "state": task.ended or "running",
                "demand": task.demand,
                "usage": task.work.get("usage", {}),
                "result": "ok" if task.ended == "done" else "",
            }
            for task in tasks
        ]

    @staticmethod
    def _measure(worker):
        for amount in AMOUNTS:
            used = sum(
                task.demand.get(amount, 0)
                for task in worker.tasks.values()
                if not task.ended
            )
            if used > worker.capacity.get(amount, 0):
                worker.overfilled += 1
