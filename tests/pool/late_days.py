"""Play days of late orders, crashes and takeovers, without threads.

Workers keep to what the platform's page says of them. A call without an answer may be
carried out seconds later, by the next life of the worker too.
"""

import heapq
import random

from papayapick.clients.rows import StoredRow
from papayapick.clock import ManualClock
from papayapick.jobs import JobDocument, Queue, Step, TaskKey
from papayapick.ledger import Amounts
from papayapick.ownership.pools import PoolRow
from papayapick.platform.exceptions import CheckFailed, WorkerSilent
from papayapick.pool.journal import JOBS_TABLE
from papayapick.pool.owner import PoolOwner
from papayapick.pool.reports import EndReport, RunReport, StartOutcome, WorkerReport
from tests.pool.owners import register
from tests.pool.standins import Host, NoThreads

__all__ = ["Day"]

QUEUE = Queue("q", "h", "/q/", "pool", 0, 1000, 1.5, 0.5, 3.0, True, None)
WORKERS = 14
CAPACITY = 4000
TROUBLE_SECONDS = 20.0
CALM_SECONDS = 25.0
STEP_SECONDS = 0.05
LONGEST_LEASE_SECONDS = 6.0
GANG_PATIENCE_SECONDS = 4.0
STOP_SECONDS = 0.15
LATEST_SECONDS = 12.0
MOST_JOBS = 120
FENCED = 409


class NoWaiting(ManualClock):
    """Return at once from a wait: the day's steps move the time."""

    def wait(self, event, seconds):
        return event.is_set()


class StoringHost(Host):
    """Take commits too."""

    def __init__(self):
        super().__init__()
        self.clock = NoWaiting(1000.0)
        self._version = 10

    def queue_of(self, document):
        return QUEUE

    def tell(self, owner):
        pass

    def note_word(self):
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


class Work:
    """Hold what a worker has done of one run."""

    def __init__(self, rng):
        self.done = 0.0
        self.alone = 0.0
        self.length = rng.choice([0.05, 0.1, 0.3, 1.0, 2.0])
        self.fails = rng.random() < 0.05
        self.ends_at = None
        # Its order was sent to the life before of its worker. No owner can forbid it.
        self.is_stray = False


class LateWorker:
    """Carry out orders as the platform's workers do.

    Attributes
    ----------
    born : int
        Number of its life.
    runs : dict
        Work by key and attempt.
    """

    def __init__(self, day, name):
        self.name = name
        self.is_cut = False
        self.is_up = True
        self.born = 0
        self._day = day
        self.begin_life()

    def begin_life(self):
        """Begin anew under the same id, and know nothing of before."""
        self.is_up = True
        self.born += 1
        self.runs, self.ends = {}, []
        self._count = 0
        self._highest = {}
        self._fence = 0
        self._lease_end = 0.0
        self._clock_offset = self._day.rng.uniform(0.0, 1000.0)

    def crash(self):
        """End, with all that runs."""
        self.is_up = False
        self.runs = {}

    @property
    def is_reached(self):
        """Return whether calls reach it."""
        return self.is_up and not self.is_cut

    @property
    def _clock(self):
        return self._day.now + self._clock_offset

    def start(self, key, attempt, lease_end, epoch):
        if epoch < self._fence:
            return StartOutcome.FENCED
        self._fence = epoch
        if (key, attempt) in self.runs:
            return StartOutcome.STARTED
        if lease_end < self._clock:
            return StartOutcome.EXPIRED
        self._extend(lease_end)
        if attempt <= self._highest.get(key, 0):
            return StartOutcome.OUTDATED
        if self._taken() + self._day.step_of(key).room_demand.processors > CAPACITY:
            return StartOutcome.NO_ROOM
        self.runs[(key, attempt)] = Work(self._day.rng)
        return StartOutcome.STARTED

    def stop(self, key, attempt, epoch):
        self._check(epoch)
        self._highest[key] = max(self._highest.get(key, 0), attempt)
        work = self.runs.get((key, attempt))
        if work is not None and work.ends_at is None:
            work.ends_at = self._day.now + STOP_SECONDS

    def hold(self, epoch, acknowledged, lease_end):
        self._check(epoch)
        self.ends = [end for end in self.ends if end.number > acknowledged]
        if lease_end is not None:
            self._extend(lease_end)
        runs = [
            RunReport(*name, percent=int(min(99, 100 * work.done / work.length)))
            for name, work in self.runs.items()
        ]
        return WorkerReport(self._clock, self.born, runs, list(self.ends))

    def work(self, seconds):
        """Go on with all that runs."""
        if self._clock > self._lease_end:
            for name in list(self.runs):
                self.end(name, "lapsed")
        for name, work in list(self.runs.items()):
            if name in self.runs:
                self._work_on(name, work, seconds)

    def end(self, name, outcome):
        """End a run, and list its end."""
        del self.runs[name]
        key, attempt = name
        self._highest[key] = max(self._highest.get(key, 0), attempt)
        self._count += 1
        self.ends.append(EndReport(self._count, key, attempt, outcome))

    def _work_on(self, name, work, seconds):
        key, attempt = name
        step = self._day.step_of(key)
        members = self._day.members(key, attempt) if step.is_gang else [(self, name)]
        if work.ends_at is not None:
            if self._day.now >= work.ends_at:
                self.end(name, "stopped")
        elif step.is_gang and len(members) < step.tasks:
            work.alone += seconds
            if work.alone > GANG_PATIENCE_SECONDS:
                self.end(name, "alone")
        else:
            work.done += seconds
            self._end_if_due(name, work, step, members)

    def _end_if_due(self, name, work, step, members):
        if work.fails and work.done > work.length / 2:
            self.end(name, "failed")
            _end_all([one for one in members if one[1] != name], "broken")
        elif not step.is_lasting and work.done >= work.length:
            _end_all(members, "done")

    def _check(self, epoch):
        if epoch < self._fence:
            raise CheckFailed(address=self.name, status=FENCED, body=b"")
        self._fence = epoch

    def _extend(self, lease_end):
        most = self._clock + LONGEST_LEASE_SECONDS
        self._lease_end = max(self._lease_end, min(lease_end, most))

    def _taken(self):
        return sum(
            self._day.step_of(key).room_demand.processors for key, _ in self.runs
        )


