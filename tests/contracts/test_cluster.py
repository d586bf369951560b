"""Tests of the clients of the users' platform against its stand-in over HTTP."""

import pytest

from papayapick.clients import AnswerMissing, TableUnavailable
from papayapick.clients.exceptions import ConditionFailed, HistoryLost, StoreRefused
from papayapick.clients.rows import Expectation, RowWrite
from papayapick.jobs import Run, RunPhase, TaskKey
from papayapick.ledger import Amounts
from papayapick.platform.exceptions import CallFailed, WorkerSilent
from papayapick.platform.registrations import decode_registration
from papayapick.platform.store import Store
from papayapick.platform.workers import WorkerClient
from papayapick.pool.workers.reports import StartOutcome

TABLE, PART = "jobs", "pool-1"
KEY = TaskKey("5c0e7a21d94b36f8", 0, 1, 17)


@pytest.fixture
def store(cluster, pool):
    return Store(cluster.address, pool)


def _write(key, value):
    return RowWrite(TABLE, PART, key, value)


def test_rows_are_read_back_in_order(store):
    version = store.transact([], [_write("b", {"n": 2}), _write("a", {"n": 1})])
    page = store.read(TABLE, PART)
    assert [(row.key, row.value, row.version) for row in page.rows] == [
        ("a", {"n": 1}, version),
        ("b", {"n": 2}, version),
    ]
    assert page.version == version


def test_condition_that_fails_names_the_rows(store):
    version = store.transact([], [_write("a", {"n": 1})])
    with pytest.raises(ConditionFailed) as caught:
        store.transact([Expectation(TABLE, PART, "a", 0)], [_write("a", {"n": 2})])
    assert [(row.key, row.version) for row in caught.value.rows] == [("a", version)]
    assert store.read(TABLE, PART).rows[0].value == {"n": 1}


def test_followed_deletion_is_marked_as_deleted(store):
    first = store.transact([], [_write("a", {"n": 1})])
    store.transact([], [_write("a", None)])
    (row,) = store.follow(TABLE, first, 0.1).rows
    assert row.is_deleted
    assert row.value is None


def test_follow_after_lost_history_raises(cluster, store):
    first = store.transact([], [_write("a", {"n": 1})])
    store.transact([], [_write("a", {"n": 2})])
    cluster.rows.discard_history()
    with pytest.raises(HistoryLost):
        store.follow(TABLE, first, 0.1)


def test_pages_are_joined(store):
    for start in range(0, 600, 60):
        numbers = range(start, start + 60)
        store.transact([], [_write(f"{number:04}", {}) for number in numbers])
    rows, _ = store.read_all(TABLE, PART)
    assert [row.key for row in rows] == [f"{number:04}" for number in range(600)]


def test_refused_call_did_nothing(cluster, store):
    cluster.rows.is_down = True
    with pytest.raises(StoreRefused):
        store.transact([], [_write("a", {})])


def test_lost_answer_is_distinguished_from_a_refusal(cluster, store):
    """Guard against a caller that gets "not run" although its job runs.

    The store applied the write and its answer was lost. If this counted as a refusal,
    the host would report a false outcome to the caller.
    """
    cluster.rows.answers_to_lose = 1
    with pytest.raises(TableUnavailable) as caught:
        store.transact([], [_write("a", {})])
    assert not isinstance(caught.value, StoreRefused)
    assert store.read(TABLE, PART).rows


def test_row_of_another_writer_has_no_value(cluster, store):
    cluster.rows.transact(
        {
            "expected_rev": [],
            "writes": [{"table": TABLE, "part": PART, "key": "x", "value": "@@"}],
            "remove": [],
        }
    )
    assert store.read(TABLE, PART).rows[0].value is None


# Workers.


def _run(attempt=1):
    return Run(KEY, attempt, "w1", Amounts(100, 100), RunPhase.ORDERED, 0.0)


@pytest.fixture
def worker(cluster):
    return cluster.add_worker("w1", task_seconds=60)


@pytest.fixture
def client(cluster, worker, pool):
    return WorkerClient("w1", f"{cluster.address}/workers/w1", pool)


