"""Hold the tasks that are kept back after a takeover: they may run unseen."""

__all__ = ["HeldTasks"]


class HeldTasks:
    """Keep back tasks that an earlier owner may have started.

    Parameters
    ----------
    registry : JobRegistry
    outcomes : OutcomeHandler
    """

    __slots__ = ("_registry", "_outcomes", "_must_hold", "_jobs", "_tasks")

    def __init__(self, registry, outcomes):
        self._registry = registry
        self._outcomes = outcomes
        # As (step, index).
        self._tasks = set()
        # What is kept back of steps that become ready, and of which jobs; None when
        # nothing is.
        self._must_hold = None
        self._jobs = frozenset()

    def __bool__(self):
        return bool(self._tasks)

    def activate(self, must_hold, jobs):
        """Keep back from now on.

        Parameters
        ----------
        must_hold : callable
            Takes a TaskState; returns whether its task is kept back.
        jobs : iterable of str
            Those that were there under the earlier owner.
        """
        self._must_hold = must_hold
        self._jobs = set(jobs)
        for step in self._registry.waiting_steps():
            for index in list(step.waiting):
                if self.hold_if_required(step, index):
                    step.waiting.discard(index)
            if not step.waiting:
                self._registry.dequeue_step(step)

    def deactivate(self):
        """Keep back no more; what is kept back stays so until it is let go."""
        self._must_hold = None

    def hold_if_required(self, step, index):
        """Keep a task back where it must be; return whether it is kept back."""
        if (step, index) in self._tasks:
            # An old end, of a run before the one for which it is kept back, must
            # not free it: the later run may be at work unseen.
            return True
        if self._must_hold is None or step.key.job not in self._jobs:
            return False
        if not self._must_hold(step.tasks[index]):
            return False
        self._tasks.add((step, index))
        return True

    def release_tasks(self, may_release, now):
        """Let tasks wait for a worker that need not be kept back any more.

        Parameters
        ----------
        may_release : callable
            Takes a TaskState.
        now : float
        """
        clear = [
            (step, index)
            for step, index in self._tasks
            if may_release(step.tasks[index])
        ]
        self._tasks.difference_update(clear)
        for step, index in clear:
            self._release(step, index)
        for step in {step for step, _ in clear}:
            if not any(held is step for held, _ in self._tasks):
                self._outcomes.stop_partial_gang(step, now)

    def _release(self, step, index):
        task = step.tasks[index]
        task.refresh_place()
        if not (task.is_done or task.runs or step.job.is_final):
            self._registry.enqueue_task(step, index)
