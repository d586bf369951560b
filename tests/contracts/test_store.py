"""Run the same fault cases on the in-memory store, directly and over HTTP.

Another implementation of ``TableProtocol`` or ``ObjectsProtocol`` is tested by
adding it to ``KINDS``.
"""

import threading
from concurrent.futures import ThreadPoolExecutor

import pytest

from papayapick.clients import (
    Condition,
    HttpPool,
    ObjectMissing,
    ObjectStore,
    ObjectsUnavailable,
    Table,
    TableUnavailable,
    TransactionConflict,
    Write,
)
from papayapick.clients.commands import transact_with_retry
from papayapick.listening import create_listener
from tests.standins.server import Platform

KINDS = ("in process", "over HTTP")
KEY = "shard/hobart-a.0"
TIMEOUT = 0.3


class Store:
    """Table and objects of a platform, with access to its faults and stored rows."""

    def __init__(self, kind, server):
        self.platform = Platform(service_seconds=0)
        self.board = self.platform.board
        self.is_remote = kind == "over HTTP"
        self.pool = HttpPool(TIMEOUT)
        self.table = self.platform.table
        self.objects = self.platform.objects
        if self.is_remote:
            server.platform = self.platform
            self.table = Table(f"{server.url}/table", self.pool)
            self.objects = ObjectStore(f"{server.url}/objects", self.pool)

    def stored(self, key=KEY):
        """Return the stored value of a row without injected faults."""
        row = self.platform.table.rows.get(key)
        return row and row.value

    def close(self):
        self.board.clear()
        self.pool.close()


class Server:
    """Serve the platform of the current test on an ephemeral port."""

    def __init__(self):
        self.platform = None
        server = create_listener(self._serve, host="127.0.0.1", port=0)
        self.url = f"http://127.0.0.1:{server.effective_port}"
        threading.Thread(target=server.run, daemon=True).start()

    def _serve(self, environ, start_response):
        return self.platform(environ, start_response)


@pytest.fixture(scope="module")
def server():
    return Server()


@pytest.fixture(params=KINDS)
def store(request, server):
    found = Store(request.param, server)
    yield found
    found.close()


def create(store, value=1):
    store.table.transact([Condition(KEY, 0)], [Write(KEY, {"n": value})])


def replace(store):
    store.table.transact([Condition(KEY, 1)], [Write(KEY, {"n": 2})])


def delete(store):
    store.table.transact([Condition(KEY, 1)], [Write(KEY, None)])


def write_two(store):
    conditions = [Condition(KEY, 1), Condition("other", 0)]
    store.table.transact(conditions, [Write(KEY, {"n": 2}), Write("other", {"n": 2})])


def write_two_with_a_conflict(store):
    conditions = [Condition(KEY, 1), Condition("other", 5)]
    store.table.transact(conditions, [Write(KEY, {"n": 2}), Write("other", {"n": 2})])


def settle(store):
    transact_with_retry(store.table, [Condition(KEY, 1)], [Write(KEY, {"n": 2})])


# operation, faults, error, value of the row afterwards
CASES = [
    ("plain write", replace, {}, None, 2),
    ("conflict", create, {}, TransactionConflict, 1),
    ("delete", delete, {}, None, None),
    ("two rows", write_two, {}, None, 2),
    ("two rows, one conflict", write_two_with_a_conflict, {}, TransactionConflict, 1),
    ("down", replace, {"down": True}, TableUnavailable, 1),
    ("error answer", replace, {"fail": True}, TableUnavailable, 1),
    ("answer lost", replace, {"lose_answers": 1}, TableUnavailable, 2),
    ("answer lost, settled", settle, {"lose_answers": 1}, None, 2),
    ("down, settled", settle, {"down": True}, TableUnavailable, 1),
    ("all answers lost", settle, {"lose_answers": True}, TableUnavailable, 2),
    ("a little slow", replace, {"slow": 0.02}, None, 2),
    ("slow and answer lost", settle, {"slow": 0.02, "lose_answers": 1}, None, 2),
]


