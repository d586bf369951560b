"""Whether the speeds of a pool differ so much that callers notice, and classes of them.

A caller whose objective is one and a half times the run time is late on a worker that
is slower than the others by more than that.
"""

import math

from papayapick.speeds.types import SpeedTier

__all__ = ["SpeedSpread"]

# Smaller differences are within the error of what is learned.
_MIN_RATIO = 1.25
# Differences count until they are smaller than this share of what made them count.
_KEEP_SHARE = 0.7
_MIN_CERTAINTY = 0.5
# One worker that is slow for a moment must not make speeds differ: compared are those
# that a sixth of the workers is slower, and faster, than.
_QUANTILE = 1.0 / 6.0
_MIN_WORKERS = 4
_MIN_WORKERS_SHARE = 0.25
# Distance of a class from the mean, as a share of the difference that counts, and the
# one at which a worker leaves its class.
_TIER_SHARE = 0.5
_KEEP_TIER_SHARE = 0.3
# Standard error of the logarithm of a speed that is as certain as not.
_LOG_ERROR = 0.2


class SpeedSpread:
    """Decide whether speeds differ, and the classes of workers, with hysteresis."""

    __slots__ = ("_log_ratio", "differ")

    def __init__(self):
        self._log_ratio = None
        self.differ = False

    def set_stretch(self, stretch):
        """Set the tightest stretch of the pool's queues.

        Parameters
        ----------
        stretch : float or None
            None if no queue uses the pool: nobody notices differences then.
        """
        self._log_ratio = (
            None if stretch is None else math.log(max(stretch, _MIN_RATIO))
        )

    def update(self, states):
        """Update ``differ``, and the class of each worker.

        Parameters
        ----------
        states : list
            With attributes ``speed``, ``certainty``, ``tier`` (which is set) and
            ``kind``.

        Returns
        -------
        bool
            Whether ``differ`` has changed.
        """
        before = self.differ
        self.differ = self._is_spread(states)
        if self.differ:
            for state in states:
                state.tier = self._tier(state)
        return self.differ != before

    def _is_spread(self, states):
        if self._log_ratio is None:
            return False
        certain = [state for state in states if state.certainty >= _MIN_CERTAINTY]
        if len(certain) < max(_MIN_WORKERS, _MIN_WORKERS_SHARE * len(states)):
            return False
        logs = sorted(map(_cautious_log, certain))
        last = len(logs) - 1
        low, high = math.ceil(_QUANTILE * last), math.floor((1 - _QUANTILE) * last)
        needed = self._log_ratio * (_KEEP_SHARE if self.differ else 1.0)
        return logs[high] - logs[low] >= needed

    def _tier(self, state):
        distance = math.log(state.speed)
        for tier, side in ((SpeedTier.FAST, 1), (SpeedTier.SLOW, -1)):
            share = _KEEP_TIER_SHARE if state.tier == tier else _TIER_SHARE
            if side * distance >= share * self._log_ratio:
                return tier
        return SpeedTier.NORMAL


def _cautious_log(state):
    """Return the logarithm of a speed, nearer to 0 by its error."""
    log_speed = math.log(state.speed)
    error = _LOG_ERROR * math.sqrt(2.0 * (1.0 - state.certainty))
    return math.copysign(max(0.0, abs(log_speed) - error), log_speed)
