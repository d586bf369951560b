"""Decide what the end of a run means for its task, step, gang and job."""

from papayapick.jobs.state import JobStatus

__all__ = ["OutcomeHandler"]

_DONE = "done"
_FAILED = "failed"


class OutcomeHandler:
    """Take in ends and starts that did not come about.

    Parameters
    ----------
    registry : JobRegistry
        Its caller holds the lock.
    """

    __slots__ = ("_registry",)

    def __init__(self, registry):
        self._registry = registry

    def drop(self, run, now):
        """Take back a run that did not start and can't start any more."""
        self._registry.remove_run(run)
        step = self._registry.step(run.key)
        if step is None or step.job.is_final:
            return
        task = step.tasks[run.key.index]
        if task.is_done:
            # Its first run, or another member of its gang, ended as done while this
            # order was on its way: placed again, it would run a second time.
            return
        if step.step.is_gang:
            self._break_gang(step, now)
        elif not task.runs:
            # With a copy dropped, the first run may be at work.
            self._registry.requeue_task(step, run.key.index)

    def end(self, key, attempt, outcome, checkpoint, worker, now):
        """Take note of the end of a run.

        Parameters
        ----------
        key : TaskKey
        attempt : int
        outcome : str
            One of ``EndOutcome``.
        checkpoint : str
        worker : str
        now : float
        """
        step = self._registry.step(key)
        if step is None:
            return
        task = step.tasks[key.index]
        # A start may be known from its end only: its number is not used again.
        task.attempt = max(task.attempt, attempt)
        ended = [run for run in task.runs if run.name == (key, attempt)]
        for run in ended:
            self._registry.remove_run(run)
        if step.job.is_final or task.is_done:
            return
        self._registry.changed.add(step.job.identifier)
        if checkpoint:
            task.checkpoint = checkpoint
        if outcome == _DONE and not step.step.is_lasting:
            for run in ended:
                # One that was taken over, or went on from saved progress, took longer
                # than this owner saw: sound runs beside it would seem slow.
                if not run.is_resumed:
                    step.note_done_run(run.worked_seconds(now))
            self._note_done(step, key.index, attempt, now)
            return
        if outcome == _FAILED:
            self._note_failure(step, key, attempt, worker, now)
        if step.job.is_final:
            return
        if step.step.is_gang:
            if not self._is_of_earlier_run(step, attempt):
                self._break_gang(step, now)
        elif not task.runs:
            self._registry.requeue_task(step, key.index)

    @staticmethod
    def _is_of_earlier_run(step, attempt):
        """Return whether a gang is at work that was started after a run of it.

        An end may come long after its run was given up, as its worker is back, and a
        list that was overtaken shows a run once more. It says nothing of the members at
        work, which would all be stopped, and lose what they have done.
        """
        active = step.active_runs()
        return bool(active) and all(run.attempt > attempt for run in active)

    def stop_partial_gang(self, step, now):
        """Stop a gang that is at work without all of its members.

        The owner before may have died between the orders of one gang, or an order was
        carried out late. Its members would wait for the others until their time is
        over, and hold room, and the gang is not started without them.
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
            # The members of a gang end together. Copies must be told to, and so must
            # a gang that was started again before this end came.
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
            if len(job.finished_occurrences) >= max(1, job.document.occurrences):
                self._registry.finish(job, JobStatus.COMPLETED, now)
            elif job.document.is_timed:
                # Steps of an occurrence that is over are not asked for again.
                job.occurrences.pop(occurrence)
            return
        self._registry.enqueue_ready_steps(job, occurrence, now)

    def _note_failure(self, step, key, attempt, worker, now):
        task = step.tasks[key.index]
        counted = step.tasks[0] if step.step.is_gang else task
        task.failed_on.add(worker)
        counted.failed_attempts.add(attempt)
        if step.step.is_lasting:
            return
        if counted.failures >= step.job.queue.failure_limit:
            step.job.failed_task, step.job.failed_worker = key, worker
            self._registry.finish(step.job, JobStatus.FAILED, now)

    def _break_gang(self, step, now):
        step.is_gang_broken = True
        active = step.active_runs()
        self._registry.to_stop += [run for run in active if run.stop_requested is None]
        if active:
            return
        step.is_gang_broken = False
        # Progress saved by any member is valid for all, and all must carry the
        # same.
        checkpoint = max((task.checkpoint for task in step.tasks), default="")
        attempt = max(task.attempt for task in step.tasks)
        for index, task in enumerate(step.tasks):
            task.checkpoint = checkpoint
            task.attempt = attempt
            self._registry.requeue_task(step, index)
