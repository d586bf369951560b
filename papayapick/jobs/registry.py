"""Keep the jobs of a pool: which steps are ready, and what each end means."""

from papayapick.jobs.documents import TaskKey
from papayapick.jobs.held_tasks import HeldTasks
from papayapick.jobs.outcomes import OutcomeHandler
from papayapick.jobs.records import restore_progress
from papayapick.jobs.runs import Run, RunPhase
from papayapick.jobs.schedule import Schedule
from papayapick.jobs.state import JobState, JobStatus

__all__ = ["JobRegistry"]


class JobRegistry:
    """Hold all jobs of one pool; its caller holds the lock.

    Attributes
    ----------
    changed : set of str
        Jobs whose progress is to be journaled.
    status_changes : set of str
        Jobs whose status has changed since it was last told.
    to_stop : list of Run
        Runs that nothing needs any more, for the caller to stop.
    """

    __slots__ = (
        "_outcomes",
        "_held",
        "_jobs",
        "_live",
        "_queued_steps",
        "_schedule",
        "changed",
        "status_changes",
        "to_stop",
    )

    def __init__(self):
        self._jobs = {}
        # Those that are not over: most jobs are, and are kept for two minutes only to
        # answer callers. What is done ten times a second looks at the others only.
        self._live = {}
        # Steps that are ready and have a task waiting, by key.
        self._queued_steps = {}
        self._outcomes = OutcomeHandler(self)
        self._held = HeldTasks(self, self._outcomes)
        self._schedule = Schedule()
        self.changed = set()
        self.status_changes = set()
        self.to_stop = []

    def __contains__(self, identifier):
        return identifier in self._jobs

    def get(self, identifier):
        """Return the job of an id, or None."""
        return self._jobs.get(identifier)

    def jobs(self):
        """Return all jobs, as a list."""
        return list(self._jobs.values())

    def live_jobs(self):
        """Return the jobs that are not over, as a list."""
        return list(self._live.values())

    def waiting_steps(self):
        """Return the ready steps that have a task to start, as a list."""
        return list(self._queued_steps.values())

    def add(self, document, queue, now, record=None, age=0.0):
        """Add a job that was accepted.

        Parameters
        ----------
        document : JobDocument
        queue : Queue
        now : float
            Monotonic seconds.
        record : dict, optional
            Its progress under an earlier owner.
        age : float, optional
            Seconds since it was accepted.

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

    def open_due(self, wall_now, now):
        """Open the occurrences whose time has come; see ``Schedule.open_due``."""
        return self._schedule.open_due(
            wall_now, lambda job, number: self.enqueue_ready_steps(job, number, now)
        )

    def cancel(self, identifier, now):
        """Cancel a job; what runs of it is added to ``to_stop``.

        Returns
        -------
        bool
            False where no such job is known.
        """
        job = self._jobs.get(identifier)
        if job is None:
            return False
        if not job.is_final:
            self.finish(job, JobStatus.CANCELLED, now)
        return True

    def remove(self, identifier):
        """Drop a job that is over."""
        self._jobs.pop(identifier, None)
        self._live.pop(identifier, None)

    def begin(self, step, index, worker, now, attempt=None):
        """Note that a task is about to be ordered on a worker.

        Parameters
        ----------
        step : StepState
        index : int
        worker : str
        now : float
        attempt : int, optional
            Shared by the members of a gang.

        Returns
        -------
        Run
        """
        task = step.tasks[index]
        task.attempt = (task.attempt + 1) if attempt is None else attempt
        # With a copy beside it, the first one's place stays on record: a successor
        # may start a task that allows copies in any case.
        task.place = worker
        task.stuck_since = None
        run = Run.of_task(step, index, task.attempt, worker, RunPhase.ORDERED, now)
        run.is_resumed = bool(task.checkpoint)
        task.runs.append(run)
        step.waiting.discard(index)
        # What was held for it is taken; a later hold has a time of its own.
        step.held_on.pop(worker, None)
        if not step.waiting:
            self.dequeue_step(step)
        self.changed.add(step.job.identifier)
        return run

    def adopt(self, report, worker, now):
        """Take over a run that a worker lists.

        Parameters
        ----------
        report : RunReport
        worker : str
        now : float

        Returns
        -------
        Run
            One that nothing needs is added to ``to_stop``.
        """
        step = self.step(report.key)
        if step is None:
            run = Run(report.key, report.attempt, worker, None, RunPhase.RUNNING, now)
            self.to_stop.append(run)
            return run
        index, attempt = report.key.index, report.attempt
        run = Run.of_task(step, index, attempt, worker, RunPhase.RUNNING, now)
        # What it had done before this owner saw it is not known, nor how it was paced.
        run.is_resumed = True
        run.pace = None
        task = step.tasks[index]
        is_second = bool(task.runs) and not step.step.allows_copies
        task.adopt_run(run)
        # Its start may have left without a record.
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
        """Note that a worker runs a task."""
        if run.phase in (RunPhase.ORDERED, RunPhase.UNSURE):
            run.phase = RunPhase.RUNNING
        step = self.step(run.key)
        if step is not None:
            self._note_running(step.job)

    def note_checkpoint(self, run):
        """Keep the newest progress that a run has saved."""
        step = self.step(run.key)
        if step is not None and run.checkpoint:
            step.tasks[run.key.index].checkpoint = run.checkpoint

    def hold_tasks(self, must_hold):
        """Keep back tasks that may run already under an earlier owner.

        Those of steps that become ready meanwhile too, until ``release_all_tasks``: the
        end that makes a step ready may be read before the list that shows what
        runs of it.

        Parameters
        ----------
        must_hold : callable
            Takes a TaskState; returns whether its task is kept back.
        """
        self._held.activate(must_hold, self._jobs)

    def release_tasks(self, may_release, now):
        """Let tasks wait for a worker that were kept back.

        Parameters
        ----------
        may_release : callable
            Takes a TaskState; returns whether its task runs nowhere unseen.
        now : float
        """
        self._held.release_tasks(may_release, now)

    def release_all_tasks(self, now):
        """Keep nothing back any more."""
        self._held.deactivate()
        self.release_tasks(lambda task: True, now)

    @property
    def has_held_tasks(self):
        """Return whether any task is kept back."""
        return bool(self._held)

    def drop(self, run, now):
        """Take back a run that did not start and can't start any more."""
        self._outcomes.drop(run, now)

    def end(self, key, attempt, outcome, checkpoint, worker, now):
        """Take note of the end of a run; see ``OutcomeHandler.end``."""
        self._outcomes.end(key, attempt, outcome, checkpoint, worker, now)

    # For the modules beside this one.

    def finish(self, job, status, now):
        """Give a job its final status; what runs of it is to be stopped."""
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
        """Let the steps wait for workers whose earlier steps are done."""
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
                        or self._held.hold_if_required(step, index)
                    ):
                        self.enqueue_task(step, index)

    def requeue_task(self, step, index):
        """Let a task wait that runs nowhere any more, unless it is kept back."""
        if not self._held.hold_if_required(step, index):
            step.tasks[index].refresh_place()
            self.enqueue_task(step, index)

    def dequeue_step(self, step):
        """Take a step off those that wait for workers."""
        step.held_on.clear()
        self._queued_steps.pop(step.key, None)

    def enqueue_task(self, step, index):
        """Let a task wait for a worker, whatever is kept back."""
        step.waiting.add(index)
        self._queued_steps[step.key] = step

    def _note_running(self, job):
        if job.status == JobStatus.WAITING:
            job.status = JobStatus.RUNNING
            self.status_changes.add(job.identifier)

    def remove_run(self, run):
        """Forget a run that is at work no more."""
        step = self.step(run.key)
        if step is not None:
            step.tasks[run.key.index].remove(run)

    def step(self, key):
        """Return the step of a task, or None where there is none."""
        job = self._jobs.get(key.job)
        if job is None:
            return None
        steps = job.occurrences.get(key.occurrence)
        if steps is None or key.step >= len(steps):
            return None
        step = steps[key.step]
        return step if key.index < len(step.tasks) else None

    def step_of(self, key):
        """Return the step of a task or step, or None where it is over."""
        return self.step(TaskKey(key.job, key.occurrence, key.step, 0))
