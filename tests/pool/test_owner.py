"""How an owner processes its workers' reports, run without threads."""

import pytest

from papayapick.clients.rows import StoredRow
from papayapick.jobs import JobDocument, JobStatus, Step
from papayapick.ledger import Amounts
from papayapick.ownership.pools import PoolRow
from papayapick.pool.owner import PoolOwner
from papayapick.pool.records.journal import JOBS_TABLE, PROGRESS_TABLE
from papayapick.pool.workers.reports import (
    Registration,
)
from papayapick.pool.workers.roster import WorkerRoster
from tests.pool.owners import (
    ID,
    KEY,
    job,
    owner_of,
    place,
    report,
    started_record,
    store_job,
    waiting_tasks,
)
from tests.pool.standins import QUEUE


def test_failure_that_was_recorded_counts_once(host):
    """A job that failed once, and may fail twice, must not be shown as failed.

    The owner recorded the failure and died before it acknowledged the end, so that its
    successor reads the failure in the record and again in the worker's report.
    """
    record = started_record("w1", failed={"0": [1]})
    store_job(host, job(), record)
    owner = owner_of(host)
    report(owner, "w1", ends=[(KEY, 1, "failed")])
    report(owner, "w2")
    assert owner.job_registry.get(ID).status != JobStatus.FAILED
    assert waiting_tasks(owner) == 1


def test_members_of_a_gang_that_fail_together_count_once(host):
    """Two failed members in one run of a gang must not exhaust the job's attempts."""
    store_job(host, job(tasks=2, is_gang=True))
    owner = owner_of(host)
    report(owner, "w1")
    report(owner, "w2")
    runs = place(owner)
    assert {run.worker for run in runs} == {"w1"}
    report(owner, "w1", ends=[(run.key, 1, "failed") for run in runs])
    assert owner.job_registry.get(ID).status != JobStatus.FAILED
    assert waiting_tasks(owner) == 2


def test_outdated_report_brings_back_no_run(host):
    """A task must not wait forever for the end of a run that has ended.

    If two reports of one worker arrive out of order, the older one still lists the
    run after its end was processed and acknowledged.
    """
    store_job(host, job())
    owner = owner_of(host)
    report(owner, "w2")
    report(owner, "w1")
    (run,) = place(owner)
    asked_at = host.clock.monotonic()
    host.clock.advance(0.5)
    report(owner, run.worker, ends=[(KEY, 1, "stopped")])
    assert waiting_tasks(owner) == 1
    report(owner, run.worker, runs=[(KEY, 1)], asked_at=asked_at)
    assert waiting_tasks(owner) == 1


def test_run_that_vanishes_is_started_again(host):
    store_job(host, job())
    owner = owner_of(host)
    report(owner, "w2")
    report(owner, "w1")
    (run,) = place(owner)
    report(owner, run.worker, runs=[(KEY, 1)])
    host.clock.advance(0.5)
    report(owner, run.worker)
    assert waiting_tasks(owner) == 1


@pytest.mark.parametrize("is_stopped", [False, True])
def test_run_whose_end_is_held_back_is_not_started_again(host, is_stopped):
    """A task that is done must not run again while the store is unavailable.

    Ends can't be acknowledged then, and a worker reports only the first 500 of them
    each time. A run that ended after these is in neither list of the report.
    """
    store_job(host, job())
    owner = owner_of(host)
    report(owner, "w2")
    report(owner, "w1")
    (run,) = place(owner)
    if is_stopped:
        owner.orders.note_stop_confirmed(run)
    else:
        report(owner, run.worker, runs=[(KEY, 1)])
    host.clock.advance(0.5)
    report(owner, run.worker, has_more_ends=True)
    assert waiting_tasks(owner) == 0
    report(owner, run.worker, ends=[(KEY, 1, "done")])
    assert owner.job_registry.get(ID).status == JobStatus.COMPLETED


def test_pool_lost_while_its_state_is_read_raises_nothing(host):
    """A host must not exit because its pool was taken while it read the state."""
    owner = PoolOwner(host, PoolRow("pool", "h1", 3, "a:1", 9), True)
    inner = host.read_all

    def read_and_lose(table, partition):
        if table == JOBS_TABLE:
            owner.note_lost()
        return inner(table, partition)

    host.read_all = read_and_lose
    owner.start()
    assert owner.is_stopped
    assert owner.links() == []


