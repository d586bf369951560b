"""Group commits that write the progress of jobs to the store."""

import threading

from papayapick.clients.exceptions import ConditionFailed, TableUnavailable
from papayapick.clients.rows import Expectation, RowWrite
from papayapick.jobs.records import progress_record
from papayapick.jobs.state import JobStatus
from papayapick.pool.events import COMMIT_PUT_OFF, JOB_ENDED, POOL_LOST
from papayapick.pool.metrics import COMPLETION_SECONDS
from papayapick.pool.records.record_rows import (
    MAX_BYTES_PER_COMMIT,
    MAX_ROWS_PER_COMMIT,
    RecordRows,
)

__all__ = [
    "CANCEL_SUFFIX",
    "JOBS_TABLE",
    "PROGRESS_TABLE",
    "SEQUENCE_KEY",
    "PoolJournal",
]

JOBS_TABLE = "jobs"
PROGRESS_TABLE = "progress"
# Key of the row whose version orders the commits; no job has such an id.
SEQUENCE_KEY = "sequence"
# Suffix of the key of the row that cancels a job; the job's own row never changes.
CANCEL_SUFFIX = "!cancel"
_RETRY_SECONDS = 0.15
# Limit of a row, where the owner is given none.
_ROW_BYTES = 40_000
# Timeout of a transaction, which each lost answer costs in full. Even a store that is
# 60 times slower than usual mostly answers in time; if it does not, the next attempt
# finds what was written.
_TRANSACTION_TIMEOUT_SECONDS = 0.5
# Minimum time between two commits: ends arrive in groups, and each call costs money.
_BATCH_SECONDS = 0.01
# Maximum delay of the record of ends that neither finish a job nor start a task: no
# caller waits for it, and each call costs money.
_BATCH_ENDS_SECONDS = 0.06


