"""Writing what callers hand in, in groups."""

import threading

import pytest

from papayapick.clients import TableUnavailable
from papayapick.clients.exceptions import ConditionFailed, StoreRefused
from papayapick.clients.rows import Expectation, RowWrite, StoredRow
from papayapick.clock import ManualClock
from papayapick.entry.exceptions import AcceptanceUnknown, NotAccepted
from papayapick.entry.writers import GroupWriter


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

    def __init__(self):
        self.tasks = []

    def run_next(self):
        step, args = self.tasks.pop(0)
        step(*args)

    def submit(self, step, *args):
        self.tasks.append((step, args))


@pytest.fixture
def store():
    return Store()


@pytest.fixture
def executor():
    return Executor()


@pytest.fixture
def writer(store, executor):
    return GroupWriter(store, _Clock(10.0), threading.Event(), executor)


def _submit(writer, key, partition="pool"):
    expectation = Expectation("jobs", partition, key, 0)
    return writer.submit(expectation, RowWrite("jobs", partition, key, {}))


def _drain(writer):
    while writer._executor.tasks:
        writer._executor.run_next()


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


def test_later_callers_do_not_wait_for_an_unsure_one(writer, store, executor):
    """A caller waits two seconds for "not accepted".

    The store went silent. The first request had no answer and was tried again
    until its time was over; those behind it waited though nothing of theirs was
    sent.
    """
    store.script = [(TableUnavailable(), False)] + [(StoreRefused(), False)] * 60
    first, later = _submit(writer, "j1"), None
    executor.run_next()
    later = _submit(writer, "j2")
    executor.tasks.reverse()
    executor.run_next()
    assert isinstance(later.exception(0), NotAccepted)
    assert not first.done()
    _drain(writer)
    assert isinstance(first.exception(0), AcceptanceUnknown)


def test_partitions_do_not_wait_for_each_other(writer, executor, store):
    """Half of the counts of a burst come too late: the store is slow.

    A transaction takes 0.4 s. The jobs of one host lie in eight partitions, which the
    store serves side by side; written one after the other, the last waits 3 s.
    """
    futures = [_submit(writer, f"j{number}", f"p{number % 3}") for number in range(6)]
    assert len(executor.tasks) == 3
    _drain(writer)
    assert all(future.result(0) for future in futures)
    assert sorted(store.calls) == [["j0", "j3"], ["j1", "j4"], ["j2", "j5"]]


def test_what_comes_during_a_write_goes_into_the_next_group(writer, executor, store):
    transact = store.transact
    late = []

    def transact_slowly(expectations, writes):
        if not late:
            late.append(_submit(writer, "j2"))
            late.append(_submit(writer, "j3"))
        return transact(expectations, writes)

    store.transact = transact_slowly
    _submit(writer, "j1")
    assert len(executor.tasks) == 1
    _drain(writer)
    assert store.calls == [["j1"], ["j2", "j3"]]
    assert all(future.result(0) for future in late)


def test_fault_of_one_group_does_not_stop_its_partition(writer, store):
    store.script = [(KeyError("a fault"), False)]
    futures = [_submit(writer, "j1")]
    _drain(writer)
    futures.append(_submit(writer, "j2"))
    _drain(writer)
    assert isinstance(futures[0].exception(0), AcceptanceUnknown)
    assert futures[1].result(0) is True
