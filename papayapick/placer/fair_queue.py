"""Queue requests for slots, fairly among callers and by deadline per caller."""

import heapq
import itertools
from collections import deque

__all__ = ["DrainRate", "QueuedRequest", "FairQueue"]

_SMOOTHING = 0.05
_MIN_SAMPLES = 16
_WINDOW = 128
_OVERRUN_FACTOR = 1.5


class QueuedRequest:
    """Represent one request that waits for a slot.

    Parameters
    ----------
    future : concurrent.futures.Future
    deadline : float
        Monotonic seconds after which the request no longer waits.
    request : SlotRequest
    """

    __slots__ = ("deadline", "future", "request")

    def __init__(self, future, deadline, request):
        self.future = future
        self.deadline = deadline
        self.request = request

    @property
    def caller(self):
        """Return the caller of the request, empty if it is not known."""
        return self.request.caller or ""


class FairQueue:
    """Serve callers round-robin, and each caller's requests by earliest deadline."""

    __slots__ = ("_callers", "_rotation", "_sequence", "_size")

    def __init__(self):
        self._callers = {}
        self._rotation = deque()
        self._sequence = itertools.count()
        self._size = 0

    def __len__(self):
        return self._size

    def add(self, queued):
        """Add a request.

        Parameters
        ----------
        queued : QueuedRequest
        """
        heap = self._callers.get(queued.caller)
        if heap is None:
            heap = self._callers[queued.caller] = []
            self._rotation.append(queued.caller)
        heapq.heappush(heap, (queued.deadline, next(self._sequence), queued))
        self._size += 1

    def ahead_of(self, caller):
        """Return how many requests precede one more request of a caller."""
        own = len(self._callers.get(caller, ()))
        others = sum(
            min(len(heap), own + 1)
            for name, heap in self._callers.items()
            if name != caller
        )
        return own + others

    def first(self):
        """Return the next request to be served, or None."""
        if not self._rotation:
            return None
        return self._callers[self._rotation[0]][0][2]

    def take_first(self):
        """Remove and return the first request; move its caller to the end."""
        caller = self._rotation.popleft()
        heap = self._callers[caller]
        _, _, queued = heapq.heappop(heap)
        self._size -= 1
        if heap:
            self._rotation.append(caller)
        else:
            del self._callers[caller]
        return queued

    def remove_expired(self, now):
        """Remove and return the requests whose deadline has passed."""
        expired = []
        for heap in self._callers.values():
            while heap and heap[0][0] <= now:
                expired.append(heapq.heappop(heap)[2])
        self._drop_empty(len(expired))
        return expired

    def remove_unservable(self, now, rate):
        """Remove and return requests that can't be served before their deadline.

        Parameters
        ----------
        now : float
            Monotonic seconds.
        rate : float
            Slots freed per second.

        Returns
        -------
        list of QueuedRequest
        """
        kept, removed, ahead = {}, [], 0
        by_caller = {name: sorted(self._callers[name]) for name in self._rotation}
        for position in range(max(map(len, by_caller.values()), default=0)):
            for name, entries in by_caller.items():
                if position >= len(entries):
                    continue
                entry = entries[position]
                remaining = entry[0] - now
                if (ahead + 1) / rate > remaining * _OVERRUN_FACTOR:
                    removed.append(entry[2])
                else:
                    kept.setdefault(name, []).append(entry)
                    ahead += 1
        if removed:
            # A sorted list is a valid heap.
            self._callers = {name: kept.get(name, []) for name in by_caller}
            self._drop_empty(len(removed))
        return removed

    def evict_for(self, caller):
        """Evict a request of the caller that has the most requests queued.

        Returns
        -------
        QueuedRequest or None
            The request with the latest deadline of that caller. None if the
            given caller would have as many requests queued itself, so that its
            new request is the one to refuse.
        """
        longest = max(self._callers, key=lambda name: len(self._callers[name]))
        heap = self._callers[longest]
        if len(self._callers.get(caller, ())) + 1 >= len(heap):
            return None
        last = max(heap)
        heap.remove(last)
        heapq.heapify(heap)
        self._size -= 1
        return last[2]

    def take_all(self):
        """Remove and return every request."""
        removed = [entry[2] for heap in self._callers.values() for entry in heap]
        self._callers.clear()
        self._rotation.clear()
        self._size = 0
        return removed

    def _drop_empty(self, removed):
        self._size -= removed
        if not removed:
            return
        self._callers = {name: heap for name, heap in self._callers.items() if heap}
        self._rotation = deque(name for name in self._rotation if name in self._callers)


class DrainRate:
    """Estimate how many slots of a service are freed per second.

    The rate is measured while requests wait. Until enough slots have been freed,
    it is estimated as the slots in use divided by the mean time that a slot is
    held (Little's law). Slots held by backend servers that don't respond make this
    estimate too high, so the measured rate takes precedence.
    """

    __slots__ = ("_ends", "_held_seconds")

    def __init__(self):
        self._held_seconds = None
        self._ends = deque(maxlen=_WINDOW)

    def note_end(self, now, held_seconds, is_queued):
        """Record that a slot was freed.

        Parameters
        ----------
        now : float
            Monotonic seconds.
        held_seconds : float
        is_queued : bool
            Whether requests wait for a slot.
        """
        if self._held_seconds is None:
            self._held_seconds = held_seconds
        else:
            self._held_seconds += _SMOOTHING * (held_seconds - self._held_seconds)
        if is_queued:
            self._ends.append(now)
        else:
            # Without a queue, slots are freed at the rate at which requests
            # arrive, which says nothing about the capacity.
            self._ends.clear()

    def estimate(self, now, busy):
        """Return the slots freed per second, or None before any measurement."""
        if len(self._ends) >= _MIN_SAMPLES and now > self._ends[0]:
            return len(self._ends) / (now - self._ends[0])
        if self._held_seconds and busy:
            return busy / self._held_seconds
        return None