def _lease(client):
    return client.renew(1, 0).clock + 5


def test_start_is_listed_and_its_stop_ends_it(client):
    end = _lease(client)
    assert client.start(_run(), "payload", end, 1) == StartOutcome.STARTED
    (found,) = client.renew(1, 0).runs
    assert (found.key, found.attempt) == (KEY, 1)
    client.stop(KEY, 1, 1)
    (ended,) = client.renew(1, 0).ends
    assert (ended.number, ended.key, ended.outcome) == (1, KEY, "stopped")
    assert client.renew(1, 1).ends == []


def test_lower_epoch_is_fenced(client):
    end = _lease(client)
    client.renew(5, 0)
    assert client.start(_run(), "payload", end, 4) == StartOutcome.FENCED
    with pytest.raises(CallFailed) as caught:
        client.renew(4, 0)
    assert caught.value.details["status"] == 409


def test_start_after_its_stop_is_refused(client):
    """Guard against a task that runs twice because its start is executed late.

    The worker executed the start order seconds after the owner had given up on it. An
    acknowledged stop makes a later start fail, so the owner may place the task on
    another worker.
    """
    end = _lease(client)
    client.stop(KEY, 1, 1)
    assert client.start(_run(), "payload", end, 1) == StartOutcome.OUTDATED


def test_start_under_an_expired_lease_is_refused(client):
    end = client.renew(1, 0).clock - 1
    assert client.start(_run(), "payload", end, 1) == StartOutcome.EXPIRED


def test_start_without_an_answer_is_unknown(worker, client):
    end = _lease(client)
    worker.starts_to_lose = 1
    assert client.start(_run(), "payload", end, 1) == StartOutcome.UNKNOWN


def test_worker_without_an_answer_is_silent(worker, client):
    worker.is_silent = True
    with pytest.raises(WorkerSilent):
        client.renew(1, 0)


@pytest.mark.parametrize(
    "entry",
    [
        None,
        {},
        {"service": "p", "address": "a:1", "zone": "z", "state": "resting"},
        {
            "service": 7,
            "address": "a:1",
            "zone": "z",
            "state": "ready",
            "capacity": {"cpu": 1, "mem_mb": 1},
        },
        {
            "service": "p",
            "address": "a:1",
            "zone": "z",
            "state": "ready",
            "capacity": {"cpu": "many", "mem_mb": 1},
        },
        {
            "service": "p",
            "address": "a:b:c",
            "zone": "z",
            "state": "ready",
            "capacity": {"cpu": 1, "mem_mb": 1},
        },
        {
            "service": "p",
            "address": "a:1",
            "zone": "z",
            "state": "ready",
            "capacity": {"cpu": float("inf"), "mem_mb": 1},
        },
    ],
)
def test_entry_of_another_writer_names_no_worker(entry):
    assert decode_registration("w1", entry) is None


def test_worker_with_an_invalid_answer_is_silent(worker, client):
    """Guard against a pool that starts no jobs as one worker's answer is invalid."""
    worker._body = lambda **fields: {"running": 7}
    with pytest.raises(WorkerSilent):
        client.renew(1, 0)


class SilentPool:
    """Answer no request, and record the timeout of each."""

    def __init__(self):
        self.waited = []

    def request(self, method, url, body, headers, timeout, **options):
        self.waited.append(timeout)
        raise AnswerMissing(url=url)


def test_waiting_renewal_has_a_short_timeout():
    """Guard against a step that starts 1.6 s late after an unanswered renewal.

    The end of the previous step was not seen, as the worker left one renewal
    unanswered. A renewal that waits for the end of a run delays all reports of the
    worker, so it times out sooner than a renewal that returns the current state.
    """
    pool = SilentPool()
    client = WorkerClient("w1", "w1:1", pool)
    for wait in (0.6, 0.0):
        with pytest.raises(WorkerSilent):
            client.renew(1, 0, 5.0, wait)
    waiting, looking = pool.waited
    assert waiting - 0.6 < looking / 2
