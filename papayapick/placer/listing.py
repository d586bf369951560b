"""Group the hosts of the live host list by shard, once per list version."""

import threading

from papayapick.clients.hosts import INSTANCE_KIND, WORKER_KIND
from papayapick.ledger import Amounts
from papayapick.ownership import shard_of

__all__ = ["HostListing"]


class HostListing:
    """Look up the hosts of a shard and the capacities of the workers.

    The live host list has an entry for each worker and instance of the cell.
    Scanning it for each shard at each refresh would cost more than the rest of
    the refresh, so the entries are grouped once when a list is first seen. The
    current list is recognized by object identity, since a list that has not
    changed stays the same object.
    """

    __slots__ = ("_by_shard", "_capacities", "_shards_per_zone", "_entries", "_lock")

    def __init__(self):
        self._entries = None
        self._shards_per_zone = 0
        self._by_shard = {}
        self._capacities = frozenset()
        self._lock = threading.Lock()

    def of_shard(self, shard, entries, shards_per_zone):
        """Return the entries of the workers and instances of a shard.

        Parameters
        ----------
        shard : str
        entries : sequence of HostEntry
        shards_per_zone : int

        Returns
        -------
        list of HostEntry
        """
        with self._lock:
            self._update(entries, shards_per_zone)
            return self._by_shard.get(shard, [])

    def could_hold(self, demand, entries, shards_per_zone):
        """Return whether a demand fits any worker of the cell when it is idle.

        Parameters
        ----------
        demand : Amounts
        entries : sequence of HostEntry
        shards_per_zone : int
        """
        with self._lock:
            self._update(entries, shards_per_zone)
            # A cell has workers of few sizes, so this set is small.
            return any(demand.fits_in(capacity) for capacity in self._capacities)

    def _update(self, entries, shards_per_zone):
        if entries is self._entries and shards_per_zone == self._shards_per_zone:
            return
        by_shard = {}
        capacities = set()
        for entry in entries:
            if entry.kind not in (WORKER_KIND, INSTANCE_KIND):
                continue
            worker = entry.worker or entry.name
            shard = shard_of(worker, entry.zone, shards_per_zone)
            by_shard.setdefault(shard, []).append(entry)
            if entry.kind == WORKER_KIND:
                capacities.add(Amounts.from_mapping(entry.capacity))
        self._by_shard = by_shard
        self._capacities = frozenset(capacities)
        self._entries, self._shards_per_zone = entries, shards_per_zone
