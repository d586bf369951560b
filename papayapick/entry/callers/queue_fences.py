"""Fence a queue's former pools against hosts with an older configuration."""

import threading

from papayapick.clients.rows import Expectation, RowWrite
from papayapick.entry.callers.writers import wait_for_write
from papayapick.entry.exceptions import GuardFailed, PoolOutdated

__all__ = ["FENCES_TABLE", "QueueFences"]

FENCES_TABLE = "fences"
_CONFIGURATION = "configuration"
_POOL = "pool"


class _Fence:
    """Hold the pool that a fence names, under which configuration, and its row.

    The version of the row is 0 without a fence, and None if this host has written it,
    as the store doesn't tell it then.
    """

    __slots__ = ("configuration", "pool", "row_version")

    def __init__(self, pool=None, configuration=0, row_version=0):
        self.pool = pool
        self.configuration = configuration
        self.row_version = row_version


class QueueFences:
    """Keep the fences of queues in the partitions of jobs.

    Guards against a job that is stored in two pools and runs twice. A host that was
    frozen, or gets no news, takes the pool that a queue had in an older configuration
    for the present one, for any length of time. So before a host looks for a job in
    another pool, it sets a fence there that names the queue's present pool. Storing a
    job is conditional on the fence that the host knows in its own pool, none at first:
    from then on the store refuses what a host with the older configuration writes, and
    what it wrote before is found by the look. A fence that a newer configuration has
    set is never changed, so two hosts can't take each other's pool for a former one.

    Parameters
    ----------
    store : RelayedStore
    writer : GroupWriter
    """

    __slots__ = ("_fences", "_lock", "_store", "_writer")

    def __init__(self, store, writer):
        self._store = store
        self._writer = writer
        self._lock = threading.Lock()
        self._fences = {}

    def ensure(self, queue, partition, pool, configuration):
        """Set the fence of a queue in a partition, unless it names the pool already.

        Parameters
        ----------
        queue : str
        partition : str
            Of the table of jobs.
        pool : str
            The one that the queue has in the configuration.
        configuration : int
            Version under which this host handles the request.

        Raises
        ------
        GuardFailed
            Another host has changed the fence. It may have added a pool before.
        PoolOutdated
            A newer configuration has set the fence for another pool.
        NotAccepted, AcceptanceUnknown, TableUnavailable
        """
        fence = self._known(queue, partition)
        if fence.pool == pool:
            return
        if fence.row_version is None:
            fence = self._read_unchanged(queue, partition)
        if fence.configuration > configuration:
            raise PoolOutdated(queue=queue)
        place = (FENCES_TABLE, partition, queue)
        value = {_POOL: pool, _CONFIGURATION: configuration}
        future = self._writer.submit(
            Expectation(*place, fence.row_version), RowWrite(*place, value)
        )
        if not wait_for_write(future):
            self.read(queue, partition)
            raise GuardFailed()
        self._note(queue, partition, _Fence(pool, configuration, None))

    def guard(self, queue, partition, pool, configuration):
        """Return the condition for storing a job of a queue in its pool.

        Parameters
        ----------
        queue, partition, pool : str
        configuration : int
            As for ``ensure``.

        Returns
        -------
        Expectation

        Raises
        ------
        GuardFailed, PoolOutdated, NotAccepted, AcceptanceUnknown, TableUnavailable
        """
        fence = self._known(queue, partition)
        if fence.pool not in (None, pool):
            # The queue has come back to a former pool.
            self.ensure(queue, partition, pool, configuration)
            fence = self._known(queue, partition)
        if fence.row_version is None:
            fence = self._read_unchanged(queue, partition)
        return Expectation(FENCES_TABLE, partition, queue, fence.row_version)

    def read(self, queue, partition):
        """Read a fence and remember it.

        Raises
        ------
        TableUnavailable
        """
        found = _Fence()
        for row in self._store.read(FENCES_TABLE, partition, queue, "", 1):
            if row.key == queue and row.value is not None:
                value = row.value
                found = _Fence(value[_POOL], value[_CONFIGURATION], row.version)
        self._note(queue, partition, found)
        return found

    def _read_unchanged(self, queue, partition):
        """Read a fence that this host has set; raise GuardFailed if it was changed."""
        known = self._known(queue, partition)
        fence = self.read(queue, partition)
        if (fence.pool, fence.configuration) != (known.pool, known.configuration):
            raise GuardFailed()
        return fence

    def _known(self, queue, partition):
        with self._lock:
            return self._fences.get((queue, partition)) or _Fence()

    def _note(self, queue, partition, fence):
        with self._lock:
            self._fences[queue, partition] = fence
