"""Workers of a fault simulation, which behave as the platform documents them."""

from papayapick.platform.exceptions import CallFailed
from papayapick.pool.workers.reports import (
    EndReport,
    RunReport,
    StartOutcome,
    WorkerReport,
)

__all__ = ["SimulatedRun", "SimulatedWorker"]

CAPACITY = 4000
MAX_LEASE_SECONDS = 6.0
GANG_TIMEOUT_SECONDS = 4.0
STOP_SECONDS = 0.15
FENCED = 409


class SimulatedRun:
    """Hold the progress of one run on a simulated worker."""

    def __init__(self, rng):
        self.done = 0.0
        # Seconds without the other members of its gang.
        self.alone = 0.0
        self.length = rng.choice([0.05, 0.1, 0.3, 1.0, 2.0])
        self.fails = rng.random() < 0.05
        self.ends_at = None
        # Whether its order was sent to an earlier incarnation of the worker, by an
        # earlier owner, or one which had confirmed its stop before it ended. The
        # present owner can't prevent such a run.
        self.is_stray = False


class SimulatedWorker:
    """Execute orders as the platform's workers do.

    Attributes
    ----------
    born : int
        Number of its incarnation.
    runs : dict
        Simulated runs by key and attempt.
    shown_born : int
        What it reports as the start time of its process.
    """

    def __init__(self, simulation, name):
        self.name = name
        self.is_partitioned = False
        self.is_up = True
        # Whether it has left for good.
        self.is_gone = False
        # Whether it leaves as soon as a run ends as done.
        self.leaves_at_end = False
        self.born = 0
        # Stops by incarnation, key and attempt.
        self.stops = set()
        self._simulation = simulation
        self.restart()

    def restart(self):
        """Restart under the same id without any earlier state."""
        self.is_up = True
        self.born += 1
        self.shown_born = self._simulation.shown_born(self.born)
        self.runs, self.ends = {}, []
        self._end_count = 0
        self._highest_attempts = {}
        self._highest_epoch = 0
        self._lease_end = 0.0
        self._clock_offset = self._simulation.rng.uniform(0.0, 1000.0)

    def crash(self):
        """Stop together with all runs."""
        self.is_up = False
        self.runs = {}

    @property
    def is_reached(self):
        """Return whether calls reach the worker."""
        return self.is_up and not self.is_partitioned

    @property
    def _clock(self):
        return self._simulation.now + self._clock_offset

    def start(self, key, attempt, lease_end, epoch):
        if epoch < self._highest_epoch:
            return StartOutcome.FENCED
        self._highest_epoch = epoch
        if (key, attempt) in self.runs:
            return StartOutcome.STARTED
        if lease_end < self._clock:
            return StartOutcome.EXPIRED
        self._extend_lease(lease_end)
        if attempt <= self._highest_attempts.get(key, 0):
            return StartOutcome.OUTDATED
        if (
            self._used_processors()
            + self._simulation.step_of(key).room_demand.processors
            > CAPACITY
        ):
            return StartOutcome.NO_ROOM
        self.runs[(key, attempt)] = SimulatedRun(self._simulation.rng)
        return StartOutcome.STARTED

    def stop(self, key, attempt, epoch):
        self._check(epoch)
        self.stops.add((self.born, key, attempt))
        self._highest_attempts[key] = max(self._highest_attempts.get(key, 0), attempt)
        run = self.runs.get((key, attempt))
        if run is not None and run.ends_at is None:
            run.ends_at = self._simulation.now + STOP_SECONDS

    def renew(self, epoch, acknowledged, lease_end, is_stray=False):
        self._check(epoch)
        self._simulation.done_ends.note_acknowledged(
            (end for end in self.ends if end.number <= acknowledged), is_stray
        )
        self.ends = [end for end in self.ends if end.number > acknowledged]
        if lease_end is not None:
            self._extend_lease(lease_end)
        runs = [
            RunReport(*name, percent=int(min(99, 100 * run.done / run.length)))
            for name, run in self.runs.items()
        ]
        return WorkerReport(self._clock, self.shown_born, runs, list(self.ends))

    def work(self, seconds):
        """Advance all runs by some seconds, or end them if the lease has expired."""
        if self._clock > self._lease_end:
            for name in list(self.runs):
                self.end(name, "lapsed")
        for name, run in list(self.runs.items()):
            if name in self.runs:
                self._advance_run(name, run, seconds)

    def end(self, name, outcome):
        """End a run and list its end."""
        del self.runs[name]
        key, attempt = name
        self._highest_attempts[key] = max(self._highest_attempts.get(key, 0), attempt)
        self._end_count += 1
        self.ends.append(EndReport(self._end_count, key, attempt, outcome))

    def _advance_run(self, name, run, seconds):
        key, attempt = name
        step = self._simulation.step_of(key)
        members = (
            self._simulation.members(key, attempt) if step.is_gang else [(self, name)]
        )
        if run.ends_at is not None:
            run.done += seconds
            if self._ends_in_grace(step, run):
                self.end(name, "done")
            elif self._simulation.now >= run.ends_at:
                self.end(name, "stopped")
        elif step.is_gang and len(members) < step.tasks:
            run.alone += seconds
            if run.alone > GANG_TIMEOUT_SECONDS:
                self.end(name, "alone")
        else:
            run.done += seconds
            self._end_if_due(name, run, step, members)

    def _ends_in_grace(self, step, run):
        is_single = not (step.is_gang or step.is_lasting)
        is_done = run.done >= run.length and not run.fails
        return self._simulation.ends_in_grace and is_single and is_done

    def _end_if_due(self, name, run, step, members):
        if run.fails and run.done > run.length / 2:
            self.end(name, "failed")
            _end_all([one for one in members if one[1] != name], "broken")
        elif not step.is_lasting and run.done >= run.length:
            _end_all(members, "done")

    def _check(self, epoch):
        if epoch < self._highest_epoch:
            raise CallFailed(address=self.name, status=FENCED, body=b"")
        self._highest_epoch = epoch

    def _extend_lease(self, lease_end):
        latest_end = self._clock + MAX_LEASE_SECONDS
        self._lease_end = max(self._lease_end, min(lease_end, latest_end))

    def _used_processors(self):
        return sum(
            self._simulation.step_of(key).room_demand.processors for key, _ in self.runs
        )


def _end_all(members, outcome):
    for worker, name in members:
        worker.end(name, outcome)
