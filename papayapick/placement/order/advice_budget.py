"""Limit the steps for which advice is requested to those that the room can serve.

Guards against load above the capacity of the pool. A request for advice takes time of
the host, and advice is valid for seconds only. If some hundred steps wait and advice is
requested for each step of which a single task fits, the first answers take the room,
the others expire unused and are requested again, and urgent steps wait for seconds
behind these requests. Steps are examined in the order of service, so advice is
requested for the first ones, and for no more of them than can be placed.
"""

__all__ = ["AdviceBudget"]

# Share of the pool's processors that becomes free while an answer is pending. With a
# larger share, answers expire unused.
_SOON_FREE_SHARE = 0.03
# Upper bound of what one step takes of the budget, as a share of the pool: a wide step
# would otherwise use it up by itself.
_MAX_STEP_SHARE = 0.1


class AdviceBudget:
    """Room for which advice may still be requested in one scheduling round.

    Parameters
    ----------
    capacity, free : int
        Processors of all workers, and free processors of the open ones, in millicores.
    """

    __slots__ = ("_max_step", "_remaining")

    def __init__(self, capacity, free):
        # Millicores.
        self._remaining = free + _SOON_FREE_SHARE * capacity
        self._max_step = _MAX_STEP_SHARE * capacity

    @property
    def is_exhausted(self):
        """Return whether advice is requested for no further step."""
        return self._remaining <= 0

    def admits(self, step):
        """Return whether advice may be requested for a step, and charge the budget.

        Parameters
        ----------
        step : StepState
        """
        if self._remaining <= 0:
            return False
        wanted = len(step.waiting) * step.step.room_demand.processors
        self._remaining -= min(wanted, self._max_step)
        return True
