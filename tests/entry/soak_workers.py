"""Workers and the list of machines of a soak."""

import collections
import threading
import time

from tests.standins.cluster import WorkerStandin
from tests.standins.machines import MachinesStandin

__all__ = ["LaggingMachines", "SoakWorker"]

# A call to a worker that is cut off gets no answer for this long.
CUT_CALL_SECONDS = 0.5
LONGEST_DELAY_SECONDS = 5.0
CHECKPOINT_SECONDS = 0.2


class SoakWorker(WorkerStandin):
    """Execute some calls late or never, and give no answer while cut off.

    Its tasks save their progress. It notes which ends its answers had and which were
    acknowledged.
    """

    def __init__(self, name, soak, **settings):
        super().__init__(name, **settings)
        self._soak = soak
        self.is_cut = False
        # Share of the calls that get no answer.
        self.loss = 0.0
        self.is_leaving = False
        # Called once a run has ended as done, when the worker is to leave then.
        self.on_done = None
        self._lapsed_at = 0.0
        # Ended runs by number, in this life, and seconds of work that runs began with.
        self._ended = {}
        self._resumed = {}
        # Stops by life, task and attempt.
        self._stops = set()

    def call(self, path, body):
        is_lost = self._soak.draw() < self.loss
        if not (self.is_cut or is_lost):
            return self._note_listed(super().call(path, body))
        delay = LONGEST_DELAY_SECONDS * self._soak.draw()
        if self._soak.draw() < 0.5:
            timer = threading.Timer(delay, self._execute_late, (path, body, self.born))
            timer.daemon = True
            timer.start()
        elif not self.is_cut:
            super().call(path, {**body, "wait_ms": 0})
        time.sleep(CUT_CALL_SECONDS)
        return None

    def _note_listed(self, answer):
        if answer is not None and not self.is_silent:
            for number, *_ in answer[1].get("finished", ()):
                record = self._ended.get(number)
                if record is not None:
                    record.listed_at = min(record.listed_at, time.monotonic())
        return answer

    def _hold(self, body):
        seen = body.get("ack_cursor", 0)
        for number, *_ in self.finished:
            record = self._ended.get(number)
            is_known = number <= seen and not body.get("is_stray")
            if is_known and record and self._lapsed_at < record.ended:
                record.acknowledged_at = time.monotonic()
        return super()._hold(body)

    def _run_stop(self, body):
        self._stops.add((self.born, body["task"], body["attempt"]))
        return super()._run_stop(body)

    def _start(self, body):
        name = (body["task"], body["attempt"])
        was_there = name in self.running
        answer = super()._start(body)
        if name in self.running and not was_there:
            saved = float(body.get("checkpointed") or 0.0)
            self._resumed[name] = saved
            is_over = (body.get("sent_to"), *name) in self._stops
            self._active[name].is_stray = body.get("is_stray", False) and is_over
            self.running[name] -= saved
        return answer

    def _saved(self, name):
        began = self._active[name].began - self._resumed.get(name, 0.0)
        worked = min(time.monotonic() - began, self.task_seconds)
        steps = int(worked / CHECKPOINT_SECONDS)
        return f"{steps * CHECKPOINT_SECONDS:.1f}" if steps else ""

    def _end(self, name, how, at=None):
        record = self._active[name]
        super()._end(name, how, at)
        self._ended[self.number] = record
        if how == "done" and self.on_done is not None:
            self.on_done()

    def _advance(self):
        now = time.monotonic()
        if now > self._clock_began + self._to_seconds(self.until):
            self._lapsed_at = now
        super()._advance()

    def exit(self):
        """End the process with whatever runs."""
        with self.changed:
            self.is_silent = True
            self.lose_runs()
        self._soak.note_exit(self.name)

    def restart(self):
        super().restart()
        self._ended = {}

    def _execute_late(self, path, body, born):
        # An acknowledgement of its earlier life says nothing of the ends of this one.
        body = {**body, "is_stray": born != self.born, "sent_to": born}
        if not (self.is_cut or self.is_silent):
            super().call(path, {**body, "wait_ms": 0})


class LaggingMachines(MachinesStandin):
    """List the machines as they were some seconds ago."""

    def __init__(self, cluster):
        super().__init__(cluster)
        self.lag_seconds = 0.0
        self._snapshots = collections.deque(maxlen=200)

    def note_present(self):
        """Keep the present list, to be answered later."""
        self._snapshots.append((time.monotonic(), super().entries()))

    def entries(self):
        until = time.monotonic() - self.lag_seconds
        for at, entries in reversed(self._snapshots):
            if at <= until:
                return entries
        return super().entries()