def _end_all(members, outcome):
    for worker, name in members:
        worker.end(name, outcome)


class NoAnswer(Exception):
    """Tell that a call had no answer."""


class LateClient:
    """Call a worker over a network that may lose a call, or carry it out late."""

    def __init__(self, day, worker):
        self._day = day
        self._worker = worker

    def start(self, run, payload, lease_end, epoch, checkpoint="", ticket=""):
        life = self._worker.born

        def carry_out():
            outcome = self._worker.start(run.key, run.attempt, lease_end, epoch)
            work = self._worker.runs.get((run.key, run.attempt))
            if work is not None:
                work.is_stray = self._worker.born != life
                self._day.note_run(self._worker, run.key)
            return outcome

        try:
            return self._call(carry_out)
        except NoAnswer:
            return StartOutcome.UNKNOWN

    def stop(self, key, attempt, epoch):
        try:
            self._call(lambda: self._worker.stop(key, attempt, epoch))
        except NoAnswer as error:
            raise WorkerSilent(worker=self._worker.name) from error

    def renew(self, epoch, acknowledged, lease_end=None, wait_seconds=0.0):
        try:
            return self._call(lambda: self._worker.hold(epoch, acknowledged, lease_end))
        except NoAnswer as error:
            raise WorkerSilent(worker=self._worker.name) from error

    def _call(self, carry_out):
        if not self._worker.is_reached:
            raise NoAnswer
        if self._day.is_unanswered():
            self._day.later(lambda: self._carry_out_late(carry_out))
            raise NoAnswer
        return carry_out()

    def _carry_out_late(self, carry_out):
        if self._worker.is_reached:
            try:
                carry_out()
            except CheckFailed:
                return


