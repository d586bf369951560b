"""Workers of a fault simulation that leave, and the list of machines."""

import collections

from papayapick.clients.rows import StoredRow
from papayapick.platform.machines import Machine
from papayapick.pool.workers.liveness import LivenessCheck

__all__ = ["Departures"]

LEAVE_SECONDS = (0.3, 4.0)
# The last entry of a worker that has left, and the one of the next worker, come late.
ENTRY_SECONDS = (0.0, 3.0)
LIST_AGES = (0.0, 0.0, 1.0, 2.5)
LISTS = 80
STEP_SECONDS = 0.05
CHECK_SECONDS = 0.25
# Start time of the processes of the first workers, in Unix seconds before now.
FIRST_AGE_SECONDS = 3600.0


class Departures:
    """Let workers drain and exit at a fixed time, with whatever runs.

    Others join in their place. The owner reads the list of machines, which may be some
    seconds old, while a worker gives no answer.

    Parameters
    ----------
    simulation : FaultSimulation
    host : WritableHost
    """

    def __init__(self, simulation, host):
        self._simulation = simulation
        self._host = host
        self._lists = collections.deque(maxlen=LISTS)
        self._age = 0.0
        self._checked_at = 0.0
        self._count = 0

    def born(self, incarnation):
        """Return the start time that a worker reports which begins now."""
        age = 0.0 if self._lists else FIRST_AGE_SECONDS
        return int(1000 * (self._host.clock.time() - age))

    def inject(self, workers):
        """Let one of the workers drain, or the list of machines be behind, at times."""
        rng = self._simulation.rng
        if rng.random() < 0.02:
            self._age = rng.choice(LIST_AGES)
        if rng.random() < 0.03:
            worker = rng.choice([one for one in workers if not one.is_gone])
            if worker.is_reached:
                self._drain(worker)

    def _drain(self, worker):
        rng = self._simulation.rng
        self.register(worker, "draining")
        if rng.random() < 0.4:
            worker.leaves_at_end = True
        else:
            self._simulation.run_in(rng.uniform(*LEAVE_SECONDS), self.exit, worker)

    def exit(self, worker):
        """End the process of a worker for good."""
        if worker.is_gone:
            return
        rng = self._simulation.rng
        worker.is_gone = True
        worker.crash()
        if rng.random() < 0.5:
            # Its connections end, so that the next call fails at once.
            self._simulation.poll_now(worker.name)
        self._simulation.run_in(rng.uniform(*ENTRY_SECONDS), self._forget, worker)
        self._simulation.run_in(rng.uniform(*ENTRY_SECONDS), self._simulation.join)

    def register(self, worker, state="ready"):
        """Write the entry of a worker."""
        value = {
            "service": "pool",
            "address": f"{worker.name}:1",
            "zone": "z",
            "state": state,
            "capacity": {"cpu": 4000, "mem_mb": 4000},
            "born": worker.shown_born,
        }
        self._write(worker, value)

    def _forget(self, worker):
        self._write(worker, None)

    def _write(self, worker, value):
        rows = self._host.rows.setdefault(("servers", ""), [])
        rows[:] = [row for row in rows if row.key != worker.name]
        row = StoredRow("servers", "", worker.name, value, 1)
        if value is not None:
            rows.append(row)
        self._simulation.note_worker_row(row)

    def advance(self, owner, workers):
        """Keep the present list, let workers leave, and check those without answers."""
        self._lists.append([(one.name, one.is_up) for one in workers])
        for worker in workers:
            if worker.leaves_at_end and any(e.outcome == "done" for e in worker.ends):
                self.exit(worker)
        now = self._simulation.now
        check = LivenessCheck(owner, self)
        if now - self._checked_at >= CHECK_SECONDS and check._silent_links():
            self._checked_at = now
            check.check_once()

    def fetch(self):
        """Return the machines as they were some seconds ago."""
        back = min(len(self._lists), 1 + int(self._age / STEP_SECONDS))
        return [
            Machine(f"m-{name}", "pool", is_up, name if is_up else "")
            for name, is_up in self._lists[-back]
        ]
