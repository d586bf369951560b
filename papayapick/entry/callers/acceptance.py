"""Accept jobs, cancel them and report their states."""

from papayapick.clients.rows import Expectation, RowWrite
from papayapick.entry.callers.admission import JobAdmission
from papayapick.entry.callers.job_pools import JobElsewhere, JobPools, team_of
from papayapick.entry.callers.writers import wait_for_write
from papayapick.entry.events import JOB_KNOWN
from papayapick.entry.exceptions import (
    AcceptanceUnknown,
    ExceedsMaximum,
    JobUnknown,
    NotAccepted,
    QueueFull,
    StateUnknown,
)
from papayapick.jobs.state import JobStatus
from papayapick.overload.features import OverloadFeatures
from papayapick.pool.records.journal import CANCEL_SUFFIX, JOBS_TABLE, PROGRESS_TABLE
from papayapick.pool.records.partitions import job_partition

__all__ = ["Acceptance"]


class Acceptance:
    """Serve callers' requests about jobs.

    Parameters
    ----------
    store : RelayedStore
    writer : GroupWriter
    job_states : JobStateCache
    admission : JobAdmission, optional
        Not given where jobs are admitted without a forecast.
    queue_pools : QueuePools, optional
        Not given where queues keep their pool for ever.
    """

    __slots__ = ("_admission", "_job_states", "_pools", "_writer")

    def __init__(self, store, writer, job_states, admission=None, queue_pools=None):
        self._writer = writer
        self._job_states = job_states
        self._admission = admission
        self._pools = JobPools(store, writer, queue_pools)

    @classmethod
    def from_host(cls, host):
        """Build it for an entry host.

        Parameters
        ----------
        host : EntryHost
        """
        admission = None
        if OverloadFeatures.from_settings(host.settings).is_in_use:
            admission = JobAdmission(host.job_states, host.clock)
        return cls(
            host.relayed_store,
            host.writer,
            host.job_states,
            admission,
            host.queue_pools,
        )

    def submit(self, document, unfit_step=None, configuration=0):
        """Store a job; a repeated id denotes the same job.

        Parameters
        ----------
        document : JobDocument
        unfit_step : int, optional
            Number of a step that exceeds its team's maximum, so that a new job is
            refused. One that was accepted under a higher maximum still runs.
        configuration : int, optional
            Version of the configuration that gives the job's queue its pool.

        Returns
        -------
        bool
            False if a job with this id was accepted before.

        Raises
        ------
        QueueFull, TooLate, BeyondRate, ExceedsMaximum, NotAccepted,
        AcceptanceUnknown
        """
        identifier = document.identifier
        if self._job_states.state(identifier) is not None:
            self._check_resubmission(document, self._job_states.team(identifier))
            JOB_KNOWN.write(request_id=identifier, queue=document.queue, source="board")
            return False
        try:
            is_new = self._store(document, unfit_step, configuration)
        except JobElsewhere as error:
            self._check_resubmission(document, error.details["team"])
            JOB_KNOWN.write(request_id=identifier, queue=document.queue, source="pools")
            return False
        self._job_states.note_accepted(identifier, document.team)
        return is_new

    def _store(self, document, unfit_step, configuration):
        identifier = document.identifier
        self._pools.check_elsewhere(document, configuration)
        partition = job_partition(document.pool, identifier)
        if unfit_step is not None and not self._may_be_stored(partition, identifier):
            raise ExceedsMaximum(step=unfit_step, team=document.team)
        decided_at = self._check_admission(document, partition)
        is_new = self._pools.store(document, partition, configuration)
        if not is_new:
            self._check_stored_job(document, partition)
            JOB_KNOWN.write(request_id=identifier, queue=document.queue, source="store")
        elif decided_at is not None:
            self._admission.note_accepted(document, decided_at)
        return is_new

    def _check_admission(self, document, partition):
        """Raise an error if a new job is refused; a stored one never is.

        Returns
        -------
        float or None
            Monotonic seconds of the decision; None if no forecast is used.
        """
        if self._admission is None:
            retry_after = self._job_states.retry_after(document.pool, document.queue)
            if retry_after and not self._may_be_stored(partition, document.identifier):
                raise QueueFull(queue=document.queue, retry_after=retry_after)
            return None
        now = self._admission.now()
        error = self._admission.refusal(document, now)
        if error is not None and not self._may_be_stored(
            partition, document.identifier
        ):
            self._admission.note_refused(document, error, now)
            raise error
        return now

    def _may_be_stored(self, partition, identifier):
        """Return whether a job has this id; raise AcceptanceUnknown if it is unknown.

        The job of a caller that repeats its request must not be refused as not run.
        """
        try:
            return self._pools.stored_team(partition, identifier) is not None
        except StateUnknown as error:
            raise AcceptanceUnknown() from error

    def _check_stored_job(self, document, partition):
        """Raise NotAccepted if the job that is stored belongs to another team."""
        if not document.team:
            return
        try:
            stored_team = self._pools.stored_team(partition, document.identifier)
        except StateUnknown as error:
            # A refusal would say that the job never runs, which holds only if it is
            # another team's.
            raise AcceptanceUnknown() from error
        self._check_resubmission(document, stored_team)

    @staticmethod
    def _check_resubmission(document, stored_team):
        """Raise NotAccepted if a job of another team has the same id.

        The error is that of any job that was not accepted, and tells nothing of the
        other team's job.
        """
        if not _may_access(document.team, stored_team):
            raise NotAccepted(reason="the id can't be used")

    def cancel(self, queue, identifier, team=""):
        """Store the cancellation of a job.

        Parameters
        ----------
        queue : Queue
        identifier : str
        team : str, optional
            Team of the caller; empty if there is none.

        Returns
        -------
        bool
            False if the job had ended or was cancelled already.

        Raises
        ------
        JobUnknown, StateUnknown, NotAccepted, AcceptanceUnknown
        """
        if self._job_states.state(identifier) in JobStatus.FINAL:
            self._check_access(queue, identifier, team)
            return False
        pool, rows = self._pools.find(queue, identifier)
        partition = job_partition(pool, identifier)
        versions = {row.key: row.version for row in rows}
        if identifier not in versions or not _is_accessible(queue, team, rows):
            raise JobUnknown(identifier=identifier)
        if identifier + CANCEL_SUFFIX in versions:
            return False
        # Conditional on the job's row: the cancellation row of a job that was removed
        # in the meantime would never be removed.
        expectation = Expectation(
            JOBS_TABLE, partition, identifier, versions[identifier]
        )
        write = RowWrite(JOBS_TABLE, partition, identifier + CANCEL_SUFFIX, {})
        return wait_for_write(self._writer.submit(expectation, write))

    def status(self, queue, identifier, team=""):
        """Return the status of a job.

        Parameters
        ----------
        queue : Queue
        identifier : str
        team : str, optional
            Team of the caller; empty if there is none.

        Raises
        ------
        JobUnknown, StateUnknown
        """
        status = self._job_states.state(identifier)
        if status is not None:
            self._check_access(queue, identifier, team)
            return status
        pool, jobs = self._pools.find(queue, identifier)
        job_team = team_of(jobs)
        if job_team is None or not _is_accessible(queue, team, jobs):
            raise JobUnknown(identifier=identifier)
        status = JobStatus.WAITING
        for row in self._pools.read(PROGRESS_TABLE, pool, identifier):
            # A large record has further rows, of which not all may have been read.
            if row.key == identifier and row.value is not None:
                status = row.value["status"]
        is_cancelled = any(row.key != identifier for row in jobs)
        if is_cancelled and status not in JobStatus.FINAL:
            status = JobStatus.CANCELLED
        self._job_states.note_statuses({identifier: status}, {identifier: job_team})
        return status

    def _check_access(self, queue, identifier, team):
        """Raise JobUnknown if a job whose state is cached belongs to another team.

        It is the answer for a job that does not exist, so a caller does not learn
        whether another team has a job with this id.
        """
        if queue.is_public:
            return
        if not _may_access(team, self._job_states.team(identifier)):
            raise JobUnknown(identifier=identifier)


def _may_access(team, job_team):
    """Return whether callers of a team may see and cancel a job.

    Parameters
    ----------
    team : str
        Team of the caller.
    job_team : str
        Team of the job. It is empty for jobs that were accepted while their queue was
        public, which belong to no team.
    """
    return not job_team or team == job_team


def _is_accessible(queue, team, rows):
    return queue.is_public or _may_access(team, team_of(rows) or "")
