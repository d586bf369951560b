"""Connections to workers: counted, logged if refused, and few after losses of power."""

import concurrent.futures
import logging
import socket
import threading
from types import SimpleNamespace

import pytest

from papayapick.clients.connections import Connections, _Address
from papayapick.clients.exceptions import AnswerMissing, NotSent
from papayapick.clients.http import HttpPool
from papayapick.jobs.documents import TaskKey
from papayapick.ledger.amounts import Amounts
from papayapick.ownership.pools import PoolRow
from papayapick.platform import workers as workers_module
from papayapick.platform.configuration import decode_configuration
from papayapick.platform.workers import WorkerClient
from papayapick.pool.metrics import WORKER_CONNECTIONS
from papayapick.pool.workers.connections import (
    IdleAllowance,
    WorkerConnectionMonitor,
    worker_pool,
)
from papayapick.pool.workers.reports import Registration, StartOutcome
from tests.pool.owners import owner_of, register
from tests.pool.standins import Host
from tests.standins.full_worker import FullWorker, reset_on_close, wait_until

ACCEPTED = 64
# Ten times as many as one worker accepts connections.
LOSSES = 640
ORDERS = 12
MOST_OPEN = 8
PATIENCE_SECONDS = 60.0


@pytest.fixture(autouse=True)
def patient_calls(monkeypatch):
    """Let no call be given up as the machine is busy."""
    for name in ("_ORDER_SECONDS", "_POLL_SLACK_SECONDS"):
        monkeypatch.setattr(workers_module, name, PATIENCE_SECONDS)


@pytest.fixture
def worker():
    worker = FullWorker(accepts=1)
    yield worker
    worker.close()


@pytest.fixture
def pool():
    pool = HttpPool(5.0, connections=Connections(monitor=WorkerConnectionMonitor()))
    yield pool
    pool.close()


def count(outcome):
    return WORKER_CONNECTIONS.labels(outcome)._value.get()


def test_refused_connection_is_counted_and_logged(worker, pool, caplog):
    """Guards against a worker whose orders are all reset, of which no line tells."""
    caplog.set_level(logging.INFO)
    url = f"http://{worker.address}/"
    before = {name: count(name) for name in ("opened", "closed", "refused")}
    assert pool.request("GET", url).status == 200
    with pytest.raises((AnswerMissing, NotSent)):
        pool.request("GET", url, fresh=True)
    changes = {name: count(name) - number for name, number in before.items()}
    # The reset may arrive while the second one is being opened.
    assert changes["opened"] - changes["closed"] == 1
    assert changes["refused"] == 1
    assert pool.connections.most_open() == 1
    lines = [one for one in caplog.records if "refused" in one.getMessage()]
    assert [one.fields["is_open"] for one in lines] == [1]
    assert lines[0].fields["address"] == worker.address


def test_connection_that_ends_later_does_not_count_as_refused(worker, pool):
    """Guards against crashes of workers that are counted as refusals."""
    worker.accepts = 2
    url = f"http://{worker.address}/"
    before = count("refused")
    pool.request("GET", url)
    for sock in list(worker.open):
        reset_on_close(sock)
        sock.shutdown(socket.SHUT_RDWR)
    pool.request("GET", url)
    assert count("refused") == before


class Owner:
    """An owner of the worker's pool that gives orders, until its host loses power.

    Parameters
    ----------
    worker : FullWorker
    row : PoolRow
    born : int, optional
        Start of the worker's process in Unix milliseconds.
    """

    def __init__(self, worker, row, born=None):
        self.row = row
        self.host = SimpleNamespace(configuration=SimpleNamespace(current=None))
        self.is_stopped = False
        self.pool = worker_pool(SimpleNamespace(descriptor_limit=4100))
        registration = Registration(
            "w1", "pool", worker.address, "zone", Amounts(1000, 1000), born=born
        )
        allowance = IdleAllowance(self, registration)
        self._client = WorkerClient("w1", worker.address, self.pool, allowance)

    def poll(self):
        return self._client.renew(self.row.epoch, 0)

    def order(self, executor):
        """Start tasks at once; return the outcomes."""

        def start(index):
            run = SimpleNamespace(key=TaskKey("j", 0, 0, index), attempt=1)
            return self._client.start(run, "", 1.0, self.row.epoch)

        return list(executor.map(start, range(ORDERS)))

    def successor_row(self, at):
        """Return the row of the next owner, which took the pool from a lost one."""
        lost = self.row.with_loss(at)
        return PoolRow("pool", "h", self.row.epoch + 1, "a:1", 1, lost.losses)


