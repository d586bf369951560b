"""Keep the ends and runs that workers list of jobs which an owner has not read."""

from papayapick.jobs.runs import Run
from papayapick.pool.workers.events import JOB_NOT_READ
from papayapick.pool.workers.reports import RunReport

__all__ = ["UnknownJobs"]


class _KeptEnd:
    """An end of a task of an unknown job.

    Attributes
    ----------
    may_drop : bool
        Whether it is dropped even if its job could not be read.
    """

    __slots__ = ("born", "end", "link", "may_drop", "seen_at")

    def __init__(self, link, end, seen_at):
        self.link = link
        self.born = link.born
        self.end = end
        self.seen_at = seen_at
        self.may_drop = False


class UnknownJobs:
    """Decide on ends and runs of a job once it is known whether there is such a job.

    The feed may bring a job after the worker's list that shows a run of it, which
    another owner has started. An end that is dropped and acknowledged by then would
    be lost, and its task would run again.

    Each run of a job was started after the job was stored. So there is no such job any
    more, or it can't be read, once all jobs that were stored before the list arrived
    are read and it isn't among them.

    Parameters
    ----------
    owner : PoolOwner
        Its lock must be held by the caller of every method.
    apply_end : callable
        Takes the link, the EndReport and the time, and applies or drops an end.
    adopt_run : callable
        Takes the link, the RunReport and the time, and adopts or stops a run.
    """

    __slots__ = ("_adopt_run", "_apply_end", "_ends", "_owner", "_runs")

    def __init__(self, owner, apply_end, adopt_run):
        self._owner = owner
        self._apply_end = apply_end
        self._adopt_run = adopt_run
        self._ends = []
        # Runs, with their links and the times at which they were first listed.
        self._runs = []

    def is_undecided(self, identifier, seen_at):
        """Return whether a job that is unknown now may yet be read.

        Parameters
        ----------
        identifier : str
        seen_at : float
            Monotonic seconds by which a run of the job had been listed.
        """
        if identifier in self._owner.job_registry:
            return False
        return self._owner.store_sync.complete_at < seen_at

    def must_keep_end(self, identifier, seen_at):
        """Return whether the end of a run of a job can't be applied or dropped yet.

        An end of a job that can't be read is kept for an owner that can read it: one of
        another version, or one after a repair.
        """
        if identifier in self._owner.job_registry:
            return False
        is_refused = self._owner.store_sync.is_refused(identifier)
        return is_refused or self.is_undecided(identifier, seen_at)

    def keep_end(self, link, end, seen_at):
        """Keep an end, which is not acknowledged meanwhile."""
        self._ends.append(_KeptEnd(link, end, seen_at))
        self._log(link, end, is_end=True)
        room = self._owner.rooms.get(link.worker)
        run = room.runs.get((end.key, end.attempt))
        if run is not None:
            room.release(run)

    def keep_run(self, link, found, seen_at, now):
        """Count a run in the room of its worker without stopping it; return it."""
        run = Run.of_ended_job(found.key, found.attempt, link.worker, now, "")
        self._owner.rooms.get(link.worker).reserve(run)
        self._runs.append((link, run, seen_at))
        self._log(link, found, is_end=False)
        return run

    def note_full_list(self, link):
        """Drop ends of unreadable jobs, which keep a worker from listing later ends."""
        for kept in self._ends:
            kept.may_drop = kept.may_drop or kept.link is link

    def settle(self, now):
        """Apply or drop the ends and runs whose jobs are read, or known to be over.

        Returns
        -------
        bool
            Whether there were any.
        """
        if not (self._ends or self._runs):
            return False
        # Ends first: a run that has ended must not be adopted.
        settled = [kept for kept in self._ends if self._is_settled(kept)]
        self._ends = [kept for kept in self._ends if not self._is_settled(kept)]
        for kept in settled:
            self._apply_end(kept.link, kept.end, now)
        for link in {kept.link for kept in settled}:
            self.update_processed(link)
        runs, self._runs = self._runs, []
        for link, run, seen_at in runs:
            if self.is_undecided(run.key.job, seen_at):
                self._runs.append((link, run, seen_at))
            else:
                self._settle_run(link, run, now)
        return bool(settled) or len(self._runs) < len(runs)

    def update_processed(self, link):
        """Set up to which of the ends that were read none is kept."""
        numbers = [
            kept.end.number
            for kept in self._ends
            if kept.link is link and kept.born == link.born
        ]
        link.processed = min(numbers) - 1 if numbers else link.read

    def _is_settled(self, kept):
        identifier = kept.end.key.job
        if kept.may_drop:
            return not self.is_undecided(identifier, kept.seen_at)
        return not self.must_keep_end(identifier, kept.seen_at)

    def _settle_run(self, link, run, now):
        room = self._owner.rooms.get(link.worker)
        if room is None or room.runs.get(run.name) is not run:
            # It has ended meanwhile, or its worker is gone.
            return
        room.release(run)
        found = RunReport(
            run.key, run.attempt, run.checkpoint, run.percent, run.measurement
        )
        self._adopt_run(link, found, now)

    def _log(self, link, listed, is_end):
        JOB_NOT_READ.write(
            request_id=listed.key.job,
            step=listed.key.step,
            task=listed.key.index,
            attempt=listed.attempt,
            worker=link.worker,
            is_end=is_end,
            epoch=self._owner.row.epoch,
        )
