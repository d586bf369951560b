"""Stand-in for a worker of the platform, which runs tasks under a lease."""

import threading
import time

from tests.standins.runs import RunRecord
from tests.standins.statuses import CONFLICT, OK

__all__ = ["WorkerStandin"]

LEASE_LIMIT_MS = 6000
# What the clock of a worker shows when it begins.
CLOCK_OFFSET_MS = 5_000_000


class WorkerStandin:
    """Run tasks for ``task_seconds`` under a lease; refuse lower fencing tokens."""

    service = "pool-1"

    def __init__(self, name, cpu=16000, mem_mb=65536, task_seconds=0.1):
        self.name = name
        # Last part of its address; another worker may take it later.
        self.slot = name
        self.capacity = {"cpu": cpu, "mem_mb": mem_mb, "gpu": 0}
        self.task_seconds = task_seconds
        # In Unix milliseconds; an hour ago, as most workers have run for long.
        self.born = int(time.time() * 1000) - 3_600_000
        self.token = 0
        self.until = 0.0
        self.running = {}
        self.finished = []
        self.last_attempts = {}
        self.starts = []
        # All runs so far, and the active ones by name.
        self.records = []
        self._active = {}
        # Monotonic seconds at which its clock began, and its speed.
        self._clock_began = 0.0
        self.clock_rate = 1.0
        # Time, 1 for a start or -1 for an end, and task.
        self.changes = []
        self.overlaps = []
        self.number = 0
        self.failing = set()
        self.is_silent = False
        self.starts_to_lose = 0
        # Start orders that got no answer; ``run_late`` executes them.
        self.late = []
        self.starts_to_delay = 0
        self.changed = threading.Condition()

    def call(self, path, body):
        with self.changed:
            if body.get("fencing_token", 0) < self.token:
                return CONFLICT, self._body(reason="fence")
            self.token = body.get("fencing_token", 0)
            self._advance()
            return getattr(self, "_" + path.replace("-", "_"))(body)

    def _run_start(self, body):
        if self.starts_to_delay:
            self.starts_to_delay -= 1
            self.late.append(body)
            return None
        return self._start(body)

    def _start(self, body):
        task, attempt = body["task"], body["attempt"]
        if (task, attempt) in self.running:
            return OK, self._body()
        if attempt <= self.last_attempts.get(task, 0):
            return CONFLICT, self._body(reason="old")
        if body["expires_ms"] < self._clock():
            return CONFLICT, self._body(reason="late")
        self._extend(body)
        now = time.monotonic()
        self.running[(task, attempt)] = now + self.task_seconds
        self.starts.append((task, attempt))
        self.changes.append((now, 1, task))
        record = RunRecord(self.name, task, attempt, self.token, now)
        self.records.append(record)
        self._active[(task, attempt)] = record
        self.changed.notify_all()
        if self.starts_to_lose:
            self.starts_to_lose -= 1
            return None
        return OK, self._body()

    def execute_delayed_starts(self):
        """Execute the delayed start orders and return their answers."""
        with self.changed:
            late, self.late = self.late, []
            return [
                (CONFLICT, {"reason": "fence"})
                if body["fencing_token"] < self.token
                else self._start(body)
                for body in late
            ]

    def _run_stop(self, body):
        name = (body["task"], body["attempt"])
        if name in self.running:
            self._end(name, "stopped")
        task, attempt = name
        self.last_attempts[task] = max(attempt, self.last_attempts.get(task, 0))
        return OK, self._body()

    def _pace(self, body):
        return OK, self._body()

    def _hold(self, body):
        self._extend(body)
        seen = body.get("ack_cursor", 0)
        self.finished = [end for end in self.finished if end[0] > seen]
        deadline = time.monotonic() + body.get("wait_ms", 0) / 1000
        while not self.finished and time.monotonic() < deadline:
            self.changed.wait(0.01)
            self._advance()
        running = [
            [*name, self._saved(name), self._percent(name), 0] for name in self.running
        ]
        return OK, self._body(running=running, finished=list(self.finished))

    def _saved(self, name):
        """Return the last checkpoint of an active run; empty, as none are made."""
        return ""

    def _percent(self, name):
        rest = self.running[name] - time.monotonic()
        return max(0, min(99, int(100 * (1 - rest / self.task_seconds))))

    def _extend(self, body):
        if "expires_ms" in body:
            limit = self._clock() + LEASE_LIMIT_MS
            self.until = max(self.until, min(body["expires_ms"], limit))

    def _advance(self):
        now = time.monotonic()
        lapse = self._clock_began + self._to_seconds(self.until)
        for name, end in list(self.running.items()):
            if min(now, lapse) >= end:
                how = "failed" if name[0] in self.failing else "done"
                self._end(name, how, end)
        if now > lapse:
            for name in list(self.running):
                self._end(name, "lapsed", lapse)

    def all_records(self):
        """Return the records of all runs so far, up to the present."""
        with self.changed:
            self._advance()
            return list(self.records)

    def lose_runs(self):
        """End all runs without a trace, as a crash does; the caller holds the lock."""
        self._advance()
        for name in list(self.running):
            self._close(name, "lost", time.monotonic())

    def restart(self):
        """Begin another life under the same id; the caller holds the lock."""
        self.lose_runs()
        self.born = int(time.time() * 1000)
        self.token = self.number = 0
        self.until = 0.0
        self._clock_began = time.monotonic()
        self.finished = []
        self.last_attempts = {}

    def _end(self, name, how, at=None):
        saved = self._saved(name)
        self._close(name, how, time.monotonic() if at is None else at)
        self.number += 1
        task, attempt = name
        self.last_attempts[task] = max(attempt, self.last_attempts.get(task, 0))
        self.finished.append([self.number, task, attempt, how, saved])
        self.changed.notify_all()

    def _close(self, name, how, at):
        self.running.pop(name)
        record = self._active.pop(name)
        record.ended, record.how = at, how
        self.changes.append((at, -1, name[0]))

    def _clock(self):
        seconds = time.monotonic() - self._clock_began
        return int(seconds * self.clock_rate * 1000) + CLOCK_OFFSET_MS

    def _to_seconds(self, milliseconds):
        return (milliseconds - CLOCK_OFFSET_MS) / 1000 / self.clock_rate

    def _body(self, **fields):
        return {"clock_ms": self._clock(), "born": self.born, **fields}
