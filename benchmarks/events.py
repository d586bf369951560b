"""Discrete-event simulation with a manual clock."""

import heapq
import itertools

from papayapick.clock import ManualClock

__all__ = ["Events"]


class Events:
    """Call scheduled functions in order of time and advance the clock between them."""

    def __init__(self):
        self.clock = ManualClock()
        self._due = []
        self._numbers = itertools.count()

    def after(self, seconds, action, *arguments):
        """Schedule an action in this number of seconds."""
        moment = self.clock.monotonic() + seconds
        heapq.heappush(self._due, (moment, next(self._numbers), action, arguments))

    def every(self, seconds, action, until):
        """Schedule an action at a fixed interval until the given time."""

        def step():
            action()
            if self.clock.monotonic() < until:
                self.after(seconds, step)

        self.after(seconds, step)

    def run(self):
        """Call all scheduled actions in order, including those they schedule."""
        while self._due:
            moment, _, action, arguments = heapq.heappop(self._due)
            self.clock.advance(max(0.0, moment - self.clock.monotonic()))
            action(*arguments)
