"""Bound how often the large jobs of a queue yield.

Load pattern: sustained overload. The jobs that cost most core-seconds yield first, so
without a bound the callers with large jobs would never be served.
"""

import bisect
import collections
import enum

__all__ = ["SizeClass", "YieldShares"]

# Enough jobs for the largest tenth to be stable from one plan to the next.
_KEPT_SIZES = 200
# Shares of a queue's jobs that are smaller than the largest, and than the large ones.
_LARGEST_FROM = 0.9
_LARGE_FROM = 0.7
# With fewer jobs the largest tenth is not one job.
_MIN_SIZES = 10
# Jobs of one class after which the earlier ones count half.
_MAX_COUNTED = 64


class SizeClass(enum.IntEnum):
    """How large a job is among those of its queue."""

    USUAL = 0
    # The fifth below the largest tenth.
    LARGE = 1
    LARGEST = 2


class YieldShares:
    """Count by queue and size how many jobs yielded, and how many may yield now.

    What is kept is bounded by the number of queues and of jobs in the last plan.
    """

    __slots__ = ("_counts", "_sizes", "_waiting", "_yielding")

    def __init__(self):
        # Latest sizes by queue.
        self._sizes = {}
        # By queue and class: how many jobs have left the plan, and how many of these
        # yielded when they left.
        self._counts = {}
        # Queue and class of the jobs in the plan, and those of them that yield.
        self._waiting = {}
        self._yielding = set()

    def begin(self, jobs):
        """Begin a plan.

        Parameters
        ----------
        jobs : list of DelayedJob

        Returns
        -------
        dict of str to tuple of (str, SizeClass)
            Queue and class by identifier. A job keeps its class while it waits.
        """
        before, self._waiting = self._waiting, {}
        new = [job for job in jobs if job.identifier not in before]
        for job in new:
            sizes = self._sizes.setdefault(
                job.queue, collections.deque(maxlen=_KEPT_SIZES)
            )
            sizes.append(job.size)
        ordered = {
            queue: sorted(self._sizes[queue]) for queue in {job.queue for job in new}
        }
        for job in jobs:
            kind = before.pop(job.identifier, None)
            if kind is None:
                kind = (job.queue, _classify(ordered[job.queue], job.size))
            self._waiting[job.identifier] = kind
        for identifier, kind in before.items():
            self._note_left(kind, identifier in self._yielding)
        return self._waiting

    def allowances(self):
        """Return how many of the large jobs may yield, by queue and class.

        Returns
        -------
        dict of tuple of (str, SizeClass) to int
        """
        present = collections.Counter(self._waiting.values())
        allowances = {}
        for kind, count in present.items():
            left, yielded = self._counts.get(kind, (0, 0))
            allowances[kind] = max(0, int((count + left) / 2 - yielded))
        return {
            kind: count
            for kind, count in allowances.items()
            if kind[1] != SizeClass.USUAL
        }

    def end(self, yielding):
        """Note which jobs of the plan yield.

        Parameters
        ----------
        yielding : set of str
        """
        self._yielding = yielding

    def _note_left(self, kind, has_yielded):
        left, yielded = self._counts.get(kind, (0, 0))
        left, yielded = left + 1, yielded + has_yielded
        if left >= _MAX_COUNTED:
            left, yielded = left / 2, yielded / 2
        self._counts[kind] = left, yielded


def _classify(ordered, size):
    """Return the class of a size among the ascending sizes of its queue."""
    if len(ordered) < _MIN_SIZES:
        return SizeClass.USUAL
    smaller = bisect.bisect_left(ordered, size) / len(ordered)
    if smaller >= _LARGEST_FROM:
        return SizeClass.LARGEST
    return SizeClass.LARGE if smaller >= _LARGE_FROM else SizeClass.USUAL