@pytest.mark.parametrize(
    ("operation", "faults", "error", "value"),
    [case[1:] for case in CASES],
    ids=[case[0] for case in CASES],
)
def test_a_transaction_under_a_fault(store, operation, faults, error, value):
    """A transaction runs while the table fails in each way.

    Its error must tell a conflict, which wrote nothing, from an unknown outcome.
    """
    create(store)
    for kind, how in faults.items():
        store.board.set("table", kind, how)
    if error is None:
        operation(store)
    else:
        with pytest.raises(error):
            operation(store)
    stored = store.stored()
    assert (stored and stored["n"]) == value


def test_a_retry_after_a_lost_answer_conflicts_with_its_own_write(store):
    """The write took effect and its answer was lost.

    A plain retry conflicts with its own write; only the row shows who wrote it.
    """
    create(store)
    store.board.set("table", "lose_answers", 1)
    with pytest.raises(TableUnavailable):
        replace(store)
    with pytest.raises(TransactionConflict) as conflict:
        replace(store)
    assert conflict.value.details == {"key": KEY}


def test_a_conflict_is_not_settled_as_a_success(store):
    """Another writer has changed the row before the transaction.

    The marker in the row is that of the other writer, so the settled transaction must
    raise the conflict.
    """
    create(store)
    replace(store)
    with pytest.raises(TransactionConflict):
        settle(store)


@pytest.mark.parametrize("operation", ["read", "scan"])
@pytest.mark.parametrize("fault", ["down", "fail", "lose_answers"])
def test_a_read_under_a_fault_raises_unavailable(store, operation, fault):
    """A table that does not answer must not look like an empty table.

    A placer would assume that no shard has an owner.
    """
    create(store)
    store.board.set("table", fault, 1 if fault == "lose_answers" else True)
    with pytest.raises(TableUnavailable):
        getattr(store.table, operation)("shard/")


def test_rows_are_scanned_by_prefix_in_the_order_of_keys(store):
    for key in ("shard/b", "shard/a", "bundle/head"):
        store.table.transact([], [Write(key, {"n": 1})])
    assert [row.key for row in store.table.scan("shard/")] == ["shard/a", "shard/b"]
    assert store.table.read("shard/c") is None


def test_versions_grow_by_one_with_each_write(store):
    create(store)
    replace(store)
    assert store.table.read(KEY).version == 2


def test_of_two_writers_at_once_one_wins(store):
    """Two concurrent writers: one succeeds, the other gets TransactionConflict."""
    create(store)
    with ThreadPoolExecutor(2) as executor:
        futures = [executor.submit(replace, store) for _ in range(2)]
        errors = [future.exception() for future in futures]
    assert sorted(type(error).__name__ for error in errors) == [
        "NoneType",
        "TransactionConflict",
    ]


def test_a_frozen_table_takes_effect_late(store):
    """The table freezes during a write and applies it once it continues.

    Over HTTP the writer has timed out by then, so the outcome was unknown to it.
    """
    create(store)
    store.board.set("table", "freeze")
    with ThreadPoolExecutor(1) as executor:
        future = executor.submit(replace, store)
        if store.is_remote:
            assert isinstance(future.exception(), TableUnavailable)
        assert store.stored() == {"n": 1}
        store.board.clear()
        future.exception()
    while store.stored() != {"n": 2}:
        threading.Event().wait(0.005)


def test_an_object_is_stored_by_its_name(store):
    store.objects.put("bundle/ab", b"\x00bytes")
    store.objects.put("bundle/ab", b"\x00bytes")
    assert store.objects.get("bundle/ab") == b"\x00bytes"


def test_a_missing_object_is_not_an_outage(store):
    with pytest.raises(ObjectMissing):
        store.objects.get("bundle/none")


@pytest.mark.parametrize("fault", ["down", "fail"])
def test_objects_under_a_fault_raise_unavailable(store, fault):
    """An outage must not look like a missing bundle."""
    store.objects.put("bundle/ab", b"1")
    store.board.set("objects", fault)
    with pytest.raises(ObjectsUnavailable):
        store.objects.get("bundle/ab")
    with pytest.raises(ObjectsUnavailable):
        store.objects.put("bundle/cd", b"1")
    assert list(store.platform.objects.objects) == ["bundle/ab"]


def test_a_frozen_object_store_times_out_over_http(server):
    """A frozen store must not block a thread of its client forever."""
    store = Store("over HTTP", server)
    store.board.set("objects", "freeze")
    with pytest.raises(ObjectsUnavailable):
        store.objects.get("bundle/ab")
    store.close()