def test_records_may_be_incomplete_until_all_workers_have_reported(host):
    """A task must not run twice after two takeovers in quick succession.

    The first owner sent starts without records while the store was down. If the second
    is replaced before all workers have reported, it must not have announced that the
    records are complete.
    """
    store_job(host, job())
    owner = owner_of(host, is_journal_exact=False)
    assert owner.may_lack_records()
    report(owner, "w1", runs=[(KEY, 1)])
    assert owner.may_lack_records()
    report(owner, "w2")
    assert ID in owner.job_registry.changed
    assert owner.may_lack_records()
    host.clock.advance(1.1)
    assert not owner.may_lack_records()


def test_worker_that_the_list_has_lost_is_contacted(host):
    """Tasks must not run twice after an outage of the store.

    During the outage the platform's list lost most workers, and starts were sent
    without records. A new owner that contacts only the listed workers learns of no
    such run and starts the tasks again.
    """
    roster = WorkerRoster(PROGRESS_TABLE, "pool")
    roster.add(Registration("w9", "pool", "w9:1", "z", Amounts(4000, 4000)))
    for write in roster.take_changed():
        host.put(PROGRESS_TABLE, "pool", write.key, write.value)
    store_job(host, job())
    owner = owner_of(host, is_journal_exact=False)
    report(owner, "w1")
    report(owner, "w2")
    assert waiting_tasks(owner) == 0
    report(owner, "w9", runs=[(KEY, 1)])
    assert waiting_tasks(owner) == 0
    assert not owner.rooms.get("w9").is_open
    assert owner.rooms.get("w9").runs


def test_silent_worker_that_left_the_list_is_removed(host):
    owner = owner_of(host)
    report(owner, "w1")
    link = report(owner, "w2")
    owner.store_sync.note_worker_rows([StoredRow("servers", "", "w2", None, 2, True)])
    link.failed_since = host.clock.monotonic()
    host.clock.advance(20.0)
    owner.tick(host.clock.monotonic())
    assert [one.worker for one in owner.links()] == ["w1"]
    assert owner.rooms.get("w2") is None


def test_failures_count_in_any_order_of_reports(host):
    """A task must not run again after it has failed as often as it may.

    Two failures were not recorded before the owner was partitioned. Its successor
    learns of the second one first, and must not take the other one for a duplicate.
    """
    store_job(host, job())
    owner = owner_of(host, is_journal_exact=False)
    report(owner, "w2", ends=[(KEY, 2, "failed")])
    report(owner, "w1", ends=[(KEY, 1, "failed")])
    assert owner.job_registry.get(ID).status == JobStatus.FAILED


@pytest.mark.parametrize(
    "record",
    [
        {},
        {"status": "running", "occurrences": {"0": [{"failed": {"0": 1}}]}},
        {"status": "running", "occurrences": {"0": []}},
        {"status": "running", "occurrences": {"0": [{"attempts": {"7": 1}}]}},
    ],
)
def test_record_that_cannot_be_read_stops_only_its_job(host, record):
    """One malformed record must not make each host in turn fail at its takeover."""
    store_job(host, job(), record)
    other = "0000000000000009"
    document = JobDocument(other, "q", "pool", "t", [Step(1, Amounts(1, 1))], 0.0)
    host.put(JOBS_TABLE, "pool/1", other, document.as_record())
    owner = owner_of(host)
    assert [job.identifier for job in owner.job_registry.jobs()] == [other]


@pytest.mark.parametrize("record", [{"status": "cancelled"}, None])
def test_run_of_an_ended_job_keeps_its_capacity_until_it_has_ended(host, record):
    """A worker must not be overcommitted after all hosts were restarted.

    It still runs a task of a job that was cancelled, or that was removed from the
    store. The new owner stops it, but does not know how much capacity it uses, so that
    nothing may be placed there until the run has ended.
    """
    if record is not None:
        store_job(host, job(), record)
    owner = owner_of(host)
    report(owner, "w2")
    report(owner, "w1", runs=[(KEY, 1)])
    (run,) = owner.rooms.get("w1").runs.values()
    assert run.stop_requested is not None
    waiting = JobDocument("0" * 16, "q", "pool", "t", [Step(8, Amounts(1000, 10))], 0.0)
    owner.job_registry.add(waiting, QUEUE, host.clock.monotonic())
    assert {run.worker for run in place(owner)} == {"w2"}
    report(owner, "w1", ends=[(KEY, 1, "stopped")])
    assert {run.worker for run in place(owner)} == {"w1"}
