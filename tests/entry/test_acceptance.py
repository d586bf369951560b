"""Accepting jobs while their queue is full."""

from concurrent.futures import Future

import pytest

from papayapick.clients.exceptions import TableUnavailable
from papayapick.clients.rows import StoredRow
from papayapick.clock import ManualClock
from papayapick.entry.callers.acceptance import Acceptance
from papayapick.entry.callers.job_states import JobStateCache
from papayapick.entry.exceptions import AcceptanceUnknown, QueueFull
from papayapick.jobs import JobDocument, Step
from papayapick.jobs.state import JobStatus
from papayapick.ledger import Amounts
from papayapick.placement.order.backlog import QueueBacklog

ID = "5c0e7a21d94b36f8"
JOB = JobDocument(ID, "counts", "pool", "t", [Step(1, Amounts(100, 10))], 0.0)


class FakeStore:
    """Hold the rows of one job and record the keys that are written."""

    def __init__(self, keys=(), is_away=False):
        self._rows = [StoredRow("jobs", "pool", key, {}, 1) for key in keys]
        self._is_away = is_away
        self.written = []

    def read(self, table, partition, first, end, limit):
        if self._is_away:
            raise TableUnavailable()
        return self._rows

    def submit(self, expectation, write):
        self.written.append(write.key)
        done = Future()
        done.set_result(True)
        return done


def acceptance(store, retry_after):
    job_states = JobStateCache(ManualClock(100.0))
    job_states.note_backlogs("pool", 3, {"counts": QueueBacklog(500, retry_after)})
    return Acceptance(store, store, job_states), job_states


def test_full_queue_refuses_a_new_job_and_writes_nothing():
    store = FakeStore()
    with pytest.raises(QueueFull) as raised:
        acceptance(store, 9)[0].submit(JOB)
    assert (raised.value.retry_after, store.written) == (9, [])


def test_job_that_is_stored_already_is_not_refused():
    """Guards against reporting a job as refused that is stored and will run.

    The caller's first attempt was stored but had no answer, and its queue is full at
    the second one.
    """
    store = FakeStore(keys=[ID])
    assert acceptance(store, 9)[0].submit(JOB) is True


def test_full_queue_recognizes_jobs_with_a_cached_state():
    found, job_states = acceptance(FakeStore(is_away=True), 9)
    job_states.note_statuses({ID: JobStatus.RUNNING}, {})
    assert found.submit(JOB) is False


def test_job_is_not_refused_while_the_store_cannot_be_read():
    """Guards against reporting a job as refused that may be stored, and then runs.

    To a caller, status 503 says that its job never runs.
    """
    with pytest.raises(AcceptanceUnknown) as raised:
        acceptance(FakeStore(is_away=True), 9)[0].submit(JOB)
    assert raised.value.status.startswith("504")


def test_queue_that_is_not_full_writes_its_jobs():
    store = FakeStore()
    assert acceptance(store, 0)[0].submit(JOB) is True
    assert store.written == [ID]
