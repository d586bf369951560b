"""Writing what callers hand in, in groups."""

import threading

import pytest

from papayapick.clients import TableUnavailable
from papayapick.clock import ManualClock
from papayapick.entry.exceptions import AcceptanceUnknown, NotAccepted
from papayapick.entry.writers import GroupWriter
from papayapick.platform.exceptions import ConditionFailed, StoreRefused
from papayapick.platform.store import Expectation, RowWrite, StoredRow


class Store:
    """Keep rows; take failures by a script, before or after the write."""

    def __init__(self):
        self.rows = {}
        self.calls = []
        self.script = []

    def transact(self, expectations, writes):
        self.calls.append([write.key for write in writes])
        failure, is_applied = self.script.pop(0) if self.script else (None, True)
        if failure and not is_applied:
            raise failure
        there = [self.rows[e.key] for e in expectations if e.key in self.rows]
        if there:
            raise ConditionFailed(there)
        for write in writes:
            self.rows[write.key] = StoredRow("jobs", "pool", write.key, {}, 3)
        if failure:
            raise failure
        return 3


class _Clock(ManualClock):
    def wait(self, event, seconds):
        self.advance(seconds)
        return event.is_set()


class Executor:
    """Run tasks when told, after what else the test does."""

    tasks = []

    def submit(self, step, *args):
        self.tasks.append((step, args))


@pytest.fixture
def store():
    return Store()


@pytest.fixture
def writer(store):
    return GroupWriter(store, _Clock(10.0), threading.Event(), Executor())


def _submit(writer, key):
    expectation = Expectation("jobs", "pool", key, 0)
    return writer.submit(expectation, RowWrite("jobs", "pool", key, {}))


def _drain(writer):
    while group := writer._gather_now():
        writer._write(group)
    while Executor.tasks:
        step, args = Executor.tasks.pop(0)
        step(*args)


def test_what_waits_goes_in_one_call(writer, store):
    futures = [_submit(writer, f"j{number}") for number in range(5)]
    _drain(writer)
    assert [future.result(0) for future in futures] == [True] * 5
    assert len(store.calls) == 1


def test_same_id_twice_is_one_job(writer, store):
    futures = [_submit(writer, "j1"), _submit(writer, "j1")]
    _drain(writer)
    assert [future.result(0) for future in futures] == [True, False]


def test_id_that_is_there_does_not_spoil_its_group(writer, store):
    store.rows["j1"] = StoredRow("jobs", "pool", "j1", {}, 2)
    futures = [_submit(writer, "j1"), _submit(writer, "j2")]
    _drain(writer)
    assert [future.result(0) for future in futures] == [False, True]


def test_refused_write_is_told_at_once(writer, store):
    store.script = [(StoreRefused(), False)]
    future = _submit(writer, "j1")
    _drain(writer)
    assert isinstance(future.exception(0), NotAccepted)
    assert len(store.calls) == 1


def test_lost_answer_is_settled_by_the_row(writer, store):
    """A caller would be told "unknown" for a job that is stored.

    The write was applied and its answer lost; the second try finds the row.
    """
    store.script = [(TableUnavailable(), True)]
    future = _submit(writer, "j1")
    _drain(writer)
    assert future.result(0) is False
    assert "j1" in store.rows


def test_refusal_after_a_lost_answer_is_not_told_as_not_accepted(writer, store):
    """A caller is told "never runs", and the job runs.

    The first try had no answer and may be applied seconds later; the store then
    refused the second. Only "unknown" is true.
    """
    store.script = [(TableUnavailable(), False)] + [(StoreRefused(), False)] * 60
    future = _submit(writer, "j1")
    _drain(writer)
    assert isinstance(future.exception(0), AcceptanceUnknown)


def test_later_callers_do_not_wait_for_an_unsure_one(writer, store):
    """A caller waits two seconds for "not accepted".

    The store went silent. The first request had no answer and was tried again
    until its time was over; those behind it waited though nothing of theirs was
    sent.
    """
    store.script = [(TableUnavailable(), False)] + [(StoreRefused(), False)] * 60
    first, later = _submit(writer, "j1"), None
    writer._write(writer._gather_now())
    later = _submit(writer, "j2")
    writer._write(writer._gather_now())
    assert isinstance(later.exception(0), NotAccepted)
    assert not first.done()
    _drain(writer)
    assert isinstance(first.exception(0), AcceptanceUnknown)
