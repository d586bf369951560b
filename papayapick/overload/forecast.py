"""What an owner forecasts for work that comes now, as the hosts receive it."""

import math

__all__ = ["MAX_AGE_SECONDS", "PoolForecast", "QueueForecast"]

# An owner that dies or freezes while its pool is full must not go on refusing.
MAX_AGE_SECONDS = 1.0


class QueueForecast:
    """Hold when jobs of one queue that come now would begin, in seconds from the count.

    Parameters
    ----------
    earliest : float
        Lower bound for a job within its team's rate, whatever its length. Negative
        while there is room: the seconds of work that the pool takes in before any
        waits.
    patient_earliest : float
        The same for a job that may wait for at least ``patience``.
    patience : float
        Time that a usual job of the queue may wait and still be of use.
    latest : float
        Upper bound, as far as the last seconds tell; may be infinite.
    surplus_earliest, surplus_patient_earliest, surplus_latest : float
        The same for a job beyond its team's rate; each may be infinite.
    """

    __slots__ = (
        "earliest",
        "latest",
        "patience",
        "patient_earliest",
        "surplus_earliest",
        "surplus_latest",
        "surplus_patient_earliest",
    )

    def __init__(
        self,
        earliest,
        patient_earliest,
        patience,
        latest,
        surplus_earliest,
        surplus_patient_earliest,
        surplus_latest,
    ):
        self.earliest = earliest
        self.patient_earliest = patient_earliest
        self.patience = patience
        self.latest = latest
        self.surplus_earliest = surplus_earliest
        self.surplus_patient_earliest = surplus_patient_earliest
        self.surplus_latest = surplus_latest

    def earliest_for(self, patience, is_surplus=False):
        """Return the lower bound for a job that may wait for some seconds.

        Parameters
        ----------
        patience : float
        is_surplus : bool, optional
            Whether the job is beyond its team's rate.
        """
        if patience < self.patience:
            return self.surplus_earliest if is_surplus else self.earliest
        return self.surplus_patient_earliest if is_surplus else self.patient_earliest


class PoolForecast:
    """Hold the forecast of one pool.

    Parameters
    ----------
    queues : dict of str to QueueForecast
    owed_again : dict of str to float
        Seconds from the count until a job of a team is owed, by team, for teams beyond
        their rate.
    processors : float
        Cores of the pool at most for work that ends.
    counted_at : float
        Monotonic seconds of the count.
    known_at : float
        Monotonic seconds as of which all jobs are counted; never later than
        ``counted_at``.
    """

    __slots__ = ("counted_at", "known_at", "owed_again", "processors", "queues")

    def __init__(self, queues, owed_again, processors, counted_at, known_at=-math.inf):
        self.queues = queues
        self.owed_again = owed_again
        self.processors = processors
        self.counted_at = counted_at
        self.known_at = known_at

    def is_recent(self, now):
        """Return whether the forecast may be relied on.

        Parameters
        ----------
        now : float
            Monotonic seconds.
        """
        # A count ahead of this clock can't be dated.
        is_dated = self.known_at <= now and self.counted_at <= now
        return is_dated and now - self.known_at <= MAX_AGE_SECONDS
