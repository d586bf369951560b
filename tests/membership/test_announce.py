import socket
from concurrent.futures import ThreadPoolExecutor

from papayapick.bundle.heads import Head
from papayapick.membership.commands import announce_head
from papayapick.platforms.hosts import HostEntry
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
        heard.append((peer.host, payload.bundle_sequence, payload.bundle_digest))
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
    assert heard == [("operator ana", 7, "digest")] * 2


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
