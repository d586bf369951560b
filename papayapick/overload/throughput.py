"""How much work a pool gets through.

Load pattern: a full pool whose workers are slower than the callers' estimates suppose,
or that it can't fill because tasks don't fit. The cores of its workers then say too
much; while jobs wait, what was completed in the last seconds says it better.
"""

import collections

__all__ = ["Throughput"]

_WINDOW_SECONDS = 5.0
# Tasks end one by one: over a shorter time their number says little.
_MIN_SECONDS = 2.0


class Throughput:
    """Measure what a pool completes, and how full it gets, while jobs wait."""

    __slots__ = ("_samples",)

    def __init__(self):
        # For each count its time, the work left and the share of the cores in use.
        self._samples = collections.deque()

    def note(self, left, is_waiting, share, now):
        """Record a count.

        Parameters
        ----------
        left : float
            Core-seconds of all tasks without an end, waiting or running.
        is_waiting : bool
            Whether tasks wait for room. Otherwise the pool completes what comes, which
            says nothing of what it could.
        share : float
            Cores in use relative to those there are.
        now : float
            Monotonic seconds.
        """
        if not is_waiting:
            self._samples.clear()
            return
        self._samples.append((now, left, share))
        while now - self._samples[0][0] > _WINDOW_SECONDS:
            self._samples.popleft()

    def completed(self, work_since, now):
        """Return the core-seconds completed a second, or None if it is not known.

        Parameters
        ----------
        work_since : callable
            Takes a time; returns the core-seconds that came after it.
        now : float
            Monotonic seconds.
        """
        if not self._samples:
            return None
        since, left_then, _ = self._samples[0]
        if now - since < _MIN_SECONDS:
            return None
        _, left, _ = self._samples[-1]
        return max(0.0, left_then + work_since(since) - left) / (now - since)

    def share(self):
        """Return the mean share of the cores in use while tasks waited, at most 1."""
        if not self._samples:
            return 1.0
        if self._samples[-1][0] - self._samples[0][0] < _MIN_SECONDS:
            # Tasks that have just come wait for the next round, not for room.
            return 1.0
        total = sum(share for _, _, share in self._samples)
        return min(1.0, total / len(self._samples))
