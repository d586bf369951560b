"""Bound rates with token buckets."""

import threading

from papayapick.limits.exceptions import CallerOverLimit

__all__ = ["CallerLimits", "TokenBucket"]


class TokenBucket:
    """Hand out tokens at a rate, up to a burst.

    Parameters
    ----------
    rate : float
        Tokens a second.
    burst : float
    clock : Clock

    Examples
    --------
    >>> from papayapick.clock import ManualClock
    >>> bucket = TokenBucket(10, 1, ManualClock())
    >>> bucket.take(), round(bucket.take(), 3)
    (0.0, 0.1)
    """

    __slots__ = ("_burst", "_clock", "_lock", "_rate", "_then", "_tokens")

    def __init__(self, rate, burst, clock):
        self._rate = rate
        self._burst = burst
        self._clock = clock
        self._tokens = float(burst)
        self._then = clock.monotonic()
        self._lock = threading.Lock()

    def take(self, tokens=1):
        """Take tokens if there are enough.

        Returns
        -------
        float
            0.0 where they were taken, else the seconds until there are enough.
        """
        with self._lock:
            now = self._clock.monotonic()
            grown = self._tokens + (now - self._then) * self._rate
            self._tokens = min(self._burst, grown)
            self._then = now
            if self._tokens >= tokens:
                self._tokens -= tokens
                return 0.0
            return (tokens - self._tokens) / self._rate


class CallerLimits:
    """Hold each caller to the rate that the bundle names for it.

    A caller that the bundle does not name is not limited here.

    Parameters
    ----------
    clock : Clock
    share : float
        Share of each rate that this gateway may admit.
    """

    __slots__ = ("_buckets", "_clock", "_limits", "_share")

    def __init__(self, clock, share=1.0):
        self._clock = clock
        self._share = share
        self._limits = {}
        self._buckets = {}

    def use_bundle(self, bundle):
        """Take the callers' limits of a bundle; unchanged ones keep their bucket."""
        limits = bundle.callers
        self._buckets = {
            name: self._buckets[name]
            if self._limits.get(name) == limit and name in self._buckets
            else TokenBucket(
                limit["requests_per_second"] * self._share, limit["burst"], self._clock
            )
            for name, limit in limits.items()
        }
        self._limits = limits

    def admit(self, caller):
        """Count one request; raise CallerOverLimit."""
        bucket = self._buckets.get(caller)
        if bucket is None:
            return
        wait = bucket.take()
        if wait:
            raise CallerOverLimit(caller=caller, retry_after=wait)
