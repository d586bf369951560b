"""Limit how often a process far from the store polls it."""

__all__ = ["PollGate"]

_MAX_INTERVAL_SECONDS = 20.0


class PollGate:
    """Allow a poll if what is polled may have changed.

    Each poll by a process outside the store's region crosses the paid link. Such
    a process learns from heartbeats of placers near the store whether the
    bundle's head or the host list has changed, and polls only then. It also polls
    if it knows no live placer near the store, after a pause of the process, and
    whenever the maximum interval has passed.

    Parameters
    ----------
    clock : Clock
    has_store_contact : callable
        Returns whether a live placer of the store's region is known; False in a
        process of that region.
    """

    __slots__ = ("_clock", "_has_store_contact", "_last_poll_at")

    def __init__(self, clock, has_store_contact):
        self._clock = clock
        self._has_store_contact = has_store_contact
        self._last_poll_at = float("-inf")

    def is_due(self, has_changed):
        """Return whether to poll now; if so, record the poll.

        Parameters
        ----------
        has_changed : bool
            Whether a change is known or has to be assumed.
        """
        now = self._clock.monotonic()
        is_unchanged = self._has_store_contact() and not has_changed
        if is_unchanged and now - self._last_poll_at < _MAX_INTERVAL_SECONDS:
            return False
        self._last_poll_at = now
        return True
