"""Records of jobs that are larger than a row of the store may be."""

import json

import pytest

from papayapick.clients.exceptions import StoreRefused
from papayapick.clients.rows import StoredRow
from papayapick.clock import ManualClock
from papayapick.entry.callers.acceptance import Acceptance
from papayapick.entry.callers.job_states import JobStateCache
from papayapick.jobs import JobDocument, JobRegistry, Step
from papayapick.jobs.records import progress_record
from papayapick.ledger import Amounts
from papayapick.pool.records.journal import PROGRESS_TABLE, PoolJournal
from papayapick.pool.records.record_rows import read_records
from tests.pool.owners import host_with_two_workers, job, owner_of, store_job
from tests.pool.test_journal import IDS, QUEUE, FakeOwner, FakeStore, _done, _job

ROW_BYTES = 65536
CALL_BYTES = 1_000_000
CALL_ENTRIES = 100


class LimitedStore(FakeStore):
    """Store that refuses a transaction past the limits of the platform's one."""

    def transact(self, expectations, writes, seconds=1.0):
        sizes = [_encoded_bytes(write.value) for write in writes]
        is_within = (
            max(sizes) <= ROW_BYTES
            and sum(sizes) <= CALL_BYTES
            and len(expectations) + len(writes) <= CALL_ENTRIES
        )
        if not is_within:
            raise StoreRefused()
        return super().transact(expectations, writes, seconds)

    def progress(self):
        rows = [row for (table, _), row in self.rows.items() if table == PROGRESS_TABLE]
        return [row for row in rows if row.value is not None]


