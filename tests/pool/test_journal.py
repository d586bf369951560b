"""Commits of progress: their order, and fencing by the pool's row."""

import threading

import pytest

from papayapick.clients import TableUnavailable
from papayapick.clients.exceptions import ConditionFailed
from papayapick.clients.rows import RowWrite, StoredRow
from papayapick.clock import ManualClock
from papayapick.jobs import JobDocument, JobRegistry, JobStatus, Queue, Step
from papayapick.ledger import Amounts
from papayapick.ownership.pools import CELL_TABLE, PoolRow
from papayapick.pool.records.journal import PROGRESS_TABLE, PoolJournal
from papayapick.pool.records.memory import OwnerMemory
from papayapick.pool.workers.reports import Registration
from papayapick.pool.workers.roster import WorkerRoster

QUEUE = Queue("q", "h", "/q/", "pool", 0, 2, 1.5, 0.5, 3.0, False, None)
IDS = [f"{number:016x}" for number in range(200)]


class FakeStore:
    """Store of versioned rows whose transactions follow a script.

    Each entry of ``script`` decides on one transaction: "apply" it, apply it but "lose"
    the answer, or keep it to be applied "later".
    """

    def __init__(self):
        self.rows = {}
        self.version = 0
        self.script = []
        self.late = []

    def transact(self, expectations, writes, seconds=1.0):
        outcome = self.script.pop(0) if self.script else "apply"
        if outcome == "later":
            self.late.append((expectations, writes))
            raise TableUnavailable()
        version = self.apply(expectations, writes)
        if outcome == "lose":
            raise TableUnavailable()
        return version

    def apply(self, expectations, writes):
        for one in expectations:
            row = self.rows.get((one.table, one.key))
            if (row.version if row else 0) != one.version:
                found = [self.rows.get((e.table, e.key)) for e in expectations]
                raise ConditionFailed([row for row in found if row])
        self.version += 1
        for write in writes:
            row = StoredRow(
                write.table, write.partition, write.key, write.value, self.version
            )
            self.rows[(write.table, write.key)] = row
        return self.version

    def record(self, identifier):
        return self.rows[(PROGRESS_TABLE, identifier)].value


class FakeLink:
    def __init__(self):
        self.processed = self.acknowledged = 0
        self.born = None

    def acknowledge(self, number, born):
        self.acknowledged = number


class FakeOwner:
    """The part of an owner that the journal uses."""

    def __init__(self, store):
        self.lock = threading.RLock()
        self.job_registry = JobRegistry()
        self.link = FakeLink()
        self.roster = WorkerRoster(PROGRESS_TABLE, "pool")
        self.memory = OwnerMemory(PROGRESS_TABLE, "pool", ManualClock(50.0))
        version = store.apply([], [RowWrite(CELL_TABLE, "pool", "owner", {})])
        self.row = PoolRow("pool", "h1", 1, "a:1", version)
        self.pool = "pool"
        self.decisions = self.ownership_status = self.commits = self
        self.sent = []
        self.unsent = []
        self.is_lost = self.is_stopped = False

    def links(self):
        return [self.link]

    def take_unsent(self, identifiers):
        taken, self.unsent = self.unsent, []
        return taken

    def requeue_unsent(self, starts):
        self.unsent = starts

    def send_starts(self, starts):
        self.sent += starts

    def pause(self, seconds):
        pass

    def note_commit(self, seconds):
        pass

    def note_confirmed(self, asked_at):
        pass

    def wake(self):
        pass

    def note_lost(self):
        self.is_lost = True


@pytest.fixture
def store():
    return FakeStore()


@pytest.fixture
def owner(store):
    return FakeOwner(store)


@pytest.fixture
def journal(store, owner):
    return PoolJournal(store, owner, ManualClock())


def _job(owner, identifier=IDS[0], tasks=2):
    step = Step(tasks, Amounts(1, 1))
    document = JobDocument(identifier, "q", "pool", "t", [step], 0.0)
    job = owner.job_registry.add(document, QUEUE, 0.0)
    (state,) = [s for s in owner.job_registry.waiting_steps() if s.job is job]
    return job, [
        owner.job_registry.begin_run(state, index, "w", 0.0) for index in range(tasks)
    ]


def _done(owner, run):
    owner.job_registry.end_run(run.key, run.attempt, "done", "", "w", 0.0)
    owner.link.processed += 1


def test_ends_are_acknowledged_only_when_recorded(store, owner, journal):
    """A task must not run again because its worker discarded its end too early."""
    _, runs = _job(owner)
    _done(owner, runs[0])
    store.script = ["later"]
    journal.commit()
    assert owner.link.acknowledged == 0
    journal.commit()
    assert owner.link.acknowledged == 1
    assert store.record(IDS[0])["occurrences"]["0"][0]["done"] == "1"


