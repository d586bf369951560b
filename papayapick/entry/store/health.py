"""Track whether the store answers this host."""

__all__ = ["LOST_AGE_SECONDS", "StoreHealth"]

# Tasks that follow tables get an answer every 1.2 s even when nothing changes.
_OVERDUE_SECONDS = 1.7
# Reported to other hosts as the age of the last answer while the store is lost.
LOST_AGE_SECONDS = 1000.0


class StoreHealth:
    """Track when the store last answered, and since when it has failed to answer.

    Parameters
    ----------
    clock : Clock
    """

    __slots__ = ("_answered_at", "_clock", "_failed_at", "_lost_at")

    def __init__(self, clock):
        self._clock = clock
        self._answered_at = None
        self._failed_at = None
        self._lost_at = None

    def note_answer(self):
        """Record that the store has answered a call."""
        self._answered_at = self._clock.monotonic()
        self._lost_at = None

    def note_failure(self):
        """Record that a call of the store had no answer or was refused."""
        self._failed_at = self._clock.monotonic()
        if self._lost_at is None:
            self._lost_at = self._failed_at

    def is_lost(self):
        """Return whether the last call failed or the last answer is overdue."""
        if self._answered_at is None:
            return True
        if self.age() > _OVERDUE_SECONDS:
            if self._lost_at is None:
                self._lost_at = self._clock.monotonic()
            return True
        return self._failed_at is not None and self._failed_at > self._answered_at

    def lost_at(self):
        """Return since when the store fails to answer this host, or None."""
        return self._lost_at if self.is_lost() else None

    def age(self):
        """Return the seconds since the store last answered this host."""
        if self._answered_at is None:
            return float("inf")
        return self._clock.monotonic() - self._answered_at

    def logged_age(self):
        """Return the age for log events, or None before the first answer."""
        return None if self._answered_at is None else round(self.age(), 3)

    def reported_age(self):
        """Return the age that is reported to other hosts.

        It is LOST_AGE_SECONDS while the store is lost: an earlier answer does not
        show that the store would answer now.
        """
        return LOST_AGE_SECONDS if self.is_lost() else self.age()