class Day:
    """Play one day; what happens on it is drawn by its seed.

    Attributes
    ----------
    second_runs : list of TaskKey
        Begun while another run of the task was at work on another worker; runs of
        stray orders do not count.
    """

    def __init__(self, seed):
        self.rng = random.Random(seed)
        self.second_runs = []
        self._host = StoringHost()
        self._late_share = self.rng.choice([0.05, 0.15, 0.3])
        self._is_calm = False
        self._events = []
        self._planned = 0
        self._steps = {}
        self._identifiers = []
        self._epoch = 2
        self._owner = None
        self._asks_at = {}
        self._workers = {}
        for number in range(WORKERS):
            name = f"w{number}"
            register(self._host, name)
            self._workers[name] = LateWorker(self, name)
        self._take_over()

    @property
    def now(self):
        return self._host.clock.monotonic()

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

    def note_run(self, worker, key):
        """Take in that a worker has begun a run of a task."""
        at_work = {
            one.name
            for one in self._workers.values()
            for name, work in one.runs.items()
            if name[0] == key and not work.is_stray
        }
        if worker.name in at_work and len(at_work) > 1:
            self.second_runs.append(key)

    def is_unanswered(self):
        return not self._is_calm and self.rng.random() < self._late_share

    def later(self, happen):
        """Let something happen some seconds later."""
        self._planned += 1
        at = self.now + self.rng.uniform(0.0, LATEST_SECONDS)
        heapq.heappush(self._events, (at, self._planned, happen))

    def run(self):
        """Play the trouble and the calm after it."""
        calm_at = self.now + TROUBLE_SECONDS
        while self.now < calm_at:
            self._make_trouble()
            self._pass_time()
        self._is_calm = True
        for worker in self._workers.values():
            self._bring_back(worker)
        over_at = self.now + CALM_SECONDS
        while self.now < over_at:
            self._pass_time()

    def standing(self):
        """Return the tasks that should be done, or at work, and are neither."""
        at_work = {name[0] for worker in self._workers.values() for name in worker.runs}
        return [
            TaskKey(*step.key, index)
            for identifier in self._identifiers
            for step in self._owner.book.get(identifier).steps()
            for index, task in enumerate(step.tasks)
            if not task.is_done and TaskKey(*step.key, index) not in at_work
        ]

    def _make_trouble(self):
        if self.rng.random() < 0.25 and len(self._identifiers) < MOST_JOBS:
            self._hand_in()
        if self.rng.random() < 0.06:
            self._cut(self.rng.choice(list(self._workers.values())))
        if self.rng.random() < 0.004:
            self._take_over()

    def _cut(self, worker):
        if not worker.is_reached:
            return
        worker.is_cut = True
        if self.rng.random() < 0.5:
            worker.crash()
        self.later(lambda: self._bring_back(worker))

    @staticmethod
    def _bring_back(worker):
        worker.is_cut = False
        if not worker.is_up:
            worker.begin_life()

    def _hand_in(self):
        identifier = f"{len(self._identifiers) + 1:016x}"
        steps = self._draw_steps()
        for number, step in enumerate(steps):
            self._steps[(identifier, number)] = step
        document = JobDocument(identifier, "q", "pool", "t", steps, 0.0)
        partition = f"pool/{int(identifier, 16) % 8}"
        self._host.put(JOBS_TABLE, partition, identifier, document.as_record())
        self._owner.book.add(document, QUEUE, self.now)
        self._identifiers.append(identifier)

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
        owner._executor = NoThreads()
        owner.orders._executor, owner.orders._stop_executor = NoThreads(), NoThreads()
        owner.store_sync.load()
        for name, link in owner.links_by_worker.items():
            link.client = LateClient(self, self._workers[name])
            self._asks_at[name] = self.now + self.rng.uniform(0.0, 0.2)

    def _pass_time(self):
        self._host.clock.advance(STEP_SECONDS)
        while self._events and self._events[0][0] <= self.now:
            _, _, happen = heapq.heappop(self._events)
            happen()
        for worker in self._workers.values():
            if worker.is_up:
                worker.work(STEP_SECONDS)
        self._owner.ownership_status.note_confirmed(self.now)
        for name, link in self._owner.links_by_worker.items():
            if self.now >= self._asks_at[name]:
                self._asks_at[name] = self.now + self._ask(link)
        self._owner.loop._run_round(self.now)
        if self.rng.random() < 0.7:
            self._owner.journal.commit()
        self._carry_out(self._owner.orders._executor)
        self._carry_out(self._owner.orders._stop_executor)

    def _ask(self, link):
        """Let a link ask once; return the seconds until it asks again."""
        try:
            link._ask()
        except WorkerSilent:
            link._note_silence()
            return self.rng.choice([0.4, 1.0])
        except CheckFailed as error:
            link._note_refusal(error)
            return 0.2
        return self.rng.choice([0.05, 0.3, 0.6])

    def _carry_out(self, executor):
        """Send some of the orders that wait for a thread, in any order."""
        tasks, executor.tasks = executor.tasks, []
        self.rng.shuffle(tasks)
        for task in tasks:
            if self.rng.random() < 0.5:
                executor.tasks.append(task)
            else:
                step, args = task
                step(*args)