class PoolJournal:
    """Commit changed jobs, then send starts, acknowledge ends and publish final states.

    Parameters
    ----------
    store : Store
    owner : PoolOwner
    clock : Clock
    row_bytes : int, optional
        Most bytes that the value of a row may have, before it is encoded.

    Notes
    -----
    Ends are processed under the owner's lock. A snapshot of the changed jobs and of
    the numbers of the last ends, taken under that lock, is therefore consistent. The
    workers may discard the ends only once the records are durable: otherwise an end
    whose record is lost would be lost with its owner, and the task would run again.

    Commits are strictly ordered: each is conditional on the version of the sequence
    row that the previous one wrote. A commit without an answer may be applied seconds
    later. Without that condition it would overwrite newer records with old ones, and a
    task whose end was already acknowledged would run again after a takeover.
    """

    __slots__ = (
        "_clock",
        "_commit_lock",
        "_first",
        "_owner",
        "_record_rows",
        "_sequence_version",
        "_store",
        "_wakeup",
        "_was_own_write_applied",
    )

    def __init__(self, store, owner, clock, row_bytes=_ROW_BYTES):
        self._store = store
        self._owner = owner
        self._clock = clock
        self._wakeup = threading.Event()
        # The loop and ``PoolOwner.release`` may commit at the same time.
        self._commit_lock = threading.Lock()
        self._sequence_version = 0
        self._was_own_write_applied = False
        self._record_rows = RecordRows(PROGRESS_TABLE, owner.pool, row_bytes)
        # Job whose record did not fit into the last batch.
        self._first = None

    def resume(self, rows):
        """Continue the sequence of commits of earlier owners.

        Parameters
        ----------
        rows : list of StoredRow
            All rows of the pool's partition of the progress table.
        """
        self._record_rows.resume(rows)
        for row in rows:
            if row.key == SEQUENCE_KEY:
                self._sequence_version = row.version

    def wake(self):
        """Make the loop commit soon."""
        self._wakeup.set()

    def run(self):
        """Commit whenever there is something to record, until the owner is stopped."""
        while not self._owner.is_stopped:
            self._clock.wait(self._wakeup, 1.0)
            self._wakeup.clear()
            while not self._owner.is_stopped and self.commit():
                self._wait_for_batch()

    def _wait_for_batch(self):
        """Let more records accumulate, but only briefly if a caller waits for one."""
        self._owner.pause(_BATCH_SECONDS)
        remaining = _BATCH_ENDS_SECONDS - _BATCH_SECONDS
        while remaining > 0 and not self._owner.decisions.has_urgent_records():
            self._owner.pause(_BATCH_SECONDS)
            remaining -= _BATCH_SECONDS

    def commit(self):
        """Write one batch of records.

        Returns
        -------
        bool
            Whether there may be more to commit; False if there was nothing.
        """
        with self._commit_lock:
            return self._commit()

    def _commit(self):
        owner = self._owner
        with owner.lock:
            changed, records = self._take_changed()
            roster = owner.roster.take_changed()
            # Not beside a large roster: a transaction holds a limited number of rows.
            memory = (
                [] if roster else owner.memory.take_changed(self._clock.monotonic())
            )
            writes = roster + memory + [one for rows in records for one in rows.writes]
            statuses = [job.status for job in changed]
            starts = owner.decisions.take_unsent({job.identifier for job in changed})
            # The jobs of some ends may be in a later batch; these ends must not be
            # acknowledged yet.
            is_all = not owner.job_registry.changed
            ends = [
                (link, link.processed, link.born)
                for link in owner.links()
                if is_all and link.processed > link.acknowledged
            ]
        if not writes and not ends:
            return False
        if writes and not self._transact(writes):
            with owner.lock:
                owner.job_registry.changed.update(job.identifier for job in changed)
                owner.decisions.requeue_unsent(starts)
                owner.roster.requeue(roster)
                owner.memory.requeue(memory)
            owner.pause(_RETRY_SECONDS)
            return True
        # Starts are sent only once they are recorded: a successor then knows where each
        # task may run, and waits only for silent workers that had tasks.
        owner.decisions.send_starts(starts)
        with owner.lock:
            for rows in records:
                self._record_rows.note_durable(rows)
            for job, status in zip(changed, statuses, strict=True):
                was_durable = job.durable_status == status
                job.durable_status = status
                if status in JobStatus.FINAL:
                    owner.job_registry.status_changes.add(job.identifier)
                    if not was_durable:
                        self._log_job_end(job, status)
            for link, number, born in ends:
                link.acknowledge(number, born)
        owner.wake()
        return True

    def _log_job_end(self, job, status):
        failed = job.failed_task
        COMPLETION_SECONDS.labels(status).observe(
            self._clock.monotonic() - job.arrived_at
        )
        JOB_ENDED.write(
            request_id=job.identifier,
            status=status,
            seconds=round(self._clock.monotonic() - job.arrived_at, 3),
            deciding_step=failed and failed.step,
            deciding_task=failed and failed.index,
            deciding_worker=job.failed_worker,
            epoch=self._owner.row.epoch,
        )

    def _take_changed(self):
        """Return changed jobs, and the rows of each, as far as one batch holds them.

        A job whose record fits into no batch stays among those that have changed.
        """
        job_registry, now = self._owner.job_registry, self._clock.monotonic()
        jobs, records = [], []
        row_count = size = 0
        # Otherwise smaller records might leave no room for it in any batch.
        waiting = sorted(job_registry.changed, key=lambda one: one != self._first)
        self._first = None
        for identifier in waiting:
            job = job_registry.get(identifier)
            if job is None:
                job_registry.changed.discard(identifier)
                continue
            if not job.is_final and self._record_rows.is_put_off(identifier, now):
                continue
            rows = self._record_rows.take(identifier, progress_record(job), now)
            if rows is None:
                continue
            row_count += len(rows.writes)
            size += rows.size
            if jobs and (
                row_count > MAX_ROWS_PER_COMMIT or size > MAX_BYTES_PER_COMMIT
            ):
                self._first = identifier
                break
            job_registry.changed.discard(identifier)
            jobs.append(job)
            records.append(rows)
        return jobs, records

    def _transact(self, writes):
        """Write a batch; return whether it is known to be durable."""
        return self._try_transact(writes) or (
            # An earlier commit without an answer had been applied. The batch is tried
            # again at once with the new version, since starts and callers wait.
            self._was_own_write_applied and self._try_transact(writes)
        )

    def _try_transact(self, writes):
        self._was_own_write_applied = False
        asked_at = self._clock.monotonic()
        pool = self._owner.pool
        sequence = Expectation(
            PROGRESS_TABLE, pool, SEQUENCE_KEY, self._sequence_version
        )
        sequence_write = RowWrite(PROGRESS_TABLE, pool, SEQUENCE_KEY, {})
        try:
            self._sequence_version = self._store.transact(
                [self._owner.row.expectation, sequence],
                [*writes, sequence_write],
                seconds=_TRANSACTION_TIMEOUT_SECONDS,
            )
        except ConditionFailed as error:
            if self._is_own_write(error.rows):
                self._was_own_write_applied = True
                return False
            POOL_LOST.write(
                pool=pool,
                epoch=self._owner.row.epoch,
                version_seen=self._version_of_pool(error.rows),
            )
            self._owner.note_lost()
            return False
        except TableUnavailable as error:
            # The caller writes the same records again. If this write took effect after
            # all, repeating it changes nothing.
            COMMIT_PUT_OFF.write(
                pool=pool,
                records=len(writes),
                seconds=round(self._clock.monotonic() - asked_at, 3),
                error=str(error),
            )
            self._owner.commits.note_commit(None)
            return False
        self._owner.commits.note_commit(self._clock.monotonic() - asked_at)
        self._owner.ownership_status.note_confirmed(asked_at)
        return True

    def _is_own_write(self, rows):
        """Return whether a condition failed because an own earlier commit was applied.

        If the pool's row is unchanged, no other host has taken the pool, and only this
        owner can have changed the sequence row. Its new version is stored for the next
        attempt.
        """
        if self._version_of_pool(rows) != self._owner.row.expectation.version:
            return False
        versions = {(row.table, row.key): row.version for row in rows}
        self._sequence_version = versions.get((PROGRESS_TABLE, SEQUENCE_KEY), 0)
        return True

    def _version_of_pool(self, rows):
        owned = self._owner.row.expectation
        for row in rows:
            if (row.table, row.key) == (owned.table, owned.key):
                return row.version
        return None
