"""The listener serves peers with the key, and no stranger holds it up."""

import socket
from concurrent.futures import ThreadPoolExecutor

import pytest

from papayapick.wire import PeerClient, PeerRefused, PeerUnreachable
from papayapick.wire import server as wire_server
from papayapick.wire.exceptions import PeerNotListening
from papayapick.wire.messages import WorkQuery
from tests.wire.links import WAIT_SECONDS, identity, is_closed_by_peer, serving

QUERY = WorkQuery(shard="hobart-a.0", request_id="r1")


@pytest.fixture
def executor():
    with ThreadPoolExecutor(4) as found:
        yield found


def _ask(server, key, executor):
    client = PeerClient(server.address, key, identity("caller"), executor)
    try:
        return client.ask(QUERY, WAIT_SECONDS)
    finally:
        client.close()


def test_peer_without_the_key_places_nothing(executor):
    with serving() as (server, seen):
        with pytest.raises(PeerUnreachable):
            _ask(server, b"x" * 32, executor)
        assert seen == []


def test_stranger_that_speaks_http_is_cut_off():
    with serving() as (server, seen):
        with socket.create_connection(server.address) as stranger:
            stranger.sendall(b"GET / HTTP/1.1\r\nHost: x\r\n\r\n")
            assert is_closed_by_peer(stranger)
        assert seen == []


def test_silent_strangers_leave_tasks_for_peers(executor, monkeypatch):
    """
    Gateways get no slots: every placer counts as dead while it runs.
    Order: hundreds of silent connections come; each takes a task for as long
    as a greeting may take; a real peer's connection finds none.
    Cause: no bound on strangers that are being greeted.
    """
    monkeypatch.setattr(wire_server, "_GREETINGS_AT_ONCE", 2)
    monkeypatch.setattr(wire_server, "_GREETING_SECONDS", 3600.0)
    with serving(tasks=4) as (server, _):
        strangers = [socket.create_connection(server.address) for _ in range(6)]
        refused = [one for one in strangers[2:] if is_closed_by_peer(one)]
        assert len(refused) == 4
        for stranger in strangers:
            stranger.close()
        # The two that were let in are gone; a peer finds room again.
        answer = None
        while answer is None:
            try:
                answer = _ask(server, b"k" * 32, executor)
            except PeerUnreachable:
                continue
        assert answer.bundle_sequence == 7


def test_handler_fault_is_a_typed_refusal(executor):
    def fail(payload):
        raise ZeroDivisionError("secret of the handler")

    with serving(handler=fail) as (server, _):
        with pytest.raises(PeerRefused) as caught:
            _ask(server, b"k" * 32, executor)
    assert caught.value.outcome == "unknown"
    assert "secret" not in str(caught.value)


def test_address_where_no_process_listens_is_told_apart(executor):
    """Guards against an ended process that is taken for one that is cut off."""
    with socket.socket() as unused:
        unused.bind(("127.0.0.1", 0))
        client = PeerClient(
            unused.getsockname(), b"k" * 32, identity("caller"), executor
        )
        with pytest.raises(PeerNotListening):
            client.call(QUERY)
