"""Hold whether the store answers this host."""

__all__ = ["LOST_AGE_SECONDS", "StoreHealth"]

# Followers have an answer each 1.2 s when nothing changes.
_OVERDUE_SECONDS = 1.7
# Stands for "not at all" where the age of its last answer is told.
LOST_AGE_SECONDS = 1000.0


class StoreHealth:
    """Keep when the store last answered, and since when it fails to.

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
        """Note that the store has answered."""
        self._answered_at = self._clock.monotonic()
        self._lost_at = None

    def note_failure(self):
        """Note that a call of the store had no answer or was refused."""
        self._failed_at = self._clock.monotonic()
        if self._lost_at is None:
            self._lost_at = self._failed_at

    def is_lost(self):
        """Return whether the store did not answer this host lately."""
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

    def shown_age(self):
        """Return the age for a line of the log, or None before the first answer."""
        return None if self._answered_at is None else round(self.age(), 3)

    def told_age(self):
        """Return the age to tell other hosts.

        Long where the last call failed: what the store said before is no sign that
        it would answer now.
        """
        return LOST_AGE_SECONDS if self.is_lost() else self.age()
