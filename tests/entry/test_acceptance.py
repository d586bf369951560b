"""What a caller hears of a job while its queue takes no more."""

from concurrent.futures import Future

import pytest

from papayapick.clients.exceptions import TableUnavailable
from papayapick.clients.rows import StoredRow
from papayapick.clock import ManualClock
from papayapick.entry.acceptance import Acceptance
from papayapick.entry.exceptions import QueueFull, StateUnknown
from papayapick.entry.job_states import JobStateCache
from papayapick.jobs import JobDocument, Step
from papayapick.jobs.state import JobStatus
from papayapick.ledger import Amounts
from papayapick.placement.backlog import QueueBacklog

ID = "5c0e7a21d94b36f8"
JOB = JobDocument(ID, "counts", "pool", "t", [Step(1, Amounts(100, 10))], 0.0)


class FakeStore:
    """Hold the rows of one job; count what is written."""

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


def test_full_queue_turns_a_new_job_away_and_writes_nothing():
    store = FakeStore()
    with pytest.raises(QueueFull) as raised:
        acceptance(store, 9)[0].submit(JOB)
    assert (raised.value.retry_after, store.written) == (9, [])


def test_job_that_was_stored_before_is_not_called_refused():
    """A caller's first try had no answer, and was stored; then its queue is full.

    Turned away at the second try, it would have been told that its job never runs.
    """
    store = FakeStore(keys=[ID])
    assert acceptance(store, 9)[0].submit(JOB) is True


def test_full_queue_knows_the_jobs_on_the_board():
    found, job_states = acceptance(FakeStore(is_away=True), 9)
    job_states.note_statuses({ID: JobStatus.RUNNING})
    assert found.submit(JOB) is False


def test_nothing_is_refused_while_nobody_knows_whether_it_was_stored():
    with pytest.raises(StateUnknown):
        acceptance(FakeStore(is_away=True), 9)[0].submit(JOB)


def test_queue_that_takes_jobs_writes_them():
    store = FakeStore()
    assert acceptance(store, 0)[0].submit(JOB) is True
    assert store.written == [ID]
