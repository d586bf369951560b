"""Bound for how many waiting steps advice is asked, by the room that they can use.

Answers a load above what the pool can do. Advice takes time of the hosts that ask, and
is good for seconds only. With some hundred steps waiting, each of them asked for as
soon as a single task of it would fit: the room was taken by the first answers, the
others aged unused and were asked for again, and the hosts spent their time with the
advice service while urgent steps waited for seconds behind that.
Steps are looked at in the order in which they are served, so those that come first are
asked about first, and no more of them than can be placed.
"""

__all__ = ["AdviceBudget"]

# What comes free while an answer is on its way, as a share of the pool's processors: of
# more, answers age unused.
_SOON_SHARE = 0.03
# A wide step counts as no more than this share of the pool, else it alone would keep
# all others from being asked about.
_STEP_SHARE = 0.1


class AdviceBudget:
    """Hold the room for which advice may still be asked in one round.

    Parameters
    ----------
    rooms : Rooms
    """

    __slots__ = ("_most", "_rest")

    def __init__(self, rooms):
        capacity = free = 0
        for room in rooms:
            capacity += room.registration.capacity.processors
            if room.is_open:
                free += max(0, room.processors)
        # In millicores.
        self._rest = free + _SOON_SHARE * capacity
        self._most = _STEP_SHARE * capacity

    @property
    def is_exhausted(self):
        """Return whether no further step is asked about."""
        return self._rest <= 0

    def admits(self, step):
        """Return whether a step may be asked about, and count it.

        Parameters
        ----------
        step : StepState
        """
        if self._rest <= 0:
            return False
        wanted = len(step.waiting) * step.step.room_demand.processors
        self._rest -= min(wanted, self._most)
        return True
