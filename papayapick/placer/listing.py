"""Group the hosts of the live list by shard, once for each list."""

import threading

from papayapick.clients.hosts import INSTANCE, WORKER
from papayapick.ledger import Amounts
from papayapick.ownership import shard_of

__all__ = ["HostListing"]


class HostListing:
    """Give the hosts of a shard, and what the largest workers hold.

    A list has an entry for each worker and instance of the cell. Going through
    it for each shard at each look costs more than all else a look does; so it
    is done when a list is seen first. The list read last is known by its
    identity: a list that has not changed stays the same object.
    """

    __slots__ = ("_by_shard", "_capacities", "_count", "_entries", "_lock")

    def __init__(self):
        self._entries = None
        self._count = 0
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
            self._use(entries, shards_per_zone)
            return self._by_shard.get(shard, [])

    def could_hold(self, demand, entries, shards_per_zone):
        """Return whether any worker of the cell could hold a demand if empty.

        Parameters
        ----------
        demand : Amounts
        entries : sequence of HostEntry
        shards_per_zone : int
        """
        with self._lock:
            self._use(entries, shards_per_zone)
            # Workers are bought in a few sizes, so this set is small.
            return any(demand.fits_in(capacity) for capacity in self._capacities)

    def _use(self, entries, shards_per_zone):
        if entries is self._entries and shards_per_zone == self._count:
            return
        by_shard = {}
        capacities = set()
        for entry in entries:
            if entry.kind not in (WORKER, INSTANCE):
                continue
            worker = entry.worker or entry.name
            shard = shard_of(worker, entry.zone, shards_per_zone)
            by_shard.setdefault(shard, []).append(entry)
            if entry.kind == WORKER:
                capacities.add(Amounts.from_mapping(entry.capacity))
        self._by_shard = by_shard
        self._capacities = frozenset(capacities)
        self._entries, self._count = entries, shards_per_zone