def test_worker_accepts_orders_after_any_number_of_losses_of_power(worker):
    """Guards against owners that lose power and leave a worker without connections.

    An idle connection of a host without power stays at the worker for good.
    """
    worker.accepts = ACCEPTED
    row = PoolRow("pool", "h", 1, "a:1", 1)
    lost = []
    with concurrent.futures.ThreadPoolExecutor(ORDERS) as executor:
        for at in range(LOSSES):
            owner = Owner(worker, row)
            owner.poll()
            assert set(owner.order(executor)) == {StartOutcome.STARTED}
            owner.poll()
            # The next poll is in progress when the power is lost, so that the worker
            # notices that by its answer.
            _end_one_connection(owner.pool)
            lost.append(owner)
            row = owner.successor_row(float(at))
    assert worker.refused == 0
    assert sum(one.pool.connections.idle_count for one in lost) <= ACCEPTED // 2
    for one in lost:
        one.pool.close()


def _end_one_connection(pool):
    (address,) = {one.address for one in pool.connections._order}
    limit = SimpleNamespace(remaining=lambda: 1.0)
    pool.connections.discard(pool.connections.lend(address, limit))


def test_idle_connections_are_kept_while_few_owners_were_lost(worker):
    """Guards against a new connection for each order, which takes as long again."""
    worker.accepts = ACCEPTED
    owner = Owner(worker, PoolRow("pool", "h", 1, "a:1", 1))
    worker.may_answer.clear()
    with concurrent.futures.ThreadPoolExecutor(ORDERS) as executor:
        orders = threading.Thread(target=owner.order, args=(executor,))
        orders.start()
        assert wait_until(lambda: owner.pool.connections.most_open() == MOST_OPEN)
        worker.may_answer.set()
        orders.join()
    assert owner.pool.connections.idle_count == 4
    owner.pool.close()


def test_losses_before_a_worker_began_do_not_count_for_it(worker):
    """Guards against few idle connections for ever, though workers start again."""
    losses = [float(at) for at in range(20)]
    row = PoolRow("pool", "h", 1, "a:1", 1, losses)
    old, new = Owner(worker, row, born=1_000), Owner(worker, row, born=60_000)
    old_limit = old._client._allowance.after_order()
    assert (old_limit, new._client._allowance.after_order()) == (0, 4)


def test_fewer_idle_connections_are_kept_where_workers_accept_fewer():
    """Guards against a pool whose workers a single owner's idle connections fill."""
    host = Host()
    register(host, "w1")
    value = {
        "version": 1,
        "routes": [],
        "services": [{"name": "pool", "max_conns": 16}, {"name": "other"}],
        "limits": {"max_body_bytes": 1000},
    }
    host.configuration = SimpleNamespace(current=decode_configuration(value))
    owner = owner_of(host)
    allowance = IdleAllowance(owner, owner.links_by_worker["w1"].registration)
    assert (allowance.after_order(), allowance.after_poll()) == (1, 2)


@pytest.mark.parametrize("limit", [None, "", 0, -1, 16.5, True, [16]])
def test_limit_of_another_form_is_passed_over(limit):
    """Guards against a version that is refused for a field that is not needed."""
    value = {
        "version": 1,
        "routes": [],
        "services": [{"name": "pool", "max_conns": limit}],
        "limits": {"max_body_bytes": 1000},
    }
    assert decode_configuration(value).accepted_connections == {}


def test_worker_at_an_address_with_a_path_is_known_to_refuse(worker):
    """Guards against a worker that gets tasks though it refuses their orders."""
    worker.accepts = 0
    pool = worker_pool(SimpleNamespace(descriptor_limit=4100))
    client = WorkerClient("w1", f"{worker.address}/w1", pool)
    address = pool.connections._addresses[worker.address] = _Address()
    address.open_count, address.refused_at = 1, 0.0
    assert client.is_refused


def test_owner_closes_its_idle_connections_when_it_stops(worker):
    """Guards against connections of replaced owners, over which no call follows."""
    host = Host()
    owner = owner_of(host)
    host.worker_pool.request("GET", f"http://{worker.address}/")
    assert host.worker_pool.connections.idle_count == 1
    owner.stop()
    assert host.worker_pool.connections.idle_count == 0


def test_owner_that_stops_keeps_no_connection(worker):
    """Guards against connections of replaced owners, over which no call follows."""
    worker.accepts = ACCEPTED
    owner = Owner(worker, PoolRow("pool", "h", 1, "a:1", 1))
    owner.poll()
    owner.is_stopped = True
    owner.poll()
    assert owner.pool.connections.most_open() == 0
