"""Ready steps with waiting tasks, and what has changed among them."""

__all__ = ["StepQueue"]


class StepQueue:
    """Hold the steps with at least one task that waits for a worker.

    A scheduling round examines only the steps that have changed since the last one, so
    each change is recorded.
    """

    __slots__ = ("_changes", "_steps")

    def __init__(self):
        self._steps = {}
        self._changes = set()

    def steps(self):
        """Return the steps as a list, in the order in which they were added."""
        return list(self._steps.values())

    def get(self, key):
        """Return the step with a key if it waits, or None."""
        return self._steps.get(key)

    def add(self, step):
        """Add a step, one of whose tasks has begun to wait."""
        self._steps[step.key] = step
        self._changes.add(step.key)

    def discard(self, step):
        """Remove a step that has no waiting task any more."""
        if self._steps.pop(step.key, None) is not None:
            self._changes.add(step.key)

    def note_change(self, step):
        """Record that a step waits with other tasks, or that its hold has changed."""
        if step.key in self._steps:
            self._changes.add(step.key)

    def note_policy_change(self):
        """Record that the policies of the queues, and so all steps, have changed."""
        self._changes.update(self._steps)

    def take_changes(self):
        """Return the keys of the steps that have changed, and forget them.

        Returns
        -------
        set of StepKey
        """
        changes, self._changes = self._changes, set()
        return changes
