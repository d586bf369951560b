"""Know the other entry hosts, and ask them for advice."""

import threading

from papayapick.clients.exceptions import ConditionFailed, TableUnavailable
from papayapick.clients.rows import Expectation, RowWrite
from papayapick.entry.events import HOST_FORGOTTEN, HOST_KEPT, OWNERSHIP_UNSAID
from papayapick.ownership.pools import CELL_TABLE
from papayapick.wire import PeerClient
from papayapick.wire.exceptions import WireError
from papayapick.wire.messages import (
    AdviceQuery,
    OwnerQuery,
)

__all__ = ["HOSTS_PARTITION", "Peer", "Peers"]

HOSTS_PARTITION = "hosts"
_CONNECT_SECONDS = 0.4
_QUERY_SECONDS = 0.2
_QUERY_TRIES = 2
# A host that answered so lately is asked for advice.
_LIVE_SECONDS = 0.8


class Peer:
    """Hold one other entry host.

    Parameters
    ----------
    name, zone, region : str
    address : tuple of (str, int)
    client : PeerClient
    processors : float
        Cores that the host has.
    version : int
        Of the row that names it.
    """

    __slots__ = (
        "address",
        "advice_failed_at",
        "pending_advice_seconds",
        "answered_at",
        "client",
        "failed_at",
        "name",
        "processors",
        "region",
        "store_age",
        "version",
        "zone",
    )

    def __init__(self, name, address, zone, region, client, processors=1.0, version=0):
        self.name = name
        self.version = version
        self.processors = processors
        self.address = address
        self.zone = zone
        self.region = region
        self.client = client
        self.answered_at = 0.0
        self.failed_at = float("-inf")
        # When it last could not be reached for advice.
        self.advice_failed_at = float("-inf")
        # Seconds since the store last answered it, as it said.
        self.store_age = float("inf")
        # What the calls of the advice service that it was given still take.
        self.pending_advice_seconds = 0.0


class Peers:
    """Hold the other hosts by name, from their rows in the store.

    Parameters
    ----------
    host : EntryHost
    cell_key : CellKeys
    identity : Hello
    executor : concurrent.futures.Executor
    """

    __slots__ = ("_cell_key", "_executor", "_host", "_identity", "_lock", "_peers")

    def __init__(self, host, cell_key, identity, executor):
        self._host = host
        self._cell_key = cell_key
        self._identity = identity
        self._executor = executor
        self._peers = {}
        self._lock = threading.Lock()

    def all(self):
        """Return the other hosts, as a list."""
        with self._lock:
            return list(self._peers.values())

    def live(self):
        """Return those that have answered lately."""
        now = self._host.clock.monotonic()
        return [peer for peer in self.all() if now - peer.answered_at < _LIVE_SECONDS]

    def note_row(self, row):
        """Take in the row of a host.

        Parameters
        ----------
        row : StoredRow
        """
        if row.key == self._identity.host:
            return
        with self._lock:
            known = self._peers.pop(row.key, None)
            if row.value is not None:
                address = (row.value["address"], row.value["port"])
                if known is not None and known.address == address:
                    known.version = row.version
                    self._peers[row.key] = known
                    return
                self._peers[row.key] = self._peer(row, address)
        if known is not None:
            known.client.close()

    def remove_row(self, peer):
        """Remove the row of a host that was silent for long.

        Hosts are replaced for good by the dozen a day; each row that stayed had every
        owner keep a task and try to connect for ever. A host that was only cut off
        sees that its row is gone, and registers again.
        """
        expectation = Expectation(CELL_TABLE, HOSTS_PARTITION, peer.name, peer.version)
        write = RowWrite(CELL_TABLE, HOSTS_PARTITION, peer.name, None)
        try:
            self._host.store.transact([expectation], [write])
        except (ConditionFailed, TableUnavailable) as error:
            HOST_KEPT.write(peer=peer.name, error=str(error))
            return
        HOST_FORGOTTEN.write(peer=peer.name)

    def _peer(self, row, address):
        client = PeerClient(
            address, self._cell_key, self._identity, self._executor, _CONNECT_SECONDS
        )
        return Peer(
            row.key,
            address,
            row.value["zone"],
            row.value["region"],
            client,
            row.value.get("processors", 1.0),
            row.version,
        )

    def owned_epoch(self, peer, pool):
        """Return the epoch under which a host owns a pool now; 0 for none."""
        for _ in range(_QUERY_TRIES):
            try:
                return peer.client.ask(OwnerQuery(pool=pool), _QUERY_SECONDS).epoch
            except WireError as error:
                # A kept connection may be of an earlier life of that host.
                OWNERSHIP_UNSAID.write(peer=peer.name, pool=pool, error=str(error))
        return 0

    def ask_advice(self, peer, key, workers, expected_seconds):
        """Return a future of the reply of one host."""
        query = AdviceQuery(
            step=str(key),
            workers=workers,
            expected_milliseconds=int(expected_seconds * 1000),
        )
        return peer.client.call(query)
