"""Simulate a pool under delayed orders, crashes and takeovers, without threads.

Workers behave as the platform documents them. A call without an answer may be executed
seconds later, also by the next incarnation of the worker.
"""

import heapq
import random

from papayapick.jobs import JobDocument, TaskKey
from papayapick.ownership.pools import PoolRow
from papayapick.platform.exceptions import CallFailed
from papayapick.pool.owner import PoolOwner
from papayapick.pool.records.journal import JOBS_TABLE
from tests.pool.fault_calls import UnreliableClient
from tests.pool.fault_departures import Departures
from tests.pool.fault_ends import DoneEnds
from tests.pool.fault_host import PATIENT, QUEUE, WritableHost
from tests.pool.fault_jobs import draw_steps
from tests.pool.fault_links import PolledLinks
from tests.pool.fault_reports import DelayedListener
from tests.pool.fault_teams import TeamMaxima
from tests.pool.fault_workers import SimulatedWorker
from tests.pool.owners import register
from tests.pool.standins import ManualExecutor

__all__ = ["FaultSimulation"]

# Enough for the lasting tasks and one gang beside them.
OVERLOAD_WORKERS = 8
WORKERS = 14
FAULT_SECONDS = 20.0
RECOVERY_SECONDS = 25.0
# With a backlog of tasks, since the pool is small.
OVERLOAD_RECOVERY_SECONDS = 75.0
STEP_SECONDS = 0.05
MAX_DELAY_SECONDS = 12.0
JOB_LIMIT = 120


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
    workers_leave : bool, optional
        Whether workers drain and exit, reports are applied late and out of order, and
        a run that is being stopped may end as done.
    waits_for_lock : bool, optional
        Whether the reports that are applied late have arrived before.

    Attributes
    ----------
    done_ends : DoneEnds
    ends_in_grace : bool
        Whether a run that is being stopped may end as done.
    maxima : TeamMaxima or None
        None if jobs belong to no team.
    duplicate_runs : list of TaskKey
        Tasks of which a run started while another one was active on another worker.
        Runs of stray orders do not count.
    """

    def __init__(
        self,
        seed,
        maxima=(),
        expects_overload=False,
        workers=None,
        workers_leave=False,
        waits_for_lock=False,
    ):
        self.rng = random.Random(seed)
        self.done_ends = DoneEnds(self)
        self.ends_in_grace = workers_leave
        self._waits_for_lock = waits_for_lock
        self.duplicate_runs = []
        self._host = WritableHost()
        self.maxima = TeamMaxima(self, self._host, maxima) if maxima else None
        self._host.settings.expects_overload = expects_overload
        self._loss_probability = self.rng.choice([0.05, 0.15, 0.3])
        self._has_faults_ended = False
        self._events = []
        self._event_count = 0
        self._steps = {}
        self._identifiers = []
        self._epoch = 2
        self._owner = None
        self._links = PolledLinks(self)
        self._workers = {}
        self._departures = Departures(self, self._host) if workers_leave else None
        usual = OVERLOAD_WORKERS if expects_overload else WORKERS
        for number in range(workers or usual):
            name = f"w{number}"
            register(self._host, name)
            self._workers[name] = SimulatedWorker(self, name)
            if self._departures is not None:
                self._departures.register(self._workers[name])
        if self.maxima is not None:
            self._configure()
        self._take_over()

    @property
    def now(self):
        return self._host.clock.monotonic()

    @property
    def epoch(self):
        """Return the epoch of the present owner."""
        return self._epoch

    def shown_born(self, incarnation):
        """Return the start time that a worker reports, or its number if none leave."""
        if self._departures is None:
            return incarnation
        return self._departures.born(incarnation)

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

    def note_answer(self, report, epoch):
        """Record what an owner learns from an answer, unless it arrives later."""
        if self._departures is None:
            self.done_ends.note_listed(report.ends, epoch)

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
        if self.maxima is not None:
            self.maxima.check(key, self._workers.values())

    def _configure(self):
        """Put the next of the maxima into force."""
        self.maxima.configure(self._event_count + 1, self._owner)

    def loses_answer(self):
        return not self._has_faults_ended and self.rng.random() < self._loss_probability

    def run_later(self, action):
        """Run an action after a random delay."""
        self._event_count += 1
        at = self.now + self.rng.uniform(0.0, MAX_DELAY_SECONDS)
        heapq.heappush(self._events, (at, self._event_count, action))

    def run_in(self, seconds, action, *args):
        """Run an action after some seconds."""
        self._event_count += 1
        event = (self.now + seconds, self._event_count, lambda: action(*args))
        heapq.heappush(self._events, event)

    def hold_polls(self, link, seconds):
        """Let a link make its next poll only after some seconds."""
        self._links.hold(link.worker, seconds)

    def poll_now(self, name):
        """Let the link to a worker poll in the next step, unless it is held."""
        self._links.poll_after(name, 0.0)

    def report_now(self, link):
        """Return what the worker of a link reports now; None without an answer."""
        worker = self._workers[link.worker]
        if not worker.is_reached or link.is_stopped or link.born != worker.shown_born:
            return None
        try:
            report = worker.renew(self._epoch, 0, None)
        except CallFailed:
            return None
        return report

    def note_worker_row(self, row):
        """Let the owner see an entry of a worker."""
        if self._owner is not None:
            self._owner.store_sync.note_worker_rows([row])
            self._connect()

    def join(self):
        """Let another worker begin."""
        name = f"w{len(self._workers)}"
        worker = self._workers[name] = SimulatedWorker(self, name)
        self._departures.register(worker)

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
        if self._departures is not None:
            self._departures.inject(list(self._workers.values()))
        if self.maxima is not None and self.rng.random() < 0.01:
            self._configure()

    def _partition(self, worker):
        if not worker.is_reached:
            return
        worker.is_partitioned = True
        if self.rng.random() < 0.5:
            worker.crash()
        self.run_later(lambda: self._recover(worker))

    def _recover(self, worker):
        worker.is_partitioned = False
        if not (worker.is_up or worker.is_gone):
            worker.restart()
            if self._departures is not None:
                self._departures.register(worker)

    def _submit_job(self):
        identifier = f"{len(self._identifiers) + 1:016x}"
        steps = draw_steps(self.rng)
        for number, step in enumerate(steps):
            self._steps[(identifier, number)] = step
        team = "" if self.maxima is None else self.maxima.assign(identifier)
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
        self._links.forget()
        self._connect()

    def _connect(self):
        """Let the links that are new call the simulated workers."""
        for name, link in self._owner.links_by_worker.items():
            if isinstance(link.client, UnreliableClient):
                continue
            link.client = UnreliableClient(self, self._workers[name])
            if self._departures is not None:
                link._listener = DelayedListener(
                    self, link._listener, self._waits_for_lock
                )
            self._links.poll_after(name, self.rng.uniform(0.0, 0.2))

    def _advance(self):
        self._host.clock.advance(STEP_SECONDS)
        while self._events and self._events[0][0] <= self.now:
            _, _, action = heapq.heappop(self._events)
            action()
        for worker in self._workers.values():
            if worker.is_up:
                worker.work(STEP_SECONDS)
        self._owner.ownership_status.note_confirmed(self.now)
        self._links.poll_due(list(self._owner.links_by_worker.values()))
        if self._departures is not None:
            self._departures.advance(self._owner, list(self._workers.values()))
        self._owner.loop._run_round(self.now)
        if self.rng.random() < 0.7:
            self._owner.journal.commit()
        self._run_some_orders(self._owner.orders._executor)
        self._run_some_orders(self._owner.orders._stop_executor)

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