def _encoded_bytes(value):
    text = "" if value is None else json.dumps(value, separators=(",", ":"))
    return -(-len(text) // 3) * 4


@pytest.fixture
def store():
    return LimitedStore()


@pytest.fixture
def owner(store):
    return FakeOwner(store)


@pytest.fixture
def journal(store, owner):
    return PoolJournal(store, owner, ManualClock())


def _lasting_job(owner, tasks, identifier=IDS[1], place="i-7f3a91{:x}"):
    """Add a job of lasting tasks that all have been started."""
    step = Step(tasks, Amounts(1, 1), is_lasting=True)
    document = JobDocument(identifier, "q", "pool", "t", [step], 0.0)
    added = owner.job_registry.add(document, QUEUE, 0.0)
    (state,) = added.occurrences[0]
    for index in range(tasks):
        owner.job_registry.begin_run(state, index, place.format(index), 0.0)
    return added


def _commit_all(journal):
    for _ in range(20):
        if not journal.commit():
            return


def _loaded(store, identifier):
    """Return the record of a job as a successor reads it."""
    return read_records(store.progress()).get(identifier)


def test_failures_of_lasting_tasks_are_not_remembered_one_by_one(owner):
    """Guards against a record that grows with each failed start of a lasting task.

    Such a task has no limit of attempts. Past the size of a row, the store would refuse
    each commit of the pool for good.
    """
    lasting = _lasting_job(owner, 1, place="w1")
    (state,) = lasting.occurrences[0]
    sizes = set()
    for _ in range(300):
        (run,) = state.active_runs()
        owner.job_registry.end_run(run.key, run.attempt, "failed", "", "w1", 0.0)
        owner.job_registry.begin_run(state, 0, "w1", 0.0)
        sizes.add(len(json.dumps(progress_record(lasting))))
    assert max(sizes) - min(sizes) < 10
    assert state.tasks[0].failed_on == {"w1"}


def test_failures_of_lasting_tasks_in_an_earlier_record_are_dropped():
    """Guards against a takeover that keeps a record which has grown already."""
    step = Step(1, Amounts(1, 1), is_lasting=True)
    document = JobDocument(IDS[0], "q", "pool", "t", [step], 0.0)
    stored = {"attempts": {"0": 9}, "failed": {"0": [1, 2, 3]}}
    record = {"status": "running", "occurrences": {"0": [stored]}}
    restored = JobRegistry().add(document, QUEUE, 0.0, record)
    assert progress_record(restored)["occurrences"]["0"] == [{"attempts": {0: 9}}]


def test_lasting_tasks_forget_workers_that_are_gone():
    """Guards against a record that grows with each worker that comes and goes."""
    host = host_with_two_workers()
    failed_on = {"failed_on": {"0": ["w1", "w2", "w-gone"]}}
    record = {"status": "running", "occurrences": {"0": [failed_on]}}
    store_job(host, job(is_lasting=True), record)
    owner = owner_of(host)
    (state,) = owner.job_registry.live_jobs()[0].steps()
    assert state.tasks[0].failed_on == {"w1", "w2"}
    owner.store_sync.drop_link(owner.links_by_worker["w2"])
    assert state.tasks[0].failed_on == {"w1"}


def test_record_larger_than_a_row_keeps_back_no_other_job(store, owner, journal):
    """Guards against a pool that stands still, as one record is refused with all."""
    wide = _lasting_job(owner, 2500)
    other, runs = _job(owner)
    _done(owner, runs[0])
    _commit_all(journal)
    assert owner.link.acknowledged == 1
    assert other.identifier in {row.key for row in store.progress()}
    expected = json.loads(json.dumps(progress_record(wide)))
    assert _loaded(store, wide.identifier) == expected


def test_records_that_share_no_transaction_are_committed_one_after_the_other(
    store, owner, journal
):
    """Guards against a batch past the size of a call, which is refused for good."""
    jobs = [_lasting_job(owner, 1100, one) for one in IDS[:40]]
    _, runs = _job(owner, IDS[50])
    _done(owner, runs[0])
    _commit_all(journal)
    assert owner.link.acknowledged == 1
    for one in jobs:
        assert _loaded(store, one.identifier) is not None


def test_rows_of_a_large_record_are_deleted_with_it(store, owner, journal):
    """Guards against rows that stay in the store for ever, past a takeover too."""
    wide = _lasting_job(owner, 20_000)
    _commit_all(journal)
    count = len(store.progress())
    assert count > 3
    successor = PoolJournal(store, owner, ManualClock())
    successor.resume(store.progress())
    owner.job_registry.cancel(wide.identifier, 0.0)
    _commit_all(successor)
    assert _loaded(store, wide.identifier) == {"status": "cancelled"}
    assert len(store.progress()) == 2


def test_large_record_that_lacks_a_row_is_refused():
    """Guards against a second run of each task, as its job counts as not begun."""
    store = LimitedStore()
    owner = FakeOwner(store)
    wide = _lasting_job(owner, 20_000)
    _commit_all(PoolJournal(store, owner, ManualClock()))
    (piece,) = [row for row in store.progress() if row.key.endswith("!piece-1")]
    host = host_with_two_workers()
    host.rows[(PROGRESS_TABLE, "pool")] = [
        row for row in store.progress() if row is not piece
    ]
    host.put("jobs", f"pool/{int(IDS[1], 16) % 8}", IDS[1], wide.document.as_record())
    assert owner_of(host).job_registry.get(IDS[1]) is None


def test_record_too_large_for_a_transaction_is_left_out(store, owner, monkeypatch):
    """Guards against a pool that stands still, as a record fits into no transaction."""
    clock = ManualClock(50.0)
    journal = PoolJournal(store, owner, clock)
    monkeypatch.setattr(
        "papayapick.pool.records.record_rows.MAX_BYTES_PER_COMMIT", 30_000
    )
    _lasting_job(owner, 20_000)
    other, runs = _job(owner, tasks=1)
    _done(owner, runs[0])
    _commit_all(journal)
    assert other.durable_status == "completed"
    # An end of the job that is left out may be among them.
    assert owner.link.acknowledged == 0
    owner.job_registry.cancel(IDS[1], 0.0)
    clock.advance(1.1)
    _commit_all(journal)
    assert owner.link.acknowledged == 1


class ReadStore:
    """Return the first rows of one job, as a read with a limit does."""

    def __init__(self, rows):
        self._rows = rows

    def read(self, table, partition, first, end, limit):
        found = [row for row in self._rows if row.table == table]
        return sorted(found, key=lambda row: row.key)[:limit]


def test_callers_see_the_status_of_a_job_with_a_large_record(store, owner, journal):
    """Guards against an answer that fails on the further rows of a record."""
    wide = _lasting_job(owner, 20_000)
    wide.status = "running"
    _commit_all(journal)
    rows = [row for row in store.progress() if row.key.startswith(IDS[1])]
    assert len(rows) > 2
    stored = StoredRow("jobs", "pool", IDS[1], wide.document.as_record(), 1)
    # A host of an earlier version takes the status from the last row it reads.
    assert {row.value["status"] for row in rows} == {"running"}
    reader = ReadStore([stored, *rows])
    acceptance = Acceptance(reader, reader, JobStateCache(ManualClock(9.0)))
    assert acceptance.status(QUEUE, IDS[1]) == "running"
