"""Keep the waiting steps in the order of service.

Guards against rounds that sort all waiting steps anew for each worker report. A step is
filed again only when its tasks or its hold have changed, or when it becomes less urgent
because its job can't be completed in time any more.
"""

import heapq

from sortedcontainers import SortedList

from papayapick.placement.order.steps import service_key

__all__ = ["ServiceOrder"]


class ServiceOrder:
    """Waiting steps, the one to be served first in front."""

    __slots__ = ("_due", "_entries", "_sorted")

    def __init__(self):
        self._sorted = SortedList()
        # Entry in the sorted list by step key. A step key is part of each entry, so
        # that steps are never compared.
        self._entries = {}
        # Heap of the times after which entries are out of date, with the step key.
        self._due = []

    def __iter__(self):
        return (step for _, _, step in self._sorted)

    def __len__(self):
        return len(self._sorted)

    def update(self, keys, waiting, now):
        """File the steps again that have changed or are out of date.

        Parameters
        ----------
        keys : iterable of StepKey
            Steps that have begun to wait, wait no more, or have changed.
        waiting : callable
            Takes a step key; returns the StepState, or None if it does not wait.
        now : float
            Monotonic seconds.
        """
        outdated = set(keys)
        while self._due and self._due[0][0] < now:
            _, key = heapq.heappop(self._due)
            outdated.add(key)
        for key in outdated:
            self._unfile(key)
            step = waiting(key)
            if step is not None:
                self._file(key, step, now)

    def _file(self, key, step, now):
        sort_key, valid_until = service_key(step, now)
        entry = self._entries[key] = (sort_key, key, step)
        self._sorted.add(entry)
        if valid_until != float("inf"):
            heapq.heappush(self._due, (valid_until, key))

    def _unfile(self, key):
        entry = self._entries.pop(key, None)
        if entry is not None:
            self._sorted.remove(entry)
