"""Hold the tasks that are kept back after a takeover: they may run unseen."""

__all__ = ["HeldTasks"]


class HeldTasks:
    """Keep back tasks that an earlier owner may have started."""

    __slots__ = ("_is_held", "_jobs", "_tasks")

    def __init__(self):
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

    def let_go(self, is_clear):
        """Return the tasks that need not be kept back any more, and forget them.

        Parameters
        ----------
        is_clear : callable
            Takes a TaskState.

        Returns
        -------
        list of tuple of (StepState, int)
        """
        clear = [
            (step, index) for step, index in self._tasks if is_clear(step.tasks[index])
        ]
        self._tasks.difference_update(clear)
        return clear

    def has_step(self, step):
        """Return whether any task of a step is kept back."""
        return any(held is step for held, _ in self._tasks)
