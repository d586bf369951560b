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


def test_every_process_that_answers_is_told_of_an_accepted_bundle():
    """The table goes down right after an accept. A dead process on the list
    must not keep the others from hearing of the bundle, and an instance, which
    is no process of the cell, is not called.
    """
    heard = []

    def answer(payload, peer, traceparent):
        told = (payload.bundle_sequence, payload.bundle_digest, payload.head_version)
        heard.append((peer.host, *told))
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
        told = announce_head(entries, HEAD, KEY, Hello(host="operator ana"), 0.2)
        server.close()
    assert told == ["gateway-1", "placer-1"]
    assert heard == [("operator ana", 7, "digest", 3)] * 2


def test_a_stranger_without_the_key_is_not_heard():
    """Somebody on the network without the cell's key names another bundle."""
    heard = []
    with ThreadPoolExecutor(8) as executor:
        server = PeerServer(
            ("127.0.0.1", 0),
            KEY,
            Hello(host="one"),
            lambda *message: heard.append(message),
            executor,
        )
        server.start()
        entries = [entry("placer-1", "placer", server.address)]
        told = announce_head(entries, HEAD, b"another key", Hello(host="x"), 0.2)
        server.close()
    assert (told, heard) == ([], [])


class Listener:
    """Hold what a process needs to hear an asker, and count its looks."""

    def __init__(self):
        self.looks = 0
        self.newest = 0
        self.watcher = SimpleNamespace(sequence=4, handle_peer_head=self.put_in_force)
        self.peers = SimpleNamespace(note_head=self.note_head)
        self.executor = SimpleNamespace(submit=lambda look: look())

    def put_in_force(self, head, fetch):
        self.watcher.sequence = max(self.watcher.sequence, head.sequence)

    def note_head(self, version):
        is_newer = version > self.newest
        self.newest = max(self.newest, version)
        return is_newer

    def _poll_head(self):
        self.looks += 1


@pytest.mark.parametrize(
    ("sequences", "versions", "looks"),
    [
        ((4, 4), (9, 9), 1),
        ((4, 5), (9, 9), 2),
        ((5, 5), (0, 0), 1),
        ((4, 4), (0, 0), 0),
    ],
    ids=["proposed", "proposed and accepted", "accepted", "nothing new"],
)
def test_a_process_looks_once_for_each_piece_of_news(sequences, versions, looks):
    """An operator's roll takes four seconds: processes far from the store wait
    for a heartbeat over the link before they look. Told by the operator's
    program they look at once; but each only once, or the heartbeats of all
    others would have the table asked again and again.
    """
    process = Listener()
    for sequence, version in zip(sequences, versions, strict=True):
        beat = Heartbeat(
            host="a", bundle_sequence=sequence, bundle_digest="d", head_version=version
        )
        Process._handle_peer_heartbeat(process, beat)
    assert process.looks == looks
