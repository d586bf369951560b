"""Hold the tasks that are kept back after a takeover: they may run unseen."""

__all__ = ["HeldTasks"]


class HeldTasks:
    """Keep back tasks that an earlier owner may have started.

    Parameters
    ----------
    registry : JobRegistry
    outcomes : OutcomeHandler
    """

    __slots__ = ("_registry", "_outcomes", "_is_held", "_jobs", "_tasks")

    def __init__(self, registry, outcomes):
        self._registry = registry
        self._outcomes = outcomes
        # As (step, index).
        self._tasks = set()
        # What is kept back of steps that become ready, and of which jobs; None when
        # nothing is.
        self._is_held = None
        self._jobs = frozenset()

    def __bool__(self):
        return bool(self._tasks)

    def begin(self, is_held, jobs):
        """Keep back from now on.

        Parameters
        ----------
        is_held : callable
            Takes a TaskState; returns whether its task is kept back.
        jobs : iterable of str
            Those that were there under the earlier owner.
        """
        self._is_held = is_held
        self._jobs = set(jobs)
        for step in self._registry.waiting_steps():
            for index in list(step.waiting):
                if self.takes(step, index):
                    step.waiting.discard(index)
            if not step.waiting:
                self._registry.close_step(step)

    def end(self):
        """Keep back no more; what is kept back stays so until it is let go."""
        self._is_held = None

    def takes(self, step, index):
        """Keep a task back where it must be; return whether it is kept back."""
        if (step, index) in self._tasks:
            # An old end, of a run before the one for which it is kept back, must
            # not free it: the later run may be at work unseen.
            return True
        if self._is_held is None or step.key.job not in self._jobs:
            return False
        if not self._is_held(step.tasks[index]):
            return False
        self._tasks.add((step, index))
        return True

    def let_go(self, is_clear, now):
        """Let tasks wait for a worker that need not be kept back any more.

        Parameters
        ----------
        is_clear : callable
            Takes a TaskState.
        now : float
        """
        clear = [
            (step, index) for step, index in self._tasks if is_clear(step.tasks[index])
        ]
        self._tasks.difference_update(clear)
        for step, index in clear:
            self._free(step, index)
        for step in {step for step, _ in clear}:
            if not any(held is step for held, _ in self._tasks):
                self._outcomes.settle_gang(step, now)

    def _free(self, step, index):
        task = step.tasks[index]
        task.note_found()
        if not (task.is_done or task.runs or step.job.is_final):
            self._registry.wait(step, index)
