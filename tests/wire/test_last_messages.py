"""Whole messages that a peer sent before it ended are read, whatever follows them."""

import select
import socket
from concurrent.futures import Future, ThreadPoolExecutor

import pytest

from papayapick.wire import Connection, PeerClient, PeerDisconnected
from papayapick.wire.messages import Acknowledgement, WorkQuery
from tests.clients.servers import close_with_reset
from tests.wire.connections import KEY, WAIT_SECONDS, identity, serving

QUERY = WorkQuery(shard="hobart-a.0", request_id="r1")
ANSWER = Acknowledgement(bundle_sequence=9)


class LateExecutor:
    """Run what was submitted only when told to, as a thread that runs late."""

    def __init__(self):
        self._submitted = []

    def submit(self, step, *args):
        self._submitted.append((step, args))

    def run(self):
        for step, args in self._submitted:
            step(*args)


@pytest.fixture
def executor():
    with ThreadPoolExecutor(1) as pool:
        yield pool


def _wait_for_reset(sock):
    poller = select.poll()
    poller.register(sock, select.POLLERR)
    assert poller.poll(1000 * WAIT_SECONDS), "the peer did not reset"


class LastAnswer:
    """Accept a connection, answer one call, and reset the connection."""

    def __init__(self, listener):
        self._listener = listener

    def serve(self):
        sock, _ = self._listener.accept()
        connection = Connection(sock, KEY, identity())
        connection.accept_handshake()
        identifier, _, _ = connection.receive()
        connection.send(identifier, ANSWER)
        close_with_reset(sock)


def test_answer_that_arrived_is_read_although_a_later_call_cannot_be_sent(executor):
    """Guards against answers that are thrown away as their peer ends."""
    with socket.create_server(("127.0.0.1", 0)) as listener:
        served = executor.submit(LastAnswer(listener).serve)
        late = LateExecutor()
        client = PeerClient(listener.getsockname(), KEY, identity("caller"), late)
        answered = client.call(QUERY)
        served.result(WAIT_SECONDS)
        _wait_for_reset(client._connection._socket)
        lost = client.call(QUERY)
        with pytest.raises(PeerDisconnected):
            lost.result(0)
        assert not client.is_connected
        late.run()
        assert answered.result(0).bundle_sequence == 9


def test_message_is_handled_although_an_earlier_one_cannot_be_answered(executor):
    """Guards against the last message of a peer that ends, thrown away unread."""
    reached, gate, ended = Future(), Future(), Future()

    def answer(payload):
        if not reached.done():
            reached.set_result(None)
            gate.result(WAIT_SECONDS)
        return ANSWER

    with serving(handler=answer, on_disconnect=ended.set_result) as (server, received):
        sock = socket.create_connection(server.address)
        caller = Connection(sock, KEY, identity("caller"))
        caller.initiate_handshake()
        caller.send(1, QUERY)
        reached.result(WAIT_SECONDS)
        caller.send(0, QUERY)
        caller.send(0, QUERY)
        close_with_reset(sock)
        (connection,) = server._connections
        _wait_for_reset(connection._socket)
        gate.set_result(None)
        ended.result(WAIT_SECONDS)
        assert len(received) == 3
