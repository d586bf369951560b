"""Limit the share of time that a repeated computation takes.

Load pattern: hundreds of steps wait while the owner of their pool runs on a small host.
Plans and forecasts that take tens of milliseconds each, under the owner's lock, would
leave too little time to place tasks, renew leases and send heartbeats.
"""

__all__ = ["DutyCycle"]


class DutyCycle:
    """Decide when a computation may run again, by how long it took.

    Parameters
    ----------
    share : float
        Most of the time that it may take, from 0 to 1.
    interval : float, optional
        Least seconds from one run to the next.

    Examples
    --------
    >>> cycle = DutyCycle(share=0.1, interval=0.2)
    >>> cycle.note_run(10.0, 10.05)
    >>> cycle.is_due(10.4), cycle.is_due(10.6)
    (False, True)
    """

    __slots__ = ("_due_at", "_interval", "_share")

    def __init__(self, share, interval=0.0):
        self._share = share
        self._interval = interval
        self._due_at = float("-inf")

    def is_due(self, now):
        """Return whether it may run.

        Parameters
        ----------
        now : float
            Monotonic seconds.
        """
        return now >= self._due_at

    def note_run(self, begin, end):
        """Record a run.

        Parameters
        ----------
        begin, end : float
            Monotonic seconds.
        """
        self._due_at = begin + max(self._interval, (end - begin) / self._share)
