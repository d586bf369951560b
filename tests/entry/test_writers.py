"""Writing callers' requests in groups."""

import threading

import pytest

from papayapick.clients import TableUnavailable
from papayapick.clients.exceptions import ConditionFailed, StoreRefused
from papayapick.clients.rows import Expectation, RowWrite, StoredRow
from papayapick.entry.callers.writers import GroupWriter
from papayapick.entry.exceptions import AcceptanceUnknown, GuardFailed, NotAccepted
from tests.standins.clocks import AdvancingClock


class Store:
    """Keep rows in memory; fail as scripted, before or after the write."""

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
            self.rows[write.key] = StoredRow(write.table, "pool", write.key, {}, 3)
        if failure:
            raise failure
        return 3


class Executor:
    """Collect tasks, and run them when the test says so."""

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
    return GroupWriter(store, AdvancingClock(10.0), threading.Event(), executor)


def _submit(writer, key, partition="pool"):
    expectation = Expectation("jobs", partition, key, 0)
    return writer.submit(expectation, RowWrite("jobs", partition, key, {}))


def _drain(writer):
    while writer._executor.tasks:
        writer._executor.run_next()


def test_group_with_guards_fits_into_a_transaction(writer, store):
    """Guards against a burst of jobs that the store refuses as one call too large."""
    sizes = []
    transact = store.transact

    def measure(expectations, writes):
        rows = {(one.table, one.key) for one in expectations}
        assert len(rows) == len(expectations)
        sizes.append(len(expectations) + len(writes))
        return transact([one for one in expectations if one.table == "jobs"], writes)

    store.transact = measure
    futures = [
        writer.submit(
            Expectation("jobs", "pool", f"j{number}", 0),
            RowWrite("jobs", "pool", f"j{number}", {}),
            Expectation("fences", "pool", f"q{number % 60}", 0),
        )
        for number in range(120)
    ]
    _drain(writer)
    assert all(future.result(0) for future in futures)
    assert max(sizes) <= 100


def test_write_whose_guard_another_one_writes_waits_for_it(writer, store):
    """Guards against a job that is stored beside the fence that is to refuse it."""
    place = ("fences", "pool", "q")
    fence = writer.submit(Expectation(*place, 0), RowWrite(*place, {}))
    job = writer.submit(
        Expectation("jobs", "pool", "j", 0),
        RowWrite("jobs", "pool", "j", {}),
        Expectation(*place, 0),
    )
    _drain(writer)
    assert fence.result(0)
    with pytest.raises(GuardFailed):
        job.result(0)
    assert store.calls == [["q"], ["j"]]


def test_pending_writes_go_into_one_call(writer, store):
    futures = [_submit(writer, f"j{number}") for number in range(5)]
    _drain(writer)
    assert [future.result(0) for future in futures] == [True] * 5
    assert len(store.calls) == 1


def test_same_id_twice_is_one_job(writer, store):
    futures = [_submit(writer, "j1"), _submit(writer, "j1")]
    _drain(writer)
    assert [future.result(0) for future in futures] == [True, False]


def test_existing_id_does_not_fail_its_group(writer, store):
    store.rows["j1"] = StoredRow("jobs", "pool", "j1", {}, 2)
    futures = [_submit(writer, "j1"), _submit(writer, "j2")]
    _drain(writer)
    assert [future.result(0) for future in futures] == [False, True]


def test_refused_write_fails_at_once(writer, store):
    store.script = [(StoreRefused(), False)]
    future = _submit(writer, "j1")
    _drain(writer)
    assert isinstance(future.exception(0), NotAccepted)
    assert len(store.calls) == 1


def test_lost_answer_is_settled_by_the_row(writer, store):
    """Guards against an unknown outcome for a job that is stored.

    The write was applied and its answer lost; the second attempt finds the row.
    """
    store.script = [(TableUnavailable(), True)]
    future = _submit(writer, "j1")
    _drain(writer)
    assert future.result(0) is False
    assert "j1" in store.rows


def test_refusal_after_a_lost_answer_is_not_reported_as_not_accepted(writer, store):
    """Guards against a job that runs although its caller was told that it never will.

    The first attempt had no answer and may be applied seconds later; the store then
    refused the second. The outcome is unknown.
    """
    store.script = [(TableUnavailable(), False)] + [(StoreRefused(), False)] * 60
    future = _submit(writer, "j1")
    _drain(writer)
    assert isinstance(future.exception(0), AcceptanceUnknown)


def test_later_callers_do_not_wait_for_an_unknown_outcome(writer, store, executor):
    """Guards against a caller that waits two seconds to be refused.

    The store stopped answering. The first request had no answer and was retried until
    its deadline; later requests must not wait for it, since they were never sent.
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
    """Guards against a burst of jobs that are too late while the store is slow.

    A transaction takes 0.4 s. The jobs of one host lie in eight partitions, which the
    store serves in parallel; written one after the other, the last would wait 3 s.
    """
    futures = [_submit(writer, f"j{number}", f"p{number % 3}") for number in range(6)]
    assert len(executor.tasks) == 3
    _drain(writer)
    assert all(future.result(0) for future in futures)
    assert sorted(store.calls) == [["j0", "j3"], ["j1", "j4"], ["j2", "j5"]]


def test_requests_during_a_transaction_form_the_next_group(writer, executor, store):
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


def test_exception_in_one_group_does_not_stop_its_partition(writer, store):
    store.script = [(KeyError("a fault"), False)]
    futures = [_submit(writer, "j1")]
    _drain(writer)
    futures.append(_submit(writer, "j2"))
    _drain(writer)
    assert isinstance(futures[0].exception(0), AcceptanceUnknown)
    assert futures[1].result(0) is True
