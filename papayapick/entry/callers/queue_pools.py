"""Know all pools that hold jobs of a queue, whatever pool it has now."""

import threading
from concurrent.futures import wait

from papayapick.clients.rows import Expectation, RowWrite
from papayapick.entry.callers.writers import wait_for_write
from papayapick.entry.events import QUEUE_POOL_UNRECORDED
from papayapick.entry.exceptions import NotAccepted
from papayapick.ownership.pools import CELL_TABLE

__all__ = ["QUEUES_PARTITION", "QueuePools"]

QUEUES_PARTITION = "queues"
_POOLS = "pools"
# Other hosts may add pools to the same row meanwhile.
_ATTEMPTS = 3
# Together well below the bound for a configuration change.
_RECORD_SECONDS = 0.3
_FEED_SECONDS = 0.2


class _Row:
    """Hold the pools of one queue and the version of their row, 0 without one."""

    __slots__ = ("pools", "version")

    def __init__(self):
        self.pools = []
        self.version = 0

    def add(self, pools):
        self.pools += [pool for pool in pools if pool not in self.pools]


class QueuePools:
    """Hold the rows that name the pools of each queue, and add to them.

    Guards against a job that runs twice because its request was repeated after its
    queue got another pool, and against callers who are told that it does not exist. A
    pool is in the row of a queue before the first job of the queue is stored there, so
    that a host which adds another pool learns all that may hold jobs.

    Parameters
    ----------
    store : RelayedStore
    writer : GroupWriter
    """

    __slots__ = (
        "_is_complete",
        "_lock",
        "_present",
        "_rows",
        "_seen",
        "_store",
        "_writer",
    )

    def __init__(self, store, writer):
        self._store = store
        self._writer = writer
        self._lock = threading.Lock()
        self._rows = {}
        # Pools by queue in the configurations that this process has had.
        self._seen = {}
        # Pool by queue, as last configured.
        self._present = {}
        self._is_complete = False

    @property
    def is_complete(self):
        """Return whether the rows of all queues have been read."""
        return self._is_complete

    def note_row(self, row):
        """Update the pools of a queue to its row in the store.

        Parameters
        ----------
        row : StoredRow
        """
        if row.value is None:
            return
        with self._lock:
            known = self._rows.setdefault(row.key, _Row())
            # The row of an owner, if a pool is called like this partition, has none.
            known.add(row.value.get(_POOLS, ()))
            known.version = max(known.version, row.version)

    def note_complete(self):
        """Take queues without a row for such that have no jobs from now on."""
        self._is_complete = True

    def note_configuration(self, configuration):
        """Remember the pools of the queues, also of jobs stored without a row.

        Parameters
        ----------
        configuration : CellConfiguration
        """
        with self._lock:
            for queue in configuration.queues.values():
                self._seen.setdefault(queue.name, _Row()).add([queue.pool])
                self._present[queue.name] = queue.pool

    def others(self, queue, pool):
        """Return the pools other than one that may hold jobs of a queue.

        Reads the row of the queue if this process has not read all rows yet.

        Parameters
        ----------
        queue : str
            Name of the queue.
        pool : str

        Raises
        ------
        TableUnavailable
        """
        if not self._is_complete and queue not in self._rows:
            self._read(queue)
        return self.known_others(queue, pool)

    def refreshed_others(self, queue, pool):
        """Return the same as ``others`` after reading the row of the queue anew.

        What this process knows may be as old as the longest time for which it was
        frozen, or for which the feed has brought it nothing.

        Raises
        ------
        TableUnavailable
        """
        self._read(queue)
        return self.known_others(queue, pool)

    def known_others(self, queue, pool):
        """Return the same as ``others``, as far as this process knows."""
        with self._lock:
            found = _Row()
            for rows in (self._rows, self._seen):
                found.add(rows[queue].pools if queue in rows else ())
        return [one for one in found.pools if one != pool]

    def record(self, queue, pool):
        """Add a pool to the row of a queue, unless it is there.

        Parameters
        ----------
        queue : str
            Name of the queue.
        pool : str

        Raises
        ------
        NotAccepted, AcceptanceUnknown, TableUnavailable
        """
        for _ in range(_ATTEMPTS):
            future = self._submit(queue, pool)
            if future is None:
                return
            if wait_for_write(future):
                self._note_added(queue, pool)
                return
            self._read(queue)
        raise NotAccepted(reason="other hosts change the pools of the queue")

    def prepare(self, configuration, pause):
        """Tell all hosts of pools that queues get, before these come into force.

        Guards against a host with an older configuration that stores a repeated job
        again, as it does not know the pool in which another host has stored it. Queues
        without a row have no jobs, and are left out.

        Parameters
        ----------
        configuration : CellConfiguration
            The one to come into force.
        pause : callable
            Waits for the seconds that it is given.
        """
        moved = [
            queue
            for queue in configuration.queues.values()
            if self._has_moved(queue.name, queue.pool)
        ]
        futures = {queue: self._submit(queue.name, queue.pool) for queue in moved}
        futures = {queue: one for queue, one in futures.items() if one is not None}
        wait(futures.values(), _RECORD_SECONDS)
        for queue, future in futures.items():
            self._note_outcome(queue, future)
        if moved:
            pause(_FEED_SECONDS)

    def _note_outcome(self, queue, future):
        error = future.exception() if future.done() else "no answer in time"
        if error is not None:
            # The pool is added with the queue's first job there.
            QUEUE_POOL_UNRECORDED.write(
                queue=queue.name, pool=queue.pool, error=str(error)
            )
        elif future.result():
            self._note_added(queue.name, queue.pool)

    def _has_moved(self, queue, pool):
        with self._lock:
            known = self._rows.get(queue)
            present = self._present.get(queue, pool)
        return known is not None and bool(known.pools) and present != pool

    def _submit(self, queue, pool):
        """Return a future of the write that adds a pool; None if none is needed."""
        with self._lock:
            known = self._rows.setdefault(queue, _Row())
            if pool in known.pools:
                return None
            pools, version = [*known.pools, pool], known.version
        place = (CELL_TABLE, QUEUES_PARTITION, queue)
        return self._writer.submit(
            Expectation(*place, version), RowWrite(*place, {_POOLS: pools})
        )

    def _note_added(self, queue, pool):
        with self._lock:
            self._rows[queue].add([pool])

    def _read(self, queue):
        for row in self._store.read(CELL_TABLE, QUEUES_PARTITION, queue, "", 1):
            if row.key == queue:
                self.note_row(row)
