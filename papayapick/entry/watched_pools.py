"""Find the pools that need an owner, also those that no queue uses any more."""

import threading

from papayapick.clients.exceptions import TableUnavailable
from papayapick.entry.candidacy import Candidacy
from papayapick.entry.events import (
    FORMER_POOLS_FOUND,
    FORMER_POOLS_UNREAD,
    OWNER_UNCONFIRMED,
)
from papayapick.entry.exceptions import CountUnknown
from papayapick.ownership.pools import read_pool
from papayapick.pool.records.journal import JOBS_TABLE
from papayapick.pool.records.partitions import pool_of_partition

__all__ = ["WatchedPools"]

_RETRY_SECONDS = 0.5
# A host that has an older configuration may still store jobs in a former pool after
# this host has looked for them.
_LATE_JOBS_SECONDS = 15.0
# Upper bound of the delay by which this loop ends when the process stops.
_CHECK_SECONDS = 1.0


class WatchedPools:
    """Watch the pools of all configurations, and those that hold stored jobs.

    Guards against accepted jobs that nobody runs: once all processes have started
    anew, none has seen the configuration whose queues used these jobs' pool.

    Parameters
    ----------
    host : EntryHost
    candidacies : dict of str to Candidacy
        By pool; each watched pool is added.
    run_loop : callable
        Runs a named step in the background until the process stops.
    """

    __slots__ = (
        "_candidacies",
        "_has_looked",
        "_host",
        "_lock",
        "_run_loop",
        "_wakeup",
    )

    def __init__(self, host, candidacies, run_loop):
        self._host = host
        self._candidacies = candidacies
        self._run_loop = run_loop
        self._lock = threading.Lock()
        # Whether the pools that hold stored jobs have been looked for.
        self._has_looked = False
        self._wakeup = threading.Event()

    @property
    def has_looked(self):
        """Return whether the pools that hold stored jobs have been looked for."""
        return self._has_looked

    @property
    def pools(self):
        """Return the names of the watched pools, each of which gets an owner."""
        return set(self._candidacies)

    def watch(self, pools):
        """Watch pools from now on, until the process stops.

        Parameters
        ----------
        pools : iterable of str
        """
        for pool in pools:
            with self._lock:
                if pool in self._candidacies:
                    continue
                candidacy = Candidacy(self._host, pool)
                self._candidacies[pool] = candidacy
            self._run_loop(pool, candidacy.run)

    def verify_ownership(self, owner):
        """Read whether this host still owns a pool.

        Parameters
        ----------
        owner : PoolOwner
        """
        asked_at = self._host.clock.monotonic()
        try:
            row = read_pool(self._host.store, owner.pool)
        except TableUnavailable as error:
            OWNER_UNCONFIRMED.write(
                pool=owner.pool, epoch=owner.row.epoch, error=str(error)
            )
            return
        if row.version == owner.row.version:
            owner.ownership_status.note_confirmed(asked_at)
        else:
            self._candidacies[owner.pool].note_row(row)

    def former_pools(self, queue):
        """Return the pools other than its own that may hold jobs of a queue.

        A pool that holds no stored jobs is not watched, unless a configuration uses it
        or has used it lately, and may have no owner.

        Parameters
        ----------
        queue : Queue

        Raises
        ------
        CountUnknown
            This host has not read yet which pools a queue has had, or which of them
            hold jobs.
        """
        queue_pools = self._host.queue_pools
        others = queue_pools.known_others(queue.name, queue.pool)
        if not queue_pools.is_complete or (others and not self._has_looked):
            raise CountUnknown(pool=queue.pool, age_seconds=None)
        return [pool for pool in others if pool in self._candidacies]

    def look_again(self):
        """Look for stored jobs once more, as changes may have been missed."""
        self._wakeup.set()

    def run(self):
        """Look for stored jobs at the start and whenever it is asked for."""
        host = self._host
        is_first = True
        while not host.stopping.is_set():
            self._wakeup.clear()
            if not self._find_pools():
                host.clock.wait(host.stopping, _RETRY_SECONDS)
                continue
            if is_first:
                is_first = False
                host.clock.wait(host.stopping, _LATE_JOBS_SECONDS)
                continue
            while not (self._wakeup.is_set() or host.stopping.is_set()):
                host.clock.wait(self._wakeup, _CHECK_SECONDS)

    def _find_pools(self):
        """Watch the pools that hold jobs; return whether the store has named them."""
        try:
            partitions = self._host.store.partitions(JOBS_TABLE)
        except TableUnavailable as error:
            FORMER_POOLS_UNREAD.write(error=str(error))
            return False
        pools = {pool_of_partition(partition) for partition in partitions}
        self._has_looked = True
        found = sorted(pool for pool in pools if pool not in self._candidacies)
        if found:
            FORMER_POOLS_FOUND.write(pools=found)
            self.watch(found)
        return True
