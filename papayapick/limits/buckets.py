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

    def set_rate(self, rate, burst):
        """Go on at another rate; tokens over the burst are lost."""
        with self._lock:
            self._grow()
            self._rate = rate
            self._burst = burst
            self._tokens = min(self._tokens, burst)

    def take(self, tokens=1):
        """Take tokens if there are enough.

        Returns
        -------
        float
            0.0 where they were taken, else the seconds until there are enough.
        """
        with self._lock:
            self._grow()
            if self._tokens >= tokens:
                self._tokens -= tokens
                return 0.0
            return (tokens - self._tokens) / self._rate

    def _grow(self):
        now = self._clock.monotonic()
        grown = self._tokens + (now - self._then) * self._rate
        self._tokens = min(self._burst, grown)
        self._then = now


class CallerLimits:
    """Hold each caller to the rate that the bundle names for it.

    Every gateway admits its share of each rate: rate over live gateways. The
    balancer spreads a caller's requests, and no gateway knows what the others
    admit. A caller that the bundle does not name is not limited here.

    Parameters
    ----------
    clock : Clock
    gateways : callable, optional
        Returns the number of live gateways.
    """

    __slots__ = ("_buckets", "_clock", "_count", "_gateways", "_limits", "_lock")

    def __init__(self, clock, gateways=lambda: 1):
        self._clock = clock
        self._gateways = gateways
        self._count = 1
        self._limits = {}
        self._buckets = {}
        self._lock = threading.Lock()

    def use_bundle(self, bundle):
        """Take the callers' limits of a bundle; unchanged ones keep their bucket."""
        limits = bundle.callers
        with self._lock:
            self._buckets = {
                name: self._buckets[name]
                if self._limits.get(name) == limit and name in self._buckets
                else TokenBucket(*self._share(limit), self._clock)
                for name, limit in limits.items()
            }
            self._limits = limits

    def admit(self, caller):
        """Count one request; raise CallerOverLimit."""
        bucket = self._buckets.get(caller)
        if bucket is None:
            return
        self._share_out()
        wait = bucket.take()
        if wait:
            raise CallerOverLimit(caller=caller, retry_after=wait)

    def _share_out(self):
        count = max(1, self._gateways())
        if count == self._count:
            return
        with self._lock:
            self._count = count
            for name, bucket in self._buckets.items():
                bucket.set_rate(*self._share(self._limits[name]))

    def _share(self, limit):
        rate = limit["requests_per_second"] / self._count
        # A burst under one token would never admit anything.
        return rate, max(1.0, limit["burst"] / self._count)
