"""Run one table of fault cases against the fakes and the same through HTTP.

Whoever writes another platform behind ``TableProtocol`` or ``ObjectsProtocol``
adds it to ``KINDS``.
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
from papayapick.clients.transactions import transact_with_retry
from papayapick.listening import create_listener
from tests.standins.server import Platform

KINDS = ("in process", "over HTTP")
KEY = "shard/hobart-a.0"
TIMEOUT = 0.3


class Store:
    """A platform's table and objects, with its faults and what is stored."""

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
        """Return the value of a row, past all faults."""
        row = self.platform.table.rows.get(key)
        return row and row.value

    def close(self):
        self.board.clear()
        self.pool.close()


class Server:
    """Serve the platform of the present test on an ephemeral port."""

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
    """A caller's shard is claimed while the table fails in each way: the error
    must tell whether nothing was written, or that nobody knows.
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
    """The write took effect and its answer was lost. A bare retry meets its
    own write as a conflict; the row, not the error, tells who wrote it.
    """
    create(store)
    store.board.set("table", "lose_answers", 1)
    with pytest.raises(TableUnavailable):
        replace(store)
    with pytest.raises(TransactionConflict) as conflict:
        replace(store)
    assert conflict.value.details == {"key": KEY}


def test_a_conflict_is_not_settled_into_a_success(store):
    """Two writers race and the loser's answer is lost as well: the marker in
    the row is the winner's, so the loser must hear of the conflict.
    """
    create(store)
    replace(store)
    with pytest.raises(TransactionConflict):
        settle(store)


@pytest.mark.parametrize("operation", ["read", "scan"])
@pytest.mark.parametrize("fault", ["down", "fail", "lose_answers"])
def test_a_read_under_a_fault_says_unavailable(store, operation, fault):
    """A table that does not answer must not look like a table without rows:
    a placer would take every shard for unowned.
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
    """Two operators accept at the same moment: one write, one typed conflict."""
    create(store)
    with ThreadPoolExecutor(2) as executor:
        futures = [executor.submit(replace, store) for _ in range(2)]
        errors = [future.exception() for future in futures]
    assert sorted(type(error).__name__ for error in errors) == [
        "NoneType",
        "TransactionConflict",
    ]


def test_a_frozen_table_takes_effect_late(store):
    """The table is frozen while a claim is under way, and goes on afterwards.
    Over HTTP the writer has given up by then: unknown, and then done.
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


def test_an_object_is_kept_by_its_name(store):
    store.objects.put("bundle/ab", b"\x00bytes")
    store.objects.put("bundle/ab", b"\x00bytes")
    assert store.objects.get("bundle/ab") == b"\x00bytes"


def test_a_missing_object_is_not_an_outage(store):
    with pytest.raises(ObjectMissing):
        store.objects.get("bundle/none")


@pytest.mark.parametrize("fault", ["down", "fail"])
def test_objects_under_a_fault_say_unavailable(store, fault):
    """An outage must not look like a bundle that was never rolled."""
    store.objects.put("bundle/ab", b"1")
    store.board.set("objects", fault)
    with pytest.raises(ObjectsUnavailable):
        store.objects.get("bundle/ab")
    with pytest.raises(ObjectsUnavailable):
        store.objects.put("bundle/cd", b"1")
    assert list(store.platform.objects.objects) == ["bundle/ab"]


def test_a_frozen_object_store_is_given_up_over_http(server):
    """A frozen store must not hold a process's thread for ever."""
    store = Store("over HTTP", server)
    store.board.set("objects", "freeze")
    with pytest.raises(ObjectsUnavailable):
        store.objects.get("bundle/ab")
    store.close()
