"""Queue requests for slots: bounded, by deadline, fair between callers."""

import heapq
import itertools
from collections import deque

__all__ = ["DrainRate", "QueuedRequest", "FairQueue"]

_SMOOTHING = 0.05
_LEAST_SAMPLES = 16
_WINDOW = 128
_HOPELESS_FACTOR = 1.5


class QueuedRequest:
    """Hold one request that waits for a slot.

    Parameters
    ----------
    future : concurrent.futures.Future
    deadline : float
        Monotonic seconds after which a slot is of no use.
    wanted : SlotRequest
    """

    __slots__ = ("deadline", "future", "wanted")

    def __init__(self, future, deadline, wanted):
        self.future = future
        self.deadline = deadline
        self.wanted = wanted

    @property
    def caller(self):
        """Return the caller, whose requests take turns with the others'."""
        return self.wanted.caller or ""


class FairQueue:
    """Serve callers in turn, and each caller's requests by earliest deadline."""

    __slots__ = ("_callers", "_numbers", "_size", "_turns")

    def __init__(self):
        self._callers = {}
        self._turns = deque()
        self._numbers = itertools.count()
        self._size = 0

    def __len__(self):
        return self._size

    def add(self, waiting):
        """Add a request."""
        heap = self._callers.get(waiting.caller)
        if heap is None:
            heap = self._callers[waiting.caller] = []
            self._turns.append(waiting.caller)
        heapq.heappush(heap, (waiting.deadline, next(self._numbers), waiting))
        self._size += 1

    def ahead_of(self, caller):
        """Return how many would be served before one more of a caller."""
        own = len(self._callers.get(caller, ()))
        others = sum(
            min(len(heap), own + 1)
            for name, heap in self._callers.items()
            if name != caller
        )
        return own + others

    def first(self):
        """Return the request whose turn it is, or None."""
        if not self._turns:
            return None
        return self._callers[self._turns[0]][0][2]

    def take_first(self):
        """Remove the first request; its caller's next turn is the last."""
        caller = self._turns.popleft()
        heap = self._callers[caller]
        _, _, waiting = heapq.heappop(heap)
        self._size -= 1
        if heap:
            self._turns.append(caller)
        else:
            del self._callers[caller]
        return waiting

    def remove_expired(self, now):
        """Remove and return the requests whose deadline is over."""
        expired = []
        for heap in self._callers.values():
            while heap and heap[0][0] <= now:
                expired.append(heapq.heappop(heap)[2])
        self._forget_empty(len(expired))
        return expired

    def remove_unservable(self, now, rate):
        """Remove and return requests that the rate can't serve in their time.

        Parameters
        ----------
        now : float
        rate : float
            Slots that come free in a second.
        """
        kept, hopeless, place = {}, [], 0
        lines = {name: sorted(self._callers[name]) for name in self._turns}
        for line_number in range(max(map(len, lines.values()), default=0)):
            for name, line in lines.items():
                if line_number >= len(line):
                    continue
                entry = line[line_number]
                rest = entry[0] - now
                if (place + 1) / rate > rest * _HOPELESS_FACTOR:
                    hopeless.append(entry[2])
                else:
                    kept.setdefault(name, []).append(entry)
                    place += 1
        if hopeless:
            # A sorted list is a heap.
            self._callers = {name: kept.get(name, []) for name in lines}
            self._forget_empty(len(hopeless))
        return hopeless

    def evict_for(self, caller):
        """Make room for a caller with fewer requests than another.

        Returns
        -------
        Waiting or None
            The last of the longest line; None where the caller's own line is
            as long as any, so that it is the one to refuse.
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
        found = [entry[2] for heap in self._callers.values() for entry in heap]
        self._callers.clear()
        self._turns.clear()
        self._size = 0
        return found

    def _forget_empty(self, removed):
        self._size -= removed
        if not removed:
            return
        self._callers = {name: heap for name, heap in self._callers.items() if heap}
        self._turns = deque(name for name in self._turns if name in self._callers)


class DrainRate:
    """Estimate how many slots of a service come free in a second.

    Measured while requests wait. Before enough slots came free, slots in use
    over the mean time that one is held stand in for it (Little's law); slots
    of silent backend servers make that too high, so that the measure goes
    first.
    """

    __slots__ = ("_ends", "_held_seconds")

    def __init__(self):
        self._held_seconds = None
        self._ends = deque(maxlen=_WINDOW)

    def note_end(self, now, held_seconds, is_queued):
        """Note a slot that came free."""
        if self._held_seconds is None:
            self._held_seconds = held_seconds
        else:
            self._held_seconds += _SMOOTHING * (held_seconds - self._held_seconds)
        if is_queued:
            self._ends.append(now)
        else:
            # Without a queue slots come free as seldom as requests come.
            self._ends.clear()

    def estimate(self, now, busy):
        """Return slots a second, or None where nothing is known yet."""
        if len(self._ends) >= _LEAST_SAMPLES and now > self._ends[0]:
            return len(self._ends) / (now - self._ends[0])
        if self._held_seconds and busy:
            return busy / self._held_seconds
        return None
