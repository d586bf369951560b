"""Decide when a process far from the store looks at what it keeps there."""

__all__ = ["PollGate"]

_LONGEST_SECONDS = 20.0


class PollGate:
    """Let a look through where something may have changed.

    Each look of a process in another region than the store's crosses the paid
    link. Such a process hears from placers near the store whether the bundle's
    head or the live list has changed, and looks then. Where it hears of none of
    them, where it was paused, and from time to time in any case, it looks.

    Parameters
    ----------
    clock : Clock
    has_store_contact : callable
        Returns whether a live placer of the store's region is known, False for
        a process that stands there itself.
    """

    __slots__ = ("_clock", "_has_store_contact", "_last_poll_at")

    def __init__(self, clock, has_store_contact):
        self._clock = clock
        self._has_store_contact = has_store_contact
        self._last_poll_at = float("-inf")

    def is_due(self, has_changed):
        """Return whether to look now, and count the look as made.

        Parameters
        ----------
        has_changed : bool
        """
        now = self._clock.monotonic()
        is_unchanged = self._has_store_contact() and not has_changed
        if is_unchanged and now - self._last_poll_at < _LONGEST_SECONDS:
            return False
        self._last_poll_at = now
        return True
