"""Keep track of the other entry hosts and send them queries."""

import threading

from papayapick.clients.exceptions import ConditionFailed, TableUnavailable
from papayapick.clients.rows import Expectation, RowWrite
from papayapick.entry.cell.beat_senders import beat_seconds
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
_CONNECT_TIMEOUT_SECONDS = 0.4
_QUERY_ATTEMPTS = 2
# A host counts as live for this long after an answer.
_LIVE_WINDOW_SECONDS = 0.8


class Peer:
    """Hold what is known about one other entry host.

    Parameters
    ----------
    name, zone, region : str
    address : tuple of (str, int)
    client : PeerClient
    processors : float
        Cores that the host has.
    version : int
        Version of its row in the store.
    """

    __slots__ = (
        "address",
        "advice_failed_at",
        "pending_advice_seconds",
        "answered_at",
        "client",
        "configuration_failed_at",
        "name",
        "processors",
        "region",
        "relay_failed_at",
        "state_relay_failed_at",
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
        # Time at which a store call relayed through it last failed.
        self.relay_failed_at = float("-inf")
        # Time at which it last failed to pass job states on to the hosts of its zone.
        self.state_relay_failed_at = float("-inf")
        # Time at which it last failed to send rows of the operator.
        self.configuration_failed_at = float("-inf")
        # Time at which an advice query to it last failed.
        self.advice_failed_at = float("-inf")
        # Seconds since the store last answered that host, as it reported.
        self.store_age = float("inf")
        # Time that the advice queries already assigned to it still take.
        self.pending_advice_seconds = 0.0


class Peers:
    """Hold the other hosts by name, as read from their rows in the store.

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

    @property
    def count(self):
        """Return the number of other hosts."""
        return len(self._peers)

    def all(self):
        """Return the other hosts, as a list."""
        with self._lock:
            return list(self._peers.values())

    def get(self, name):
        """Return the other host with a name, or None."""
        with self._lock:
            return self._peers.get(name)

    def live(self):
        """Return the hosts that have answered recently, as a list."""
        now = self._host.clock.monotonic()
        return [
            peer for peer in self.all() if now - peer.answered_at < _LIVE_WINDOW_SECONDS
        ]

    def note_row(self, row):
        """Add, update or remove a host by its row in the store.

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
                self._peers[row.key] = self._create_peer(row, address)
        if known is not None:
            known.client.close()

    def remove_row(self, peer):
        """Remove the row of a host that has not answered for a long time.

        Dozens of hosts a day are replaced permanently. For each row left behind, every
        owner would keep a task and try to connect for ever. A host that was only
        partitioned reads that its row is gone and registers again.
        """
        expectation = Expectation(CELL_TABLE, HOSTS_PARTITION, peer.name, peer.version)
        write = RowWrite(CELL_TABLE, HOSTS_PARTITION, peer.name, None)
        try:
            self._host.store.transact([expectation], [write])
        except (ConditionFailed, TableUnavailable) as error:
            HOST_KEPT.write(peer=peer.name, error=str(error))
            return
        HOST_FORGOTTEN.write(peer=peer.name)

    def _create_peer(self, row, address):
        client = PeerClient(
            address,
            self._cell_key,
            self._identity,
            self._executor,
            _CONNECT_TIMEOUT_SECONDS,
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
        """Return the epoch under which a host owns a pool, or 0 if it does not.

        Hundreds of hosts may ask a new owner at the same moment, so they wait longer
        for its answer, as they do for its heartbeats.
        """
        seconds = beat_seconds(self.count)
        for _ in range(_QUERY_ATTEMPTS):
            try:
                return peer.client.ask(OwnerQuery(pool=pool), seconds).epoch
            except WireError as error:
                # An open connection may be to an earlier process of that host.
                OWNERSHIP_UNSAID.write(peer=peer.name, pool=pool, error=str(error))
        return 0

    def ask_advice(self, peer, key, workers, expected_seconds):
        """Return a future of one host's reply to an advice query."""
        query = AdviceQuery(
            step=str(key),
            workers=workers,
            expected_milliseconds=int(expected_seconds * 1000),
        )
        return peer.client.call(query)
