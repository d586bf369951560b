"""Run drawn arrivals against the decision code with a manual clock."""

import heapq
import itertools

from papayapick.clock import ManualClock

__all__ = ["Events"]


class Events:
    """Call functions at their moments; the clock stands still between them."""

    def __init__(self):
        self.clock = ManualClock()
        self._due = []
        self._numbers = itertools.count()

    def after(self, seconds, action, *arguments):
        """Call an action so many seconds from now."""
        moment = self.clock.monotonic() + seconds
        heapq.heappush(self._due, (moment, next(self._numbers), action, arguments))

    def every(self, seconds, action, until):
        """Call an action at an interval until a moment."""

        def step():
            action()
            if self.clock.monotonic() < until:
                self.after(seconds, step)

        self.after(seconds, step)

    def run(self):
        """Call everything that is due, in order, until nothing is left."""
        while self._due:
            moment, _, action, arguments = heapq.heappop(self._due)
            self.clock.advance(max(0.0, moment - self.clock.monotonic()))
            action(*arguments)
