"""Choose the best of the workers that have room for a task."""

__all__ = ["Choice"]


class Choice:
    """Keep the best of the workers that are considered for a task.

    Parameters
    ----------
    step : Step
    task : TaskState
    excluded : container of WorkerRoom
        Workers that must not run it.
    tiers : sequence of SpeedTier, optional
        Order of the classes of workers; empty if their speed does not matter.

    Attributes
    ----------
    room : WorkerRoom or None
        The best so far.
    is_unavoided : bool
        Whether nothing speaks against that worker.
    """

    __slots__ = (
        "_excluded",
        "_rank",
        "_step",
        "_task",
        "_tiers",
        "is_unavoided",
        "room",
    )

    def __init__(self, step, task, excluded, tiers=()):
        self._step = step
        self._task = task
        self._tiers = tiers
        self._excluded = excluded
        self._rank = None
        self.room = None
        self.is_unavoided = False

    def consider(self, room):
        """Keep a worker if it may run the task and is better than the one kept.

        Parameters
        ----------
        room : WorkerRoom

        Returns
        -------
        bool
            Whether the worker may run the task and nothing speaks against it.
        """
        has_failed_there = room.worker in self._task.failed_on
        # A lasting task may fail on any worker at any time, and the number of its
        # failures is not limited. A worker on which it failed is used last, but the
        # task does not wait for others that are full.
        if has_failed_there and not self._step.is_lasting or room in self._excluded:
            return False
        is_avoided = (
            has_failed_there or room.worker in self._task.avoid or room.is_suspected
        )
        rank = _rank(self._step, room, is_avoided, self._tiers)
        if self._rank is None or rank < self._rank:
            self.room, self._rank = room, rank
            self.is_unavoided = not is_avoided
        return not is_avoided


def _rank(step, room, is_avoided, tiers):
    """Return a sort key that is lowest for the best worker; no two are equal."""
    is_far = bool(step.preferred_rack) and step.preferred_rack != room.rack
    if step.is_filler:
        # Fillers use the processors that other runs leave unused, here 4000
        # millicores each, and disturb runs with a limit on their tail latency.
        unused_processors = room.processors - 4000 * room.filler_runs
        is_serving = room.serving_runs > 0
        return (is_avoided, is_far, is_serving, -unused_processors, room.number)
    # Best fit keeps the free room in large pieces, so that large tasks fit. On
    # workers with accelerators, these are the amount that large tasks lack. Memory
    # decides between equal workers.
    return (
        is_avoided,
        tiers.index(room.tier) if tiers else 0,
        is_far,
        room.accelerators,
        room.processors,
        room.memory,
        room.number,
    )
