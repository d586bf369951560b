"""Judge instances by their answers: failures, latency, and calls left open."""

import math
import statistics

__all__ = ["HealthRules", "InstanceHealth"]

DONE, FAILED, UNKNOWN = "done", "failed", "unknown"
LEAVING = "leaving"
_ANSWERED = (DONE, LEAVING)
_LEAST_SUCCESS = 0.05
_LEAST_WARMTH = 0.1
_NOISE_FACTOR = 2.0
_NOISE_FAILURES = 0.4
_FORGET_SECONDS = 10.0


class HealthRules:
    """Set when an instance is ejected and how it returns.

    Parameters
    ----------
    failures_in_row : int
        Ejects at once.
    failure_share : float
        Ejects after ``least_samples``, where the others fail clearly less.
    slow_factor : float
        Times the median latency of the instances of the service.
    least_samples : int
    ejected_share : float
        Most of a service's instances that may be ejected together.
    ejection_seconds, longest_ejection_seconds : float
        Before the first probe; doubled by each probe that fails.
    slow_start_seconds : float
    smoothing : float
        Weight of the newest sample in the moving averages.
    """

    __slots__ = (
        "ejected_share",
        "ejection_seconds",
        "failure_share",
        "failures_in_row",
        "least_samples",
        "longest_ejection_seconds",
        "slow_factor",
        "slow_start_seconds",
        "smoothing",
    )

    def __init__(
        self,
        failures_in_row=5,
        failure_share=0.5,
        slow_factor=4.0,
        least_samples=8,
        ejected_share=0.5,
        ejection_seconds=2.0,
        longest_ejection_seconds=60.0,
        slow_start_seconds=10.0,
        smoothing=0.1,
    ):
        self.failures_in_row = failures_in_row
        self.failure_share = failure_share
        self.slow_factor = slow_factor
        self.least_samples = least_samples
        self.ejected_share = ejected_share
        self.ejection_seconds = ejection_seconds
        self.longest_ejection_seconds = longest_ejection_seconds
        self.slow_start_seconds = slow_start_seconds
        self.smoothing = smoothing


class _Record:
    __slots__ = (
        "ejected_until",
        "ejections",
        "failures",
        "in_flight",
        "last_sample",
        "latency",
        "returned",
        "samples",
        "streak",
    )

    def __init__(self, now):
        self.latency = None
        self.failures = 0.0
        self.samples = 0
        self.last_sample = now
        self.streak = 0
        self.ejections = 0
        self.ejected_until = None
        self.returned = now
        self.in_flight = {}

    def oldest_age(self, now):
        started = next(iter(self.in_flight.values()), now)
        return now - started


