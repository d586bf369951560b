"""Calls share the open connections to a server that accepts no more of them."""

import concurrent.futures
import threading

import pytest

from papayapick.clients.connections import Connections
from papayapick.clients.exceptions import AnswerMissing, NotSent
from papayapick.clients.http import HttpPool
from papayapick.clock import ManualClock
from tests.standins.full_worker import FullWorker, wait_until

CALL_SECONDS = 5.0
THREADS = 12
# After which a server that refused a connection is tried again.
REFUSAL_SECONDS = 1.0
# The reset arrives while the connection is being opened, or after that.
REFUSED = (AnswerMissing, NotSent)


@pytest.fixture
def server():
    server = FullWorker(accepts=1)
    yield server
    server.close()


def make_pool(shares_refused=True, **options):
    connections = Connections(shares_refused=shares_refused, **options)
    return HttpPool(CALL_SECONDS, connections=connections)


def url_of(server):
    return f"http://{server.address}/"


def call_many(pool, server, **options):
    """Make calls at once; return their answers or errors."""

    def call(number):
        try:
            return pool.request("GET", url_of(server), **options).status
        except (AnswerMissing, NotSent) as error:
            return type(error)

    with concurrent.futures.ThreadPoolExecutor(THREADS) as executor:
        return list(executor.map(call, range(THREADS)))


def test_calls_wait_for_the_connections_that_may_be_open(server):
    """Guards against bursts of orders that use up the connections of a worker."""
    server.accepts = 64
    pool = make_pool(max_open=3)
    assert call_many(pool, server) == [200] * THREADS
    assert pool.connections.most_open() <= 3
    assert server.refused == 0


def test_calls_go_on_over_a_connection_that_works(server):
    """Guards against orders that are reset for good beside polls that are answered."""
    pool = make_pool()
    pool.request("GET", url_of(server))
    server.may_answer.clear()
    poll = threading.Thread(target=pool.request, args=("GET", url_of(server)))
    poll.start()
    assert wait_until(lambda: pool.connections.idle_count == 0)
    with pytest.raises(REFUSED):
        pool.request("GET", url_of(server))
    assert pool.connections.is_refused(server.address)
    server.may_answer.set()
    poll.join()
    assert call_many(pool, server) == [200] * THREADS
    assert server.refused == 1


def test_repeatable_call_finds_out_that_connections_are_accepted_again(server):
    """Guards against a worker that is called over one connection for ever."""
    clock = ManualClock()
    pool = make_pool(clock=clock)
    pool.request("GET", url_of(server))
    with pytest.raises(REFUSED):
        pool.request("GET", url_of(server), fresh=True)
    assert pool.request("GET", url_of(server), is_repeatable=True).status == 200
    assert server.refused == 1
    clock.advance(REFUSAL_SECONDS)
    assert pool.request("GET", url_of(server), is_repeatable=True).status == 200
    assert pool.connections.is_refused(server.address)
    assert server.refused == 2
    server.accepts = 2
    clock.advance(REFUSAL_SECONDS)
    assert pool.request("GET", url_of(server)).status == 200
    assert pool.connections.open_count(server.address) == 1
    assert pool.request("GET", url_of(server), is_repeatable=True).status == 200
    assert not pool.connections.is_refused(server.address)


def test_call_that_finds_no_free_connection_is_not_sent(server):
    """Guards against orders that are sent too late to be answered in time.

    Such an order may be carried out though it was given up.
    """
    pool = make_pool(max_open=1)
    server.may_answer.clear()
    poll = threading.Thread(target=pool.request, args=("GET", url_of(server)))
    poll.start()
    assert wait_until(lambda: pool.connections.most_open() == 1)
    with pytest.raises(NotSent):
        pool.request("GET", url_of(server), timeout=0.1)
    server.may_answer.set()
    poll.join()
    assert pool.request("GET", url_of(server)).status == 200


def test_call_that_waits_may_open_a_connection_when_one_ends(server):
    """Guards against calls that wait for a connection that has ended."""
    server.accepts = 64
    pool = make_pool(max_open=1)
    server.may_answer.clear()
    with concurrent.futures.ThreadPoolExecutor() as executor:
        first = executor.submit(pool.request, "GET", url_of(server), timeout=1.0)
        assert wait_until(lambda: pool.connections.most_open() == 1)
        second = executor.submit(pool.request, "GET", url_of(server))
        assert isinstance(first.exception(), AnswerMissing)
        server.may_answer.set()
        assert second.result().status == 200


def test_only_as_many_idle_connections_stay_as_the_call_allows(server):
    """Guards against idle connections that stay at a worker when a host loses power."""
    server.accepts = 64
    pool = make_pool()
    call_many(pool, server)
    pool.request("GET", url_of(server), keep_idle=lambda: 2)
    assert pool.connections.idle_count == 2
    pool.request("GET", url_of(server), keep_idle=lambda: 0)
    assert pool.connections.idle_count == 0
    assert wait_until(lambda: not server.open)


def test_server_without_a_limit_gets_new_connections_after_a_reset(server):
    """Guards against calls of the store that wait for one that waits for changes.

    A store that was away may have reset a new connection, and answers again.
    """
    pool = make_pool(shares_refused=False)
    pool.request("GET", url_of(server))
    server.may_answer.clear()
    follow = threading.Thread(target=pool.request, args=("GET", url_of(server)))
    follow.start()
    assert wait_until(lambda: pool.connections.idle_count == 0)
    with pytest.raises(REFUSED):
        pool.request("GET", url_of(server))
    server.accepts = 2
    with concurrent.futures.ThreadPoolExecutor() as executor:
        call = executor.submit(pool.request, "GET", url_of(server))
        assert wait_until(lambda: len(server.open) == 2)
        server.may_answer.set()
        assert call.result().status == 200
    follow.join()
