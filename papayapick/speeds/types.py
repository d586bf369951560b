"""Interface to the speeds of workers, and the baseline that knows none."""

import enum
from typing import NamedTuple, Protocol

__all__ = ["Deviation", "SpeedSource", "SpeedTier", "UnknownSpeeds"]


class SpeedTier(enum.IntEnum):
    """Classes of workers by speed; few, so that rooms can be kept sorted by class."""

    SLOW = 0
    NORMAL = 1
    FAST = 2


class Deviation(NamedTuple):
    """What one run tells of its worker.

    Parameters
    ----------
    worker : str
    log_speed : float
        Logarithm of the speed that the run indicates.
    weight : float
        From 0 to 1.
    """

    worker: str
    log_speed: float
    weight: float


class SpeedSource(Protocol):
    """Provide the speeds of the workers of one pool.

    A speed is relative to the mean of the pool: a worker of speed 2 ends a task in half
    the time of one of speed 1.
    """

    def speed(self, worker: str) -> float:
        """Return the speed of a worker; 1.0 while nothing is known of it."""

    def certainty(self, worker: str) -> float:
        """Return how certain the speed is, from 0 (unknown) to 1."""

    def tier(self, worker: str) -> SpeedTier:
        """Return the class of a worker; NORMAL for all if speeds do not differ."""

    @property
    def differ(self) -> bool:
        """Whether speeds differ so much that callers notice on which a task runs."""


class UnknownSpeeds:
    """Know no speeds, and learn none: all workers count as equal.

    Examples
    --------
    >>> UnknownSpeeds().tier("w1").name
    'NORMAL'
    """

    __slots__ = ()

    differ = False

    def speed(self, worker):
        """Return 1.0 for every worker."""
        return 1.0

    def certainty(self, worker):
        """Return 0.0 for every worker."""
        return 0.0

    def tier(self, worker):
        """Return NORMAL for every worker."""
        return SpeedTier.NORMAL

    def tier_counts(self):
        """Return an empty mapping, as there are no classes."""
        return {}

    def set_stretch(self, stretch):
        """Ignore the tightest stretch of the queues."""

    def add_worker(self, registration):
        """Ignore a worker."""

    def note_incarnation(self, worker, born):
        """Ignore which incarnation of a worker has reported."""

    def forget(self, worker):
        """Ignore that a worker has left."""

    def note_done(self, step, run, now):
        """Learn nothing from a run; return that no error was seen."""
        return ()

    def note_progress(self, step, projections, now):
        """Learn nothing from the progress of runs."""

    def refresh(self, now):
        """Return that nothing has changed."""
        return False
