"""Apply the outcome of a run to its task, step, gang and job."""

import enum

from papayapick.jobs.runs import EndedRun, RequeueReason
from papayapick.jobs.state import JobStatus

__all__ = ["EndEffect", "OutcomeHandler"]

_DONE = "done"
_FAILED = "failed"


class EndEffect(enum.Enum):
    """What the end of a run changed."""

    APPLIED = "applied"
    # The task is done or its job has a final status: nothing was left to change.
    NOT_NEEDED = "not-needed"
    # No such job.
    UNKNOWN_JOB = "unknown-job"
    # The job has no such task, or not yet.
    UNKNOWN_TASK = "unknown-task"
    # The task had been queued again, since the run counted as over.
    COUNTED_AS_OVER = "counted-as-over"


class OutcomeHandler:
    """Update the job registry after a run has ended or has failed to start.

    Parameters
    ----------
    registry : JobRegistry
        The caller of each method holds the pool's lock.
    """

    __slots__ = ("_registry",)

    def __init__(self, registry):
        self._registry = registry

    def drop_run(self, run, now, reason):
        """Remove a run that did not start and can no longer start.

        Parameters
        ----------
        run : Run
        now : float
            Monotonic seconds.
        reason : RequeueReason
        """
        self._registry.remove_run(run)
        step = self._registry.step(run.key)
        if step is None or step.job.is_final:
            return
        task = step.tasks[run.key.index]
        if task.is_done:
            # The first copy, or another member of the gang, ended as done before this
            # order was carried out. Queued again, the task would run twice.
            return
        if step.step.is_gang:
            self._break_gang(step, now)
        elif not task.runs:
            # If only a second copy is dropped, the first run is still active.
            ended = EndedRun(run.worker, run.attempt, reason, now)
            self._registry.requeue_task(step, run.key.index, ended)

    def end_run(self, key, attempt, outcome, checkpoint, worker, now, reason=None):
        """Handle the outcome of a run, which may be reported more than once.

        Parameters
        ----------
        key : TaskKey
        attempt : int
            Number of the start that led to the run.
        outcome : str
            One of ``EndOutcome``.
        checkpoint : str
            Last checkpoint of the run; empty for none.
        worker : str
        now : float
            Monotonic seconds.
        reason : RequeueReason, optional
            Given if the outcome was inferred; by default the outcome itself.

        Returns
        -------
        EndEffect
        """
        step = self._registry.listed_step(key)
        if step is None:
            return self._effect_without_step(key)
        task = step.tasks[key.index]
        # The start may be known from this outcome only: its number must not be reused.
        task.attempt = max(task.attempt, attempt)
        # A start without a record has its number used again by the next owner, so that
        # two workers may have runs of the same name.
        ended = [
            run
            for run in task.runs
            if run.name == (key, attempt) and run.worker == worker
        ]
        effect = EndEffect.APPLIED
        if not ended and _is_counted_as_over(task, attempt, worker):
            effect = EndEffect.COUNTED_AS_OVER
        for run in ended:
            self._registry.remove_run(run)
        if step.job.is_final or task.is_done:
            return EndEffect.NOT_NEEDED
        self._registry.changed.add(step.job.identifier)
        if checkpoint:
            task.checkpoint = checkpoint
        if outcome == _DONE and not step.step.is_lasting:
            for run in ended:
                # A run that was adopted, or resumed from a checkpoint, took longer than
                # this owner has observed. Its short duration would make normal runs of
                # the step look slow.
                if not run.is_resumed:
                    step.note_done_run(run.worked_seconds(now), worker)
            self._note_done(step, key.index, attempt, now)
            return effect
        if outcome == _FAILED:
            self._note_failure(step, key, attempt, worker, now)
        if step.job.is_final:
            return effect
        if step.step.is_gang:
            if not self._is_of_earlier_run(step, attempt):
                self._break_gang(step, now)
        elif not task.runs:
            reason = reason or RequeueReason(outcome)
            ended = EndedRun(worker, attempt, reason, now)
            self._registry.requeue_task(step, key.index, ended)
        return effect

    def _effect_without_step(self, key):
        job = self._registry.get(key.job)
        if job is None:
            return EndEffect.UNKNOWN_JOB
        if job.is_final or key.occurrence in job.finished_occurrences:
            return EndEffect.NOT_NEEDED
        return EndEffect.UNKNOWN_TASK

    @staticmethod
    def _is_of_earlier_run(step, attempt):
        """Return whether all active members of a gang were started after an attempt.

        An outcome may arrive long after its run was given up, when its worker becomes
        reachable again, or in an outdated list of a worker. Such an outcome does not
        concern the active members. If it broke the gang, all of them would be stopped
        and their work would be lost.
        """
        active = step.active_runs()
        return bool(active) and all(run.attempt > attempt for run in active)

    def stop_partial_gang(self, step, now):
        """Stop the active members of a gang that is not running completely.

        This happens if the previous owner failed between the orders for the members, or
        if an order was carried out late. The active members would hold their room and
        wait for the others until they time out, and the gang could not be started
        meanwhile.
        """
        if not step.step.is_gang or step.job.is_final:
            return
        if step.waiting and step.active_runs():
            step.waiting.clear()
            self._registry.dequeue_step(step)
            self._break_gang(step, now)

    def _note_done(self, step, index, attempt, now):
        indexes = range(len(step.tasks)) if step.step.is_gang else (index,)
        for number in indexes:
            task = step.tasks[number]
            if task.is_done:
                continue
            task.is_done = True
            step.unfinished_tasks -= 1
            step.waiting.discard(number)
            # The members of a gang end by themselves with the first that is done.
            # Copies of a task must be stopped, and so must the members of a later start
            # of the gang.
            self._registry.to_stop += [
                run
                for run in task.runs
                if run.attempt != attempt or not step.step.is_gang
            ]
        if not step.waiting:
            self._registry.dequeue_step(step)
        if step.is_done:
            self._note_step_done(step, now)

    def _note_step_done(self, step, now):
        job = step.job
        occurrence = step.key.occurrence
        if all(one.is_done for one in job.occurrences[occurrence]):
            job.finished_occurrences.add(occurrence)
            job.early_occurrences.discard(occurrence)
            if len(job.finished_occurrences) >= max(1, job.document.occurrences):
                self._registry.finish(job, JobStatus.COMPLETED, now)
            elif job.document.is_timed:
                # The state of a finished occurrence is not needed any more.
                job.occurrences.pop(occurrence)
            return
        self._registry.enqueue_ready_steps(job, occurrence, now)

    def _note_failure(self, step, key, attempt, worker, now):
        task = step.tasks[key.index]
        counted_task = step.tasks[0] if step.step.is_gang else task
        task.failed_on.add(worker)
        if step.step.is_lasting:
            # It may fail for ever, and no limit counts its failures: a set of them
            # would only grow, and the job's record with it.
            return
        counted_task.failed_attempts.add(attempt)
        if counted_task.failures >= step.job.queue.failure_limit:
            step.job.failed_task, step.job.failed_worker = key, worker
            self._registry.finish(step.job, JobStatus.FAILED, now)

    def _break_gang(self, step, now):
        step.is_gang_broken = True
        active = step.active_runs()
        self._registry.to_stop += [run for run in active if run.stop_requested is None]
        if active:
            return
        step.is_gang_broken = False
        # A checkpoint saved by any member is valid for the whole gang, and all members
        # must resume from the same one.
        checkpoint = max((task.checkpoint for task in step.tasks), default="")
        attempt = max(task.attempt for task in step.tasks)
        for index, task in enumerate(step.tasks):
            task.checkpoint = checkpoint
            task.attempt = attempt
            ended = EndedRun(task.place, attempt, RequeueReason.BROKEN, now)
            self._registry.requeue_task(step, index, ended)


def _is_counted_as_over(task, attempt, worker):
    """Return whether a run counted as over before its worker listed its end."""
    last = task.last_ended
    return last is not None and (last.attempt, last.worker) == (attempt, worker)
