"""Rate limits with token buckets."""

import threading

from papayapick.limits.exceptions import CallerOverLimit

__all__ = ["CallerLimits", "TokenBucket"]


class TokenBucket:
    """Grant tokens at a rate, with bursts up to a limit.

    Parameters
    ----------
    rate : float
        Tokens per second.
    burst : float
        Most tokens that can accumulate.
    clock : Clock

    Examples
    --------
    >>> from papayapick.clock import ManualClock
    >>> bucket = TokenBucket(10, 1, ManualClock())
    >>> bucket.take(), round(bucket.take(), 3)
    (0.0, 0.1)
    """

    __slots__ = ("_burst", "_clock", "_lock", "_rate", "_refilled_at", "_tokens")

    def __init__(self, rate, burst, clock):
        self._rate = rate
        self._burst = burst
        self._clock = clock
        self._tokens = float(burst)
        self._refilled_at = clock.monotonic()
        self._lock = threading.Lock()

    def set_rate(self, rate, burst):
        """Change rate and burst; tokens above the new burst are lost."""
        with self._lock:
            self._refill()
            self._rate = rate
            self._burst = burst
            self._tokens = min(self._tokens, burst)

    def take(self, tokens=1):
        """Take tokens if there are enough.

        Returns
        -------
        float
            0.0 if they were taken, else the seconds until there are enough.
        """
        with self._lock:
            self._refill()
            if self._tokens >= tokens:
                self._tokens -= tokens
                return 0.0
            return (tokens - self._tokens) / self._rate

    def _refill(self):
        now = self._clock.monotonic()
        refilled = self._tokens + (now - self._refilled_at) * self._rate
        self._tokens = min(self._burst, refilled)
        self._refilled_at = now


class CallerLimits:
    """Limit each caller to the rate that the bundle sets for it.

    Every gateway admits an equal share of each rate, namely the rate divided by the
    number of live gateways: the load balancer spreads a caller's requests, and no
    gateway knows how many the others admit. A caller that is not in the bundle is not
    limited.

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
        """Apply the callers' limits of a bundle; unchanged ones keep their bucket."""
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
        """Count one request, and raise CallerOverLimit if it exceeds the rate."""
        bucket = self._buckets.get(caller)
        if bucket is None:
            return
        self._update_shares()
        wait = bucket.take()
        if wait:
            raise CallerOverLimit(caller=caller, retry_after=wait)

    def _update_shares(self):
        count = max(1, self._gateways())
        if count == self._count:
            return
        with self._lock:
            self._count = count
            for name, bucket in self._buckets.items():
                bucket.set_rate(*self._share(self._limits[name]))

    def _share(self, limit):
        rate = limit["requests_per_second"] / self._count
        # With a burst below one token, no request would ever be admitted.
        return rate, max(1.0, limit["burst"] / self._count)
