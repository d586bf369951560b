import socket
from concurrent.futures import ThreadPoolExecutor
from types import SimpleNamespace

import pytest

from papayapick.bundle.heads import Head
from papayapick.clients.hosts import HostEntry
from papayapick.daemon import Process
from papayapick.membership.commands import announce_head
from papayapick.wire import PeerServer
from papayapick.wire.messages import Heartbeat, Hello

KEY = b"a key of the cell"
HEAD = Head(7, "digest", "ana", None, 3)


def entry(name, kind, address):
    host, port = address
    return HostEntry(name, kind, "live", f"{host}:{port}", "south-tas", "hobart-a")


def test_every_process_that_answers_is_notified_of_an_accepted_bundle():
    """The table fails right after an accept. A dead process on the list must not
    prevent the notification of the others. A worker, which is no process of the
    cell, is not contacted.
    """
    received = []

    def answer(payload, peer, traceparent):
        notified = (
            payload.bundle_sequence,
            payload.bundle_digest,
            payload.head_version,
        )
        received.append((peer.host, *notified))
        return Heartbeat(host="one")

    with ThreadPoolExecutor(8) as executor, socket.create_server(("127.0.0.1", 0)) as s:
        server = PeerServer(("127.0.0.1", 0), KEY, Hello(host="one"), answer, executor)
        server.start()
        silent = s.getsockname()
        entries = [
            entry("placer-1", "placer", server.address),
            entry("placer-2", "placer", silent),
            entry("gateway-1", "gateway", server.address),
            entry("worker-1", "worker", server.address),
        ]
        notified = announce_head(entries, HEAD, KEY, Hello(host="operator ana"), 0.2)
        server.close()
    assert notified == ["gateway-1", "placer-1"]
    assert received == [("operator ana", 7, "digest", 3)] * 2


def test_a_notification_without_the_cell_key_is_rejected():
    """A client on the network without the cell key announces another bundle."""
    received = []
    with ThreadPoolExecutor(8) as executor:
        server = PeerServer(
            ("127.0.0.1", 0),
            KEY,
            Hello(host="one"),
            lambda *message: received.append(message),
            executor,
        )
        server.start()
        entries = [entry("placer-1", "placer", server.address)]
        notified = announce_head(entries, HEAD, b"another key", Hello(host="x"), 0.2)
        server.close()
    assert (notified, received) == ([], [])


class FakeProcess:
    """Hold what Process needs to handle a heartbeat, and count the polls."""

    def __init__(self):
        self.polls = 0
        self.newest = 0
        self.watcher = SimpleNamespace(sequence=4, handle_peer_head=self.activate)
        self.peers = SimpleNamespace(note_head=self.note_head)
        self.executor = SimpleNamespace(submit=lambda task: task())

    def activate(self, head, fetch):
        self.watcher.sequence = max(self.watcher.sequence, head.sequence)

    def note_head(self, version):
        is_newer = version > self.newest
        self.newest = max(self.newest, version)
        return is_newer

    def _poll_head(self):
        self.polls += 1


@pytest.mark.parametrize(
    ("sequences", "versions", "polls"),
    [
        ((4, 4), (9, 9), 1),
        ((4, 5), (9, 9), 2),
        ((5, 5), (0, 0), 1),
        ((4, 4), (0, 0), 0),
    ],
    ids=["proposed", "proposed and accepted", "accepted", "nothing new"],
)
def test_a_process_polls_once_for_each_change(sequences, versions, polls):
    """Without a notification, processes far from the store would wait for a
    heartbeat across the link before they poll, and a roll would take four
    seconds. Notified by the operator's program, they poll immediately, but only
    once per change. Otherwise the heartbeats of all other processes would each
    cause another poll of the table.
    """
    process = FakeProcess()
    for sequence, version in zip(sequences, versions, strict=True):
        heartbeat = Heartbeat(
            host="a", bundle_sequence=sequence, bundle_digest="d", head_version=version
        )
        Process._handle_peer_heartbeat(process, heartbeat)
    assert process.polls == polls
