"""Simulate a pool under delayed orders, crashes and takeovers, without threads.

Workers behave as the platform documents them. A call without an answer may be executed
seconds later, also by the next incarnation of the worker.
"""

import heapq
import random

from papayapick.clients.rows import StoredRow
from papayapick.clock import ManualClock
from papayapick.jobs import JobDocument, Queue, Step, TaskKey
from papayapick.jobs.queues import CellConfiguration
from papayapick.ledger import Amounts
from papayapick.ownership.pools import PoolRow
from papayapick.platform.exceptions import CallFailed, WorkerSilent
from papayapick.pool.owner import PoolOwner
from papayapick.pool.records.journal import JOBS_TABLE
from papayapick.pool.workers.reports import (
    EndReport,
    RunReport,
    StartOutcome,
    WorkerReport,
)
from papayapick.quotas import Team, TeamDirectory
from tests.pool.owners import register
from tests.pool.standins import Host, ManualExecutor

__all__ = ["FaultSimulation"]

QUEUE = Queue("q", "h", "/q/", "pool", 0, 1000, 1.5, 0.5, 3.0, True, None)
PATIENT = Queue("p", "h", "/p/", "pool", 2, 1000, 2.2, 1.2, 3.0, True, None)
# Enough for the lasting tasks and one gang beside them.
OVERLOAD_WORKERS = 8
WORKERS = 14
CAPACITY = 4000
FAULT_SECONDS = 20.0
RECOVERY_SECONDS = 25.0
# With a backlog of tasks, since the pool is small.
OVERLOAD_RECOVERY_SECONDS = 75.0
STEP_SECONDS = 0.05
MAX_LEASE_SECONDS = 6.0
GANG_TIMEOUT_SECONDS = 4.0
STOP_SECONDS = 0.15
MAX_DELAY_SECONDS = 12.0
JOB_LIMIT = 120
FENCED = 409
TEAMS = ("accounts", "leasing")


class NonBlockingClock(ManualClock):
    """Return at once from waits; only the steps of the simulation advance the time."""

    def wait(self, event, seconds):
        return event.is_set()


