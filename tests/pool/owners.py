"""Helpers for tests of a pool's owner: owners without threads, and worker reports."""

from papayapick.jobs import JobDocument, Step, TaskKey
from papayapick.ledger import Amounts
from papayapick.ownership.pools import PoolRow
from papayapick.pool.owner import PoolOwner
from papayapick.pool.records.journal import JOBS_TABLE, PROGRESS_TABLE
from papayapick.pool.workers.reports import EndReport, RunReport, WorkerReport
from tests.pool.standins import Host, ManualExecutor

ID = "5c0e7a21d94b36f8"
KEY = TaskKey(ID, 0, 0, 0)


def job(tasks=1, **step):
    return JobDocument(
        ID, "q", "pool", "t", [Step(tasks, Amounts(1000, 10), **step)], 0.0
    )


def register(host, worker, born=1):
    host.put(
        "servers",
        "",
        worker,
        {
            "service": "pool",
            "address": f"{worker}:1",
            "zone": "z",
            "state": "ready",
            "capacity": {"cpu": 4000, "mem_mb": 4000},
            "born": born,
        },
    )


def owner_of(host, is_journal_exact=True):
    owner = PoolOwner(host, PoolRow("pool", "h1", 3, "a:1", 9), is_journal_exact)
    owner._executor.shutdown()
    owner._order_executor.shutdown()
    owner._stop_executor.shutdown()
    owner._executor, owner.orders._executor = ManualExecutor(), ManualExecutor()
    owner.orders._stop_executor = ManualExecutor()
    owner.store_sync.load()
    return owner


def store_job(host, document, record=None):
    number = int(ID, 16) % 8
    host.put(JOBS_TABLE, f"pool/{number}", ID, document.as_record())
    if record is not None:
        host.put(PROGRESS_TABLE, "pool", ID, record)


def report(
    owner, worker, runs=(), ends=(), asked_at=None, percent=0, has_more_ends=False
):
    link = owner.links_by_worker[worker]
    now = owner.host.clock.monotonic()
    found = WorkerReport(
        50.0,
        1,
        [RunReport(key, attempt, percent=percent) for key, attempt in runs],
        [EndReport(number, *end) for number, end in enumerate(ends, 1)],
        has_more_ends,
    )
    owner.report_handler.note_report(link, found, now if asked_at is None else asked_at)
    return link


def follow_jobs(host, owner, rows, is_whole=False):
    """Answer one call of the feed: with changes, or with all rows."""

    def follow(table, version, on_rows, read_all, stopping, on_complete=None):
        asked_at = host.clock.monotonic()
        found = read_all()[0] if is_whole else rows
        if found:
            on_rows(found)
        on_complete(asked_at)

    host.follow = follow
    owner.store_sync.follow_jobs(1)


def started_record(place, **fields):
    """Return the progress record of a job whose first task was started on a worker."""
    step = {"attempts": {"0": 1}, "places": {"0": place}, **fields}
    return {"status": "running", "occurrences": {"0": [step]}}


def waiting_tasks(owner):
    return sum(len(step.waiting) for step in owner.job_registry.waiting_steps())


def place(owner):
    """Place waiting tasks, count their starts as sent, and return the runs."""
    now = owner.host.clock.monotonic()
    with owner.lock:
        owner.decisions.place(now)
    runs = [start.run for start in owner.decisions.take_unsent()]
    for run in runs:
        run.note_sent(now)
    return runs


def host_with_two_workers(born=1):
    host = Host()
    for worker in ("w1", "w2"):
        register(host, worker, born)
    return host


def owner_with(document):
    """Return a host, and the owner of one job whose two workers have reported."""
    host = host_with_two_workers()
    store_job(host, document)
    owner = owner_of(host)
    for worker in ("w1", "w2"):
        report(owner, worker)
    return host, owner
