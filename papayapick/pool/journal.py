"""Write the progress of jobs to the store in group commits."""

import threading

from papayapick.clients.exceptions import ConditionFailed, TableUnavailable
from papayapick.clients.rows import Expectation, RowWrite
from papayapick.jobs.records import progress_record
from papayapick.jobs.state import JobStatus
from papayapick.pool.events import COMMIT_PUT_OFF, JOB_ENDED, POOL_LOST
from papayapick.pool.metrics import COMPLETION_SECONDS

__all__ = [
    "CANCEL_SUFFIX",
    "JOBS_TABLE",
    "PROGRESS_TABLE",
    "SEQUENCE_KEY",
    "PoolJournal",
]

JOBS_TABLE = "jobs"
PROGRESS_TABLE = "progress"
# Key of the row that puts commits in order; no job has such an id.
SEQUENCE_KEY = "sequence"
# Ends the key of the row that cancels a job; the job's own row never changes.
CANCEL_SUFFIX = "!cancel"
# A transaction takes at most 100 entries, conditions included.
_ROWS_PER_COMMIT = 60
_RETRY_SECONDS = 0.15
# While answers are lost, each costs this wait; a store 60 times slower still answers
# within it as a rule, and if not, the next try finds what was written.
_ANSWER_SECONDS = 0.5
# Least time between two commits: ends come in groups, and each call is paid for.
_GATHER_SECONDS = 0.01
# Ends that neither finish a job nor start a task may wait so long: nobody waits for
# their record, and each call is paid for.
_GATHER_ENDS_SECONDS = 0.06


class PoolJournal:
    """Commit what has changed, then acknowledge ends and tell final states.

    Parameters
    ----------
    store : Store
    owner : PoolOwner
    clock : Clock

    Notes
    -----
    Ends are taken in under the owner's lock, so a snapshot of the changed jobs and
    of the numbers of the last ends, taken under that lock, belong together. Only
    when the records are durable may the workers forget the ends: else an end whose
    record is lost would be lost with its owner, and the task would run again.

    Commits follow each other strictly: each demands the version of a row that the
    one before it wrote. A commit without an answer may be applied seconds later;
    without that row it would put old records over newer ones, and a task whose end
    was already acknowledged would run again after a takeover.
    """

    __slots__ = (
        "_clock",
        "_commit_lock",
        "_is_behind_own_write",
        "_owner",
        "_sequence_version",
        "_store",
        "_wakeup",
    )

    def __init__(self, store, owner, clock):
        self._store = store
        self._owner = owner
        self._clock = clock
        self._wakeup = threading.Event()
        # The loop and a handover may both commit.
        self._commit_lock = threading.Lock()
        self._sequence_version = 0
        self._is_behind_own_write = False

    def resume(self, rows):
        """Go on behind the commits of earlier owners.

        Parameters
        ----------
        rows : list of StoredRow
            All records of the pool.
        """
        for row in rows:
            if row.key == SEQUENCE_KEY:
                self._sequence_version = row.version

    def wake(self):
        """Commit soon."""
        self._wakeup.set()

    def run(self):
        """Commit again and again until the owner stops."""
        while not self._owner.is_stopped:
            self._clock.wait(self._wakeup, 1.0)
            self._wakeup.clear()
            while not self._owner.is_stopped and self.commit():
                self._gather()

    def _gather(self):
        """Wait for more to commit, shortly where a caller waits for it."""
        self._owner.pause(_GATHER_SECONDS)
        rest = _GATHER_ENDS_SECONDS - _GATHER_SECONDS
        while rest > 0 and not self._owner.decisions.has_urgent_records():
            self._owner.pause(_GATHER_SECONDS)
            rest -= _GATHER_SECONDS

    def commit(self):
        """Write one batch.

        Returns
        -------
        bool
            Whether more may be waiting.
        """
        with self._commit_lock:
            return self._commit()

    def _commit(self):
        owner = self._owner
        with owner.lock:
            changed = self._take_changed()
            roster = owner.roster.take_changed()
            writes = roster + [self._write(job) for job in changed]
            statuses = [job.status for job in changed]
            starts = owner.decisions.take_unsent({job.identifier for job in changed})
            # Ends whose jobs are in a later batch must not be acknowledged yet.
            is_all = not owner.book.changed
            ends = [
                (link, link.processed, link.born)
                for link in owner.links()
                if is_all and link.processed > link.acknowledged
            ]
        if not writes and not ends:
            return False
        if writes and not self._transact(writes):
            with owner.lock:
                owner.book.changed.update(job.identifier for job in changed)
                owner.decisions.put_back_unsent(starts)
                owner.roster.put_back(roster)
            owner.pause(_RETRY_SECONDS)
            return True
        # A start is ordered only now: whoever takes over knows where each task may
        # run, and waits only for workers that are silent and were given some.
        owner.decisions.send_starts(starts)
        with owner.lock:
            for job, status in zip(changed, statuses, strict=True):
                is_told = job.durable_status == status
                job.durable_status = status
                if status in JobStatus.FINAL:
                    owner.book.status_changes.add(job.identifier)
                    if not is_told:
                        self._note_ended(job, status)
            for link, number, born in ends:
                link.acknowledge(number, born)
        owner.wake()
        return True

    def _note_ended(self, job, status):
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
        book = self._owner.book
        taken = []
        for identifier in list(book.changed)[:_ROWS_PER_COMMIT]:
            book.changed.discard(identifier)
            job = book.get(identifier)
            if job is not None:
                taken.append(job)
        return taken

    def _write(self, job):
        return RowWrite(
            PROGRESS_TABLE,
            job.document.pool,
            job.identifier,
            progress_record(job),
        )

    def _transact(self, writes):
        """Write a batch; return whether that is sure."""
        return self._try_transact(writes) or (
            # An earlier commit had no answer and was applied: at once again, behind
            # it, since starts and callers wait.
            self._is_behind_own_write and self._try_transact(writes)
        )

    def _try_transact(self, writes):
        self._is_behind_own_write = False
        asked_at = self._clock.monotonic()
        pool = self._owner.pool
        sequence = Expectation(
            PROGRESS_TABLE, pool, SEQUENCE_KEY, self._sequence_version
        )
        mark = RowWrite(PROGRESS_TABLE, pool, SEQUENCE_KEY, {})
        try:
            self._sequence_version = self._store.transact(
                [self._owner.row.expectation, sequence],
                [*writes, mark],
                seconds=_ANSWER_SECONDS,
            )
        except ConditionFailed as error:
            if self._was_own_write(error.rows):
                self._is_behind_own_write = True
                return False
            POOL_LOST.write(
                pool=pool,
                epoch=self._owner.row.epoch,
                version_seen=self._version_of_pool(error.rows),
            )
            self._owner.note_lost()
            return False
        except TableUnavailable as error:
            # The same records are written again: a write that took effect and is
            # repeated changes nothing.
            COMMIT_PUT_OFF.write(
                pool=pool,
                records=len(writes),
                seconds=round(self._clock.monotonic() - asked_at, 3),
                error=str(error),
            )
            self._owner.note_commit(None)
            return False
        self._owner.note_commit(self._clock.monotonic() - asked_at)
        self._owner.standing.note_confirmed(asked_at)
        return True

    def _was_own_write(self, rows):
        """Return whether an earlier commit without an answer was applied.

        Nobody else writes under this epoch; the records are written once more.
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