class WritableHost(Host):
    """Store the rows of commits."""

    def __init__(self):
        super().__init__()
        self.clock = NonBlockingClock(1000.0)
        self._version = 10

    def queue_of(self, document):
        return PATIENT if document.queue == PATIENT.name else QUEUE

    def broadcast(self, owner):
        pass

    def note_answer(self):
        pass

    def transact(self, expectations, writes, seconds=None):
        self._version += 1
        for write in writes:
            place = (write.table, write.partition)
            rows = self.rows.setdefault(place, [])
            rows[:] = [row for row in rows if row.key != write.key]
            row = StoredRow(*place, write.key, write.value, self._version)
            rows.append(row)
        return self._version


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
    """

    def __init__(self, simulation, name):
        self.name = name
        self.is_partitioned = False
        self.is_up = True
        self.born = 0
        # Stops by incarnation, key and attempt.
        self.stops = set()
        self._simulation = simulation
        self.restart()

    def restart(self):
        """Restart under the same id without any earlier state."""
        self.is_up = True
        self.born += 1
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

    def renew(self, epoch, acknowledged, lease_end):
        self._check(epoch)
        self.ends = [end for end in self.ends if end.number > acknowledged]
        if lease_end is not None:
            self._extend_lease(lease_end)
        runs = [
            RunReport(*name, percent=int(min(99, 100 * run.done / run.length)))
            for name, run in self.runs.items()
        ]
        return WorkerReport(self._clock, self.born, runs, list(self.ends))

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
            if self._simulation.now >= run.ends_at:
                self.end(name, "stopped")
        elif step.is_gang and len(members) < step.tasks:
            run.alone += seconds
            if run.alone > GANG_TIMEOUT_SECONDS:
                self.end(name, "alone")
        else:
            run.done += seconds
            self._end_if_due(name, run, step, members)

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


class NoAnswer(Exception):
    """Raise for a call that got no answer."""


class UnreliableClient:
    """Call a worker over a network that may lose or delay a call."""

    def __init__(self, simulation, worker):
        self._simulation = simulation
        self._worker = worker

    def start(self, run, payload, lease_end, epoch, checkpoint="", ticket=""):
        incarnation = self._worker.born

        def execute():
            outcome = self._worker.start(run.key, run.attempt, lease_end, epoch)
            started = self._worker.runs.get((run.key, run.attempt))
            if started is not None:
                is_over = (incarnation, run.key, run.attempt) in self._worker.stops
                started.is_stray = self._worker.born != incarnation and (
                    is_over or epoch != self._simulation.epoch
                )
                self._simulation.note_started(self._worker, run.key)
            return outcome

        try:
            return self._call(execute)
        except NoAnswer:
            return StartOutcome.UNKNOWN

    def stop(self, key, attempt, epoch):
        try:
            self._call(lambda: self._worker.stop(key, attempt, epoch))
        except NoAnswer as error:
            raise WorkerSilent(worker=self._worker.name) from error

    def renew(self, epoch, acknowledged, lease_end=None, wait_seconds=0.0):
        try:
            return self._call(
                lambda: self._worker.renew(epoch, acknowledged, lease_end)
            )
        except NoAnswer as error:
            raise WorkerSilent(worker=self._worker.name) from error

    def _call(self, execute):
        if not self._worker.is_reached:
            raise NoAnswer
        if self._simulation.loses_answer():
            self._simulation.run_later(lambda: self._execute_late(execute))
            raise NoAnswer
        return execute()

    def _execute_late(self, execute):
        if self._worker.is_reached:
            try:
                execute()
            except CallFailed:
                return


class FaultSimulation:
    """Simulate a pool with random jobs and faults, followed by a recovery phase.

    Parameters
    ----------
    seed : int
        Determines all random choices.
    maxima : list of int, optional
        Processors that each of two teams may have running, in millicores; one of them
        is in force at a time. Without them, jobs belong to no team.
    expects_overload : bool, optional
        Whether the pool is small, and every second job patient, so that jobs yield and
        tasks are stopped for urgent ones.
    workers : int, optional
        Number of workers. With few of them, a task is more often placed on one that
        has just restarted.

    Attributes
    ----------
    excesses : list of tuple
        Teams that had more running after a start than allowed, and the millicores.
    duplicate_runs : list of TaskKey
        Tasks of which a run started while another one was active on another worker.
        Runs of stray orders do not count.
    """

    def __init__(self, seed, maxima=(), expects_overload=False, workers=None):
        self.rng = random.Random(seed)
        self.duplicate_runs = []
        self.excesses = []
        self._maxima = list(maxima)
        self._teams = {}
        self._host = WritableHost()
        self._host.settings.expects_overload = expects_overload
        self._loss_probability = self.rng.choice([0.05, 0.15, 0.3])
        self._has_faults_ended = False
        self._events = []
        self._event_count = 0
        self._steps = {}
        self._identifiers = []
        self._epoch = 2
        self._owner = None
        self._poll_at = {}
        self._workers = {}
        usual = OVERLOAD_WORKERS if expects_overload else WORKERS
        for number in range(workers or usual):
            name = f"w{number}"
            register(self._host, name)
            self._workers[name] = SimulatedWorker(self, name)
        if self._maxima:
            self._configure()
        self._take_over()

    @property
    def now(self):
        return self._host.clock.monotonic()

    @property
    def epoch(self):
        """Return the epoch of the present owner."""
        return self._epoch

    def step_of(self, key):
        return self._steps[(key.job, key.step)]

    def members(self, key, attempt):
        """Return the runs of one start of a gang, with their workers."""
        return [
            (worker, name)
            for worker in self._workers.values()
            for name in worker.runs
            if name[0].step_key == key.step_key and name[1] == attempt
        ]

    def note_started(self, worker, key):
        """Record that a worker has started a run of a task."""
        active = {
            one.name
            for one in self._workers.values()
            for name, run in one.runs.items()
            if name[0] == key and not run.is_stray
        }
        if worker.name in active and len(active) > 1:
            self.duplicate_runs.append(key)
        if self._maxima:
            self._check_maximum(self._teams[key.job])

    def _check_maximum(self, team):
        used = sum(
            self.step_of(key).demand.processors
            for worker in self._workers.values()
            for (key, _), run in worker.runs.items()
            if self._teams[key.job] == team and not run.is_stray
        )
        # An order that was sent before the maximum was lowered may be carried out
        # later.
        if used > max(self._maxima[0], self._maxima[-1]):
            self.excesses.append((team, used))

    def _configure(self):
        """Put the next of the maxima into force for both teams."""
        self._maxima = self._maxima[1:] + self._maxima[:1]
        teams = [Team(name, maximum={"processors": self._maxima[0]}) for name in TEAMS]
        self._host.configuration.current = CellConfiguration(
            self._event_count + 1, [], 1000, TeamDirectory(teams)
        )
        if self._owner is not None:
            self._owner.refresh_queues()

    def loses_answer(self):
        return not self._has_faults_ended and self.rng.random() < self._loss_probability

    def run_later(self, action):
        """Run an action after a random delay."""
        self._event_count += 1
        at = self.now + self.rng.uniform(0.0, MAX_DELAY_SECONDS)
        heapq.heappush(self._events, (at, self._event_count, action))

    def run(self):
        """Run the phase with faults and the recovery phase after it."""
        faults_end_at = self.now + FAULT_SECONDS
        while self.now < faults_end_at:
            self._inject_faults()
            self._advance()
        self._has_faults_ended = True
        for worker in self._workers.values():
            self._recover(worker)
        is_small = len(self._workers) < WORKERS
        seconds = OVERLOAD_RECOVERY_SECONDS if is_small else RECOVERY_SECONDS
        end_at = self.now + seconds
        while self.now < end_at:
            self._advance()

    def stuck_tasks(self):
        """Return the tasks that are neither done nor running."""
        active = {name[0] for worker in self._workers.values() for name in worker.runs}
        return [
            TaskKey(*step.key, index)
            for identifier in self._identifiers
            for step in self._owner.job_registry.get(identifier).steps()
            for index, task in enumerate(step.tasks)
            if not task.is_done and TaskKey(*step.key, index) not in active
        ]

    def _inject_faults(self):
        if self.rng.random() < 0.25 and len(self._identifiers) < JOB_LIMIT:
            self._submit_job()
        if self.rng.random() < 0.06:
            self._partition(self.rng.choice(list(self._workers.values())))
        if self.rng.random() < 0.004:
            self._take_over()
        if self._maxima and self.rng.random() < 0.01:
            self._configure()

    def _partition(self, worker):
        if not worker.is_reached:
            return
        worker.is_partitioned = True
        if self.rng.random() < 0.5:
            worker.crash()
        self.run_later(lambda: self._recover(worker))

    @staticmethod
    def _recover(worker):
        worker.is_partitioned = False
        if not worker.is_up:
            worker.restart()

    def _submit_job(self):
        identifier = f"{len(self._identifiers) + 1:016x}"
        steps = self._draw_steps()
        for number, step in enumerate(steps):
            self._steps[(identifier, number)] = step
        team = self.rng.choice(TEAMS) if self._maxima else ""
        self._teams[identifier] = team
        queue = self._queue(steps)
        document = JobDocument(
            identifier, queue.name, "pool", "t", steps, 0.0, team=team
        )
        partition = f"pool/{int(identifier, 16) % 8}"
        self._host.put(JOBS_TABLE, partition, identifier, document.as_record())
        self._owner.job_registry.add(document, queue, self.now)
        self._identifiers.append(identifier)

    def _queue(self, steps):
        if not self._host.settings.expects_overload or len(self._identifiers) % 2:
            return QUEUE
        for step in steps:
            step.has_checkpoints = not step.is_gang and not step.is_lasting
            # Far above the time that they take, so that their room is not expected.
            step.estimate_seconds = 6.0
        return PATIENT

    def _draw_steps(self):
        demand = Amounts(1000, 10)
        kind = self.rng.choice(["plain", "plain", "gang", "lasting", "chain"])
        tasks = self.rng.randint(2, 4)
        if kind == "chain":
            is_gang = self.rng.random() < 0.5
            follower = Step(2, demand, 0.5, after=[0], is_gang=is_gang)
            return [Step(2, demand, 0.5), follower]
        if kind == "lasting":
            return [Step(1, Amounts(500, 10), 0.8, is_lasting=True)]
        return [Step(tasks, demand, 0.8, is_gang=kind == "gang")]

    def _take_over(self):
        is_exact = True
        if self._owner is not None:
            is_exact = not self._owner.may_lack_records()
            self._owner.stop()
        self._epoch += 1
        row = PoolRow("pool", "h1", self._epoch, "a:1", 9)
        owner = self._owner = PoolOwner(self._host, row, is_exact)
        for executor in (
            owner._executor,
            owner._order_executor,
            owner._stop_executor,
        ):
            executor.shutdown()
        owner._executor = ManualExecutor()
        owner.orders._executor, owner.orders._stop_executor = (
            ManualExecutor(),
            ManualExecutor(),
        )
        owner.store_sync.load()
        for name, link in owner.links_by_worker.items():
            link.client = UnreliableClient(self, self._workers[name])
            self._poll_at[name] = self.now + self.rng.uniform(0.0, 0.2)

    def _advance(self):
        self._host.clock.advance(STEP_SECONDS)
        while self._events and self._events[0][0] <= self.now:
            _, _, action = heapq.heappop(self._events)
            action()
        for worker in self._workers.values():
            if worker.is_up:
                worker.work(STEP_SECONDS)
        self._owner.ownership_status.note_confirmed(self.now)
        for name, link in self._owner.links_by_worker.items():
            if self.now >= self._poll_at[name]:
                self._poll_at[name] = self.now + self._poll(link)
        self._owner.loop._run_round(self.now)
        if self.rng.random() < 0.7:
            self._owner.journal.commit()
        self._run_some_orders(self._owner.orders._executor)
        self._run_some_orders(self._owner.orders._stop_executor)

    def _poll(self, link):
        """Let a link poll once; return the seconds until its next poll."""
        try:
            link._poll()
        except WorkerSilent as error:
            link._note_no_answer(error, self.now)
            return self.rng.choice([0.4, 1.0])
        except CallFailed as error:
            link._note_refusal(error, self.now)
            return 0.2
        return self.rng.choice([0.05, 0.3, 0.6])

    def _run_some_orders(self, executor):
        """Execute about half of the submitted orders, in random order."""
        tasks, executor.tasks = executor.tasks, []
        self.rng.shuffle(tasks)
        for task in tasks:
            if self.rng.random() < 0.5:
                executor.tasks.append(task)
            else:
                step, args = task
                step(*args)
