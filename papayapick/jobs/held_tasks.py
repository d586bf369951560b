"""Hold back tasks after a takeover that may have a run unknown to the new owner."""

from papayapick.jobs.runs import EndedRun, RequeueReason

__all__ = ["HeldTasks"]


class HeldTasks:
    """Track the tasks that an earlier owner may have started.

    A held task is not queued for a worker, since it would run twice if its earlier run
    is still active.

    Parameters
    ----------
    registry : JobRegistry
    outcomes : OutcomeHandler
    team_usage : TeamUsage
    """

    __slots__ = (
        "_counted",
        "_jobs",
        "_must_hold",
        "_outcomes",
        "_registry",
        "_tasks",
        "_team_usage",
    )

    def __init__(self, registry, outcomes, team_usage):
        self._registry = registry
        self._outcomes = outcomes
        self._team_usage = team_usage
        # Held tasks as (step, index).
        self._tasks = set()
        # Those that count as running in the usage of their team, since their run has
        # not been found.
        self._counted = set()
        # Condition for holding tasks of these jobs; None while none are added.
        self._must_hold = None
        self._jobs = set()

    def __bool__(self):
        return bool(self._tasks)

    def activate(self, must_hold):
        """Hold tasks of the present jobs that an earlier owner may have started.

        Until ``release_all``, this covers steps that become ready later too: the
        outcome that makes a step ready may be read before the worker's list that shows
        a run of that step.

        Parameters
        ----------
        must_hold : callable
            Takes a TaskState and returns whether the task must not be started yet.
        """
        self._must_hold = must_hold
        self._jobs = {job.identifier for job in self._registry.jobs()}
        for step in self._registry.waiting_steps():
            for index in list(step.waiting):
                if self.hold_if_required(step, index):
                    step.waiting.discard(index)
            if not step.waiting:
                self._registry.dequeue_step(step)

    def cover(self, identifier):
        """Hold the tasks of a job that is about to be added, as those present."""
        self._jobs.add(identifier)

    def release_all(self, now):
        """Release all held tasks and hold no further ones."""
        self._must_hold = None
        self.release_tasks(lambda task: True, now)

    def hold_if_required(self, step, index):
        """Hold a task if the condition requires it; return whether it is held."""
        if (step, index) in self._tasks:
            # The outcome of a run earlier than the one for which the task is held must
            # not release it: the later run may still be active.
            return True
        if self._must_hold is None or step.key.job not in self._jobs:
            return False
        if not self._must_hold(step.tasks[index]):
            return False
        self._tasks.add((step, index))
        self._counted.add((step, index))
        self._team_usage.add(step.job.document.team, step.step.demand)
        return True

    def note_found(self, step, index):
        """Record that the run of a task was found, which its worker's room counts."""
        if (step, index) in self._counted:
            self._counted.discard((step, index))
            self._team_usage.remove(step.job.document.team, step.step.demand)

    def release_tasks(self, may_release, now):
        """Release the tasks that need not be held any more.

        Parameters
        ----------
        may_release : callable
            Takes a TaskState and returns whether the task may be released.
        now : float
            Monotonic seconds.

        Returns
        -------
        list of (StepState, int)
            Steps and indexes of the released tasks of which no run was found.
        """
        released = [
            (step, index)
            for step, index in self._tasks
            if may_release(step.tasks[index])
        ]
        self._tasks.difference_update(released)
        queued = []
        for step, index in released:
            self.note_found(step, index)
            if self._release(step, index, now):
                queued.append((step, index))
        for step in {step for step, _ in released}:
            if not any(held is step for held, _ in self._tasks):
                self._outcomes.stop_partial_gang(step, now)
        return queued

    def _release(self, step, index, now):
        """Release a task; return whether it waits for a worker from now on."""
        task = step.tasks[index]
        place = task.place
        task.refresh_place()
        if task.is_done or task.runs or step.job.is_final:
            return False
        if place:
            task.last_ended = EndedRun(place, task.attempt, RequeueReason.RELEASED, now)
        self._registry.enqueue_task(step, index)
        return True
