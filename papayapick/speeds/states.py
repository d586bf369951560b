"""State of one worker, from which its speed is derived."""

from papayapick.speeds.estimates import FadingMean
from papayapick.speeds.types import SpeedTier

__all__ = ["WorkerState"]


class WorkerState:
    """What is known of one worker, and what was derived from it.

    Parameters
    ----------
    kind : WorkerKind

    Attributes
    ----------
    born : int or None
        Start time of its incarnation, None if it is not known.
    mean : FadingMean
        Logarithms of the speeds that its runs indicated.
    last_step : StepKey or None
        Step of the last run.
    speed, certainty : float
    tier : SpeedTier
    """

    __slots__ = ("born", "certainty", "kind", "last_step", "mean", "speed", "tier")

    def __init__(self, kind):
        self.kind = kind
        self.begin(None)

    def begin(self, born):
        """Forget all but the kind, for another incarnation."""
        self.born = born
        self.mean = FadingMean()
        self.last_step = None
        self.speed = 1.0
        self.certainty = 0.0
        self.tier = SpeedTier.NORMAL
