"""Registry of the jobs of a pool, with the tasks that wait for a worker."""

from papayapick.jobs.documents import TaskKey
from papayapick.jobs.held_tasks import HeldTasks
from papayapick.jobs.outcomes import OutcomeHandler
from papayapick.jobs.records import restore_progress
from papayapick.jobs.runs import RequeueReason, Run, RunPhase
from papayapick.jobs.schedule import Schedule
from papayapick.jobs.state import JobState, JobStatus
from papayapick.jobs.step_queue import StepQueue
from papayapick.quotas.usage import TeamUsage

__all__ = ["JobRegistry"]


class JobRegistry:
    """Hold all jobs of one pool.

    The registry has no lock of its own: the caller holds the pool's lock during each
    call.

    Parameters
    ----------
    team_usage : TeamUsage, optional
        Counts the tasks that may run unknown to this owner.

    Attributes
    ----------
    changed : set of str
        Identifiers of jobs whose progress must be journaled.
    held : HeldTasks
        Tasks that an earlier owner may have started, until their run is found.
    status_changes : set of str
        Identifiers of jobs whose status has changed since it was last published.
    to_stop : list of Run
        Runs that are no longer needed. The caller takes them from here and stops them.
    step_queue : StepQueue
        Steps with tasks that wait for a worker.
    """

    __slots__ = (
        "_jobs",
        "_live",
        "_outcomes",
        "_schedule",
        "changed",
        "held",
        "status_changes",
        "step_queue",
        "to_stop",
    )

    def __init__(self, team_usage=None):
        self._jobs = {}
        # Jobs without a final status. Most jobs have one: they are retained for two
        # minutes to answer queries of callers. The decision round, which runs ten
        # times a second, iterates over the live jobs only.
        self._live = {}
        self.step_queue = StepQueue()
        self._outcomes = OutcomeHandler(self)
        self.held = HeldTasks(self, self._outcomes, team_usage or TeamUsage())
        self._schedule = Schedule()
        self.changed = set()
        self.status_changes = set()
        self.to_stop = []

    def __contains__(self, identifier):
        return identifier in self._jobs

    def get(self, identifier):
        """Return the job with an identifier, or None."""
        return self._jobs.get(identifier)

    def jobs(self):
        """Return all jobs, as a list."""
        return list(self._jobs.values())

    def live_jobs(self):
        """Return the jobs without a final status, as a list."""
        return list(self._live.values())

    def waiting_steps(self):
        """Return the ready steps with a task that waits for a worker, as a list."""
        return self.step_queue.steps()

    def add(self, document, queue, now, record=None, age=0.0):
        """Add an accepted job; return the existing state if it was added before.

        Parameters
        ----------
        document : JobDocument
        queue : Queue
        now : float
            Monotonic seconds.
        record : dict, optional
            Progress that an earlier owner of the pool has stored, as returned by
            ``progress_record``.
        age : float, optional
            Seconds since the job was accepted.

        Returns
        -------
        JobState
        """
        job = self._jobs.get(document.identifier)
        if job is not None:
            return job
        job = JobState(document, queue, now - age)
        self._jobs[document.identifier] = job
        if record is not None:
            restore_progress(job, record)
        self.status_changes.add(job.identifier)
        if job.is_final:
            job.finished_at = now
            return job
        self._live[job.identifier] = job
        if document.is_timed:
            self._schedule.add(job)
        elif not job.occurrences:
            job.open_occurrence(0)
        for number in list(job.occurrences):
            self.enqueue_ready_steps(job, number, now)
        return job

    def open_due(self, wall_now, now, on_failure=None):
        """Open the occurrences that are due; see ``Schedule.open_due``."""
        return self._schedule.open_due(
            wall_now,
            lambda job, number: self.enqueue_ready_steps(job, number, now),
            on_failure,
        )

    def cancel(self, identifier, now):
        """Cancel a job; its active runs are added to ``to_stop``.

        Returns
        -------
        bool
            False if the job is unknown.
        """
        job = self._jobs.get(identifier)
        if job is None:
            return False
        if not job.is_final:
            self.finish(job, JobStatus.CANCELLED, now)
        return True

    def remove(self, identifier):
        """Remove a job that has a final status."""
        self._jobs.pop(identifier, None)
        self._live.pop(identifier, None)

    def begin_run(self, step, index, worker, now, attempt=None):
        """Add a run of a task whose start is about to be ordered on a worker.

        Parameters
        ----------
        step : StepState
        index : int
        worker : str
        now : float
            Monotonic seconds.
        attempt : int, optional
            Number of the start, shared by the members of a gang; by default the
            number after the task's last.

        Returns
        -------
        Run
        """
        task = step.tasks[index]
        task.attempt = (task.attempt + 1) if attempt is None else attempt
        # A second copy overwrites the place of the first run in the record. This is
        # safe, since a successor may start another run of a task that allows copies.
        task.place = worker
        task.stuck_since = None
        run = Run.of_task(step, index, task.attempt, worker, RunPhase.ORDERED, now)
        run.is_resumed = bool(task.checkpoint)
        task.runs.append(run)
        step.waiting.discard(index)
        # The run uses the room held for the step; a later hold gets its own time.
        step.held_on.pop(worker, None)
        self.step_queue.note_change(step)
        if not step.waiting:
            self.dequeue_step(step)
        self.changed.add(step.job.identifier)
        return run

    def adopt_run(self, report, worker, now):
        """Add a run that a worker lists and that this owner did not start.

        Parameters
        ----------
        report : RunReport
        worker : str
        now : float
            Monotonic seconds.

        Returns
        -------
        Run
            Also added to ``to_stop`` if it is not needed.
        """
        step = self.listed_step(report.key)
        if step is None:
            job = self._jobs.get(report.key.job)
            team = "" if job is None else job.document.team
            run = Run.of_ended_job(report.key, report.attempt, worker, now, team)
            self.to_stop.append(run)
            return run
        self.held.note_found(step, report.key.index)
        index, attempt = report.key.index, report.attempt
        run = Run.of_task(step, index, attempt, worker, RunPhase.RUNNING, now)
        # Neither its progress before this owner first saw it nor its pace is known.
        run.is_resumed = True
        run.pace = None
        task = step.tasks[index]
        is_second = bool(task.runs) and not step.step.allows_copies
        task.adopt_run(run)
        # Its start may not have been journaled.
        self.changed.add(step.job.identifier)
        self._note_running(step.job)
        if task.is_done or step.job.is_final or is_second:
            self.to_stop.append(run)
        else:
            step.waiting.discard(index)
            if not step.waiting:
                self.dequeue_step(step)
            self._outcomes.stop_partial_gang(step, now)
        return run

    def note_started(self, run):
        """Mark a run as running after its worker has confirmed the start."""
        if run.phase in (RunPhase.ORDERED, RunPhase.UNSURE):
            run.phase = RunPhase.RUNNING
        step = self.step(run.key)
        if step is not None:
            self._note_running(step.job)

    def note_checkpoint(self, run):
        """Store the latest checkpoint of a run in its task."""
        step = self.step(run.key)
        if step is not None and run.checkpoint:
            step.tasks[run.key.index].checkpoint = run.checkpoint

    def drop_run(self, run, now, reason=RequeueReason.REFUSED):
        """Remove a run that did not start; see ``OutcomeHandler.drop_run``."""
        self._outcomes.drop_run(run, now, reason)

    def end_run(self, key, attempt, outcome, checkpoint, worker, now, reason=None):
        """Handle the outcome of a run; see ``OutcomeHandler.end_run``."""
        return self._outcomes.end_run(
            key, attempt, outcome, checkpoint, worker, now, reason
        )

    # The methods below are for the other modules of this package.

    def finish(self, job, status, now):
        """Set the final status of a job and add its active runs to ``to_stop``."""
        job.status = status
        job.finished_at = now
        self._live.pop(job.identifier, None)
        self.changed.add(job.identifier)
        self.status_changes.add(job.identifier)
        self._schedule.remove(job)
        for step in job.steps():
            step.waiting.clear()
            self.dequeue_step(step)
            if status != JobStatus.COMPLETED or not step.step.is_gang:
                self.to_stop += step.active_runs()

    def enqueue_ready_steps(self, job, occurrence, now):
        """Queue the tasks of the steps whose earlier steps are done."""
        if occurrence in job.early_occurrences:
            return
        steps = job.occurrences[occurrence]
        for step in steps:
            if step.is_ready or step.is_done:
                continue
            if all(steps[number].is_done for number in step.step.after):
                step.is_ready = True
                step.ready_at = now
                for index, task in enumerate(step.tasks):
                    if not (
                        task.is_done
                        or task.runs
                        or self.held.hold_if_required(step, index)
                    ):
                        self.enqueue_task(step, index)

    def requeue_task(self, step, index, ended):
        """Queue a task that has no run any more, unless it is held.

        Parameters
        ----------
        step : StepState
        index : int
        ended : EndedRun
        """
        step.tasks[index].last_ended = ended
        if not self.held.hold_if_required(step, index):
            step.tasks[index].refresh_place()
            self.enqueue_task(step, index)

    def dequeue_step(self, step):
        """Remove a step from those that wait for workers."""
        step.held_on.clear()
        self.step_queue.discard(step)

    def enqueue_task(self, step, index):
        """Queue a task for a worker without a check whether it is held."""
        is_early = step.key.occurrence in step.job.early_occurrences
        if is_early or step.job.is_set_aside:
            # An early one is queued with the other tasks of its step once it is due.
            return
        step.waiting.add(index)
        self.step_queue.add(step)

    def _note_running(self, job):
        if job.status == JobStatus.WAITING:
            job.status = JobStatus.RUNNING
            self.status_changes.add(job.identifier)

    def remove_run(self, run):
        """Remove a run that has ended or can no longer start."""
        step = self.step(run.key)
        if step is not None:
            step.tasks[run.key.index].remove(run)

    def step(self, key):
        """Return the step of a task, or None if there is no such task."""
        job = self._jobs.get(key.job)
        if job is None:
            return None
        steps = job.occurrences.get(key.occurrence)
        if steps is None or key.step >= len(steps):
            return None
        step = steps[key.step]
        return step if key.index < len(step.tasks) else None

    def listed_step(self, key):
        """Return the step of a listed task, or None; see ``Schedule.open_listed``."""
        job = self._jobs.get(key.job)
        if job is not None:
            self._schedule.open_listed(job, key)
        return self.step(key)

    def step_of(self, key):
        """Return the step of a TaskKey or StepKey, or None if it is over."""
        return self.step(TaskKey(key.job, key.occurrence, key.step, 0))