class InstanceHealth:
    """Keep what the answers of each instance say of it.

    Parameters
    ----------
    clock : Clock
    rules : HealthRules, optional
    """

    __slots__ = ("_clock", "_grants", "_medians", "_records", "_rules")

    def __init__(self, clock, rules=None):
        self._clock = clock
        self._rules = rules or HealthRules()
        self._records = {}
        self._medians = {}
        self._grants = {}

    def granted(self, service, name, grant):
        """Note that a call is about to go to an instance."""
        now = self._clock.monotonic()
        self._record(service, name, now).in_flight[grant] = now
        self._grants[grant] = (service, name)

    def ended(self, grant, outcome, seconds):
        """Note the end of a call.

        Parameters
        ----------
        grant : hashable
        outcome : {"done", "leaving", "failed", "unknown", ...}
            Any other says nothing of the instance.
        seconds : float
            From the send to the answer, or until the caller gave up on it.
        """
        service, name = self._grants.pop(grant, (None, None))
        if name is None:
            return
        record = self._records[service][name]
        record.in_flight.pop(grant, None)
        if outcome in _ANSWERED:
            self._answered(service, record, seconds)
        elif outcome in (FAILED, UNKNOWN):
            self._failed(service, record, outcome, seconds)

    def is_ejected(self, service, name):
        """Return whether an instance gets no calls, or only a probe."""
        record = self._records.get(service, {}).get(name)
        return record is not None and record.ejected_until is not None

    def is_probe_due(self, service, name):
        """Return whether one call should find out if the instance is well again."""
        record = self._records.get(service, {}).get(name)
        return (
            record is not None
            and record.ejected_until is not None
            and record.ejected_until <= self._clock.monotonic()
            and not record.in_flight
        )

    def cost(self, service, name, busy):
        """Return the relative cost of one more call to an instance.

        Calls in flight times latency, divided by the share of successes and by
        how warm the instance is. An instance that fails at once is idle and
        fast, so that counting its calls alone would send everything there.
        """
        now = self._clock.monotonic()
        record = self._record(service, name, now)
        rules = self._rules
        median = self._medians.get(service) or 1.0
        latency, failures = self._expected(record, median, now)
        age = record.oldest_age(now)
        if age > rules.slow_factor * latency:
            # A silent instance gives no samples; its oldest open call tells.
            latency = age
        success = max(_LEAST_SUCCESS, 1 - failures)
        warmth = max(
            _LEAST_WARMTH, min(1.0, (now - record.returned) / rules.slow_start_seconds)
        )
        return (busy + 1) * latency / (success * warmth)

    @staticmethod
    def _expected(record, median, now):
        """Return latency and share of failures to count on.

        What lies within the noise of the requests says nothing of the
        instance. What is old counts less: an instance that is shunned gets no
        calls that could show it well again.
        """
        fresh = math.exp((record.last_sample - now) / _FORGET_SECONDS)
        latency, failures = median, record.failures * fresh
        if record.latency is not None:
            latency = median + (record.latency - median) * fresh
        if latency < _NOISE_FACTOR * median:
            latency = median
        return latency, failures if failures > _NOISE_FAILURES else 0.0

    def _record(self, service, name, now):
        records = self._records.setdefault(service, {})
        if name not in records:
            records[name] = _Record(now)
        return records[name]

    def _answered(self, service, record, seconds):
        record.streak = 0
        self._sample(record, seconds, 0.0)
        self._update_median(service)
        if record.ejected_until is None:
            if self._is_slow(service, record):
                self._eject(service, record)
        elif seconds <= self._rules.slow_factor * (self._medians[service] or seconds):
            self._return(record, seconds)
        else:
            self._extend(record)

    def _failed(self, service, record, outcome, seconds):
        record.streak += 1
        latency = None
        if outcome == UNKNOWN and seconds > (record.latency or 0.0):
            # The answer would have taken longer still.
            latency = seconds
        self._sample(record, latency, 1.0)
        if record.ejected_until is not None:
            self._extend(record)
        elif self._is_failing(service, record) or self._is_slow(service, record):
            self._eject(service, record)

    def _sample(self, record, seconds, failure):
        weight = self._rules.smoothing
        record.samples += 1
        record.last_sample = self._clock.monotonic()
        record.failures += weight * (failure - record.failures)
        if seconds is None:
            return
        if record.latency is None:
            record.latency = seconds
        else:
            record.latency += weight * (seconds - record.latency)

    def _update_median(self, service):
        known = [
            record.latency
            for record in self._records[service].values()
            if record.latency is not None and record.ejected_until is None
        ]
        if known:
            self._medians[service] = statistics.median_low(known)
        else:
            self._medians.setdefault(service, None)

    def _is_slow(self, service, record):
        median = self._medians.get(service)
        return (
            median is not None
            and record.latency is not None
            and record.samples >= self._rules.least_samples
            and record.latency > self._rules.slow_factor * median
        )

    def _is_failing(self, service, record):
        rules = self._rules
        if record.streak >= rules.failures_in_row:
            return True
        if (
            record.samples < rules.least_samples
            or record.failures < rules.failure_share
        ):
            return False
        shares = [found.failures for found in self._records[service].values()]
        # Where all fail alike, the requests or what lies behind the instances
        # are at fault, and ejecting would only take capacity away.
        return record.failures > 2 * statistics.median_low(shares)

    def _eject(self, service, record):
        records = self._records[service].values()
        ejected = sum(found.ejected_until is not None for found in records)
        if ejected + 1 > self._rules.ejected_share * len(records):
            # Past the cap the rest would drown in the load of the ejected.
            return
        self._extend(record)
        self._update_median(service)

    def _extend(self, record):
        rules = self._rules
        seconds = rules.ejection_seconds * 2 ** min(record.ejections, 16)
        record.ejections += 1
        record.ejected_until = self._clock.monotonic() + min(
            rules.longest_ejection_seconds, seconds
        )

    def _return(self, record, seconds):
        record.ejected_until = None
        record.ejections = max(0, record.ejections - 1)
        record.failures = 0.0
        record.streak = 0
        record.samples = 0
        record.latency = seconds
        record.returned = self._clock.monotonic()
