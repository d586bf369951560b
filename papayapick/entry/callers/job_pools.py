"""Store each job in one pool, and find it there, while queues change their pools."""

from papayapick.clients.exceptions import TableUnavailable
from papayapick.clients.rows import Expectation, RowWrite
from papayapick.entry.callers.queue_fences import QueueFences
from papayapick.entry.callers.writers import wait_for_write
from papayapick.entry.exceptions import (
    AcceptanceUnknown,
    GuardFailed,
    NotAccepted,
    PoolOutdated,
    StateUnknown,
)
from papayapick.exceptions import PapayapickError
from papayapick.pool.records.journal import CANCEL_SUFFIX, JOBS_TABLE
from papayapick.pool.records.partitions import job_partition

__all__ = ["JobElsewhere", "JobPools", "team_of"]

# Other hosts may move the queue meanwhile.
_ATTEMPTS = 5
_ROWS_OF_A_JOB = 3


class JobElsewhere(PapayapickError):
    """Report that a job is stored in another pool than its queue has."""

    code = "entry.job-elsewhere"
    template = "the job is stored in another pool"


class JobPools:
    """Read and store the rows of jobs.

    Parameters
    ----------
    store : RelayedStore
    writer : GroupWriter
    queue_pools : QueuePools or None
        None where queues keep their pool for ever.
    """

    __slots__ = ("_fences", "_queue_pools", "_store", "_writer")

    def __init__(self, store, writer, queue_pools):
        self._fences = QueueFences(store, writer)
        self._queue_pools = queue_pools
        self._store = store
        self._writer = writer

    def check_elsewhere(self, document, configuration):
        """Raise JobElsewhere if a job was stored while its queue had another pool.

        Parameters
        ----------
        document : JobDocument
        configuration : int
            Version of the configuration that gives the job's queue its pool.

        Raises
        ------
        JobElsewhere, NotAccepted, AcceptanceUnknown
        """
        if self._queue_pools is not None:
            self._with_known_pools(document, configuration, lambda: None, is_new=True)

    def store(self, document, partition, configuration):
        """Store a job in its queue's pool after ``check_elsewhere``.

        Returns
        -------
        bool
            False if a job with this id is there.

        Raises
        ------
        JobElsewhere, NotAccepted, AcceptanceUnknown
        """
        identifier = document.identifier
        expectation = Expectation(JOBS_TABLE, partition, identifier, 0)
        write = RowWrite(JOBS_TABLE, partition, identifier, document.as_record())
        if self._queue_pools is None:
            return wait_for_write(self._writer.submit(expectation, write))

        def write_guarded():
            guard = self._fences.guard(
                document.queue, partition, document.pool, configuration
            )
            return wait_for_write(self._writer.submit(expectation, write, guard))

        return self._with_known_pools(document, configuration, write_guarded)

    def find(self, queue, identifier):
        """Return the pool under which a job was stored, and its rows.

        Other pools than the queue's present one are read only if that one has no such
        job. Without a job, the rows are empty: before a caller is told so, the pools
        are read anew, as another host may have stored the job in one that this host
        has had no news of. It would run on, though its cancellation is answered.

        Parameters
        ----------
        queue : Queue
        identifier : str

        Raises
        ------
        StateUnknown
        """
        rows = self._read_job(queue.pool, identifier)
        if rows or self._queue_pools is None:
            return queue.pool, rows
        looked_in = {queue.pool}
        for others in (self._queue_pools.others, self._queue_pools.refreshed_others):
            for pool in self._pools_by(others, queue):
                rows = [] if pool in looked_in else self._read_job(pool, identifier)
                looked_in.add(pool)
                if rows:
                    return pool, rows
        return queue.pool, []

    def stored_team(self, partition, identifier):
        """Return the team of the job that was accepted with this id, or None.

        A caller whose first attempt had no answer repeats the request. If it were
        refused as not accepted, its job would run nevertheless.

        Raises
        ------
        StateUnknown
        """
        return team_of(self.read(JOBS_TABLE, partition, identifier))

    def read(self, table, partition, identifier):
        """Return the rows of a job.

        Raises
        ------
        StateUnknown
        """
        end = identifier + "~"
        try:
            return self._store.read(table, partition, identifier, end, _ROWS_OF_A_JOB)
        except TableUnavailable as error:
            raise StateUnknown() from error

    def _read_job(self, pool, identifier):
        return self.read(JOBS_TABLE, job_partition(pool, identifier), identifier)

    @staticmethod
    def _pools_by(others, queue):
        try:
            return others(queue.name, queue.pool)
        except TableUnavailable as error:
            raise StateUnknown() from error

    def _with_known_pools(self, document, configuration, step, is_new=False):
        """Look for a job in former pools, then run a step.

        Both are repeated as long as another host changes the queue's pools. Without
        ``is_new`` the first look was made before.
        """
        partition = job_partition(document.pool, document.identifier)
        must_look = is_new
        try:
            for _ in range(_ATTEMPTS):
                try:
                    if must_look:
                        self._look_in_former_pools(document, configuration)
                    return step()
                except GuardFailed:
                    self._fences.read(document.queue, partition)
                    self._queue_pools.refreshed_others(document.queue, document.pool)
                must_look = True
        except PoolOutdated:
            self._look_in_all_pools(document)
            raise
        except (StateUnknown, TableUnavailable) as error:
            raise AcceptanceUnknown() from error
        raise NotAccepted(reason="other hosts change the pools of the queue")

    def _look_in_former_pools(self, document, configuration):
        queue, present = document.queue, document.pool
        self._queue_pools.record(queue, present)
        others = self._queue_pools.others(queue, present)
        for pool in others:
            partition = job_partition(pool, document.identifier)
            self._fences.ensure(queue, partition, present, configuration)
        self._look_in(others, document)

    def _look_in_all_pools(self, document):
        """Look in the other pools of a queue by what the store knows now.

        A host with an outdated configuration may not store the job. It must not refuse
        it as not run, either, if another host has accepted it.
        """
        try:
            others = self._queue_pools.refreshed_others(document.queue, document.pool)
            self._look_in(others, document)
        except (StateUnknown, TableUnavailable) as error:
            raise AcceptanceUnknown() from error

    def _look_in(self, pools, document):
        for pool in pools:
            partition = job_partition(pool, document.identifier)
            team = self.stored_team(partition, document.identifier)
            if team is not None:
                raise JobElsewhere(team=team)


def team_of(rows):
    """Return the team of the job among the rows of one id, or None without a job."""
    for row in rows:
        if not row.key.endswith(CANCEL_SUFFIX):
            return row.value.get("team", "")
    return None