def test_commit_that_is_applied_late_changes_nothing(store, owner, journal):
    """A task must not run twice because a delayed commit overwrites a newer record.

    A commit without an answer may be applied seconds later. If it replaced the record
    of an end that is already acknowledged, a successor would start the task again.
    """
    _, runs = _job(owner)
    store.script = ["later"]
    journal.commit()
    _done(owner, runs[0])
    journal.commit()
    assert owner.link.acknowledged == 1
    with pytest.raises(ConditionFailed):
        store.apply(*store.late.pop())
    assert store.record(IDS[0])["occurrences"]["0"][0]["done"] == "1"


def test_own_commit_whose_answer_was_lost_is_no_loss_of_the_pool(store, owner, journal):
    _, runs = _job(owner)
    store.script = ["lose"]
    journal.commit()
    _done(owner, runs[0])
    while journal.commit():
        pass
    assert not owner.is_lost
    assert owner.link.acknowledged == 1


def test_loss_of_the_pool_is_detected_by_a_commit(store, owner, journal):
    _job(owner)
    store.apply([], [RowWrite(CELL_TABLE, "pool", "owner", {})])
    journal.commit()
    assert owner.is_lost
    assert (PROGRESS_TABLE, IDS[0]) not in store.rows


def test_successor_continues_the_sequence_of_commits(store, owner, journal):
    _job(owner)
    journal.commit()
    successor = PoolJournal(store, owner, ManualClock())
    successor.resume(list(store.rows.values()))
    _job(owner, IDS[1])
    successor.commit()
    assert not owner.is_lost
    assert (PROGRESS_TABLE, IDS[1]) in store.rows


def test_starts_are_sent_when_their_record_is_durable(store, owner, journal):
    _job(owner)
    owner.unsent = ["start"]
    store.script = ["later"]
    journal.commit()
    assert owner.sent == []
    journal.commit()
    assert owner.sent == ["start"]


def test_final_status_counts_as_durable_only_after_its_commit(store, owner, journal):
    job, runs = _job(owner, tasks=1)
    _done(owner, runs[0])
    assert job.status == JobStatus.COMPLETED
    assert job.durable_status != JobStatus.COMPLETED
    journal.commit()
    assert job.durable_status == JobStatus.COMPLETED


def test_ends_of_jobs_in_a_later_batch_are_not_acknowledged(owner, journal):
    for identifier in IDS[:65]:
        _, runs = _job(owner, identifier, tasks=1)
        _done(owner, runs[0])
    journal.commit()
    assert owner.link.acknowledged == 0
    journal.commit()
    assert owner.link.acknowledged == 65


def test_workers_are_recorded_for_a_successor(store, owner, journal):
    registration = Registration("w1", "pool", "w1:1", "z", Amounts(1, 2), ("a", "r1-1"))
    owner.roster.add(registration)
    store.script = ["later"]
    journal.commit()
    journal.commit()
    rows = [row for (table, _), row in store.rows.items() if table == PROGRESS_TABLE]
    (found,) = WorkerRoster(PROGRESS_TABLE, "pool").restore(rows)
    assert (found.worker, found.address, found.labels) == ("w1", "w1:1", ("a", "r1-1"))
    assert found.is_leaving
    owner.roster.remove("w1")
    journal.commit()
    rows = [row for (table, _), row in store.rows.items() if table == PROGRESS_TABLE]
    assert WorkerRoster(PROGRESS_TABLE, "pool").restore(rows) == []


class LearnedPart:
    """Part of an owner's memory with a fixed record."""

    name, version = "part", 1

    def __init__(self):
        self.restored = None

    def as_record(self, now):
        return {"a": [1, 2]}

    def restore(self, record, age_seconds):
        self.restored = record


def test_what_is_learned_is_recorded_with_a_batch_for_a_successor(store, owner):
    """Guards against an owner that learns anew as a commit had no answer."""
    clock = ManualClock(50.0)
    journal = PoolJournal(store, owner, clock)
    owner.memory.register(LearnedPart())
    journal.commit()
    clock.advance(5.0)
    job, runs = _job(owner)
    _done(owner, runs[0])
    store.script = ["later"]
    journal.commit()
    assert (PROGRESS_TABLE, "learned-part-0") not in store.rows
    version = store.version
    journal.commit()
    assert store.version == version + 1
    assert store.record(job.identifier)
    rows = [row for (table, _), row in store.rows.items() if table == PROGRESS_TABLE]
    successor = OwnerMemory(PROGRESS_TABLE, "pool", ManualClock(60.0))
    part = LearnedPart()
    successor.register(part)
    successor.restore(rows)
    assert part.restored == {"a": [1, 2]}
    assert not journal.commit()
