"""Detect unhealthy instances by failures, latency and unanswered calls."""

import math
import statistics

__all__ = ["HealthRules", "InstanceHealth"]

DONE, FAILED, UNKNOWN = "done", "failed", "unknown"
LEAVING = "leaving"
_ANSWERED = (DONE, LEAVING)
_MIN_SUCCESS_SHARE = 0.05
_MIN_WARM_UP_SHARE = 0.1
# Latency below this multiple of the median is treated as the median.
_NOISE_FACTOR = 2.0
# A share of failures up to this is treated as none.
_NOISE_FAILURES = 0.4
# Time constant with which old samples lose weight.
_DECAY_SECONDS = 10.0


class HealthRules:
    """Thresholds for the ejection of an instance and its return.

    Parameters
    ----------
    failures_in_row : int
        Consecutive failures that eject an instance at once.
    failure_share : float
        Share of failures that ejects an instance after ``least_samples``, if it is also
        more than twice the median share of the service's instances.
    slow_factor : float
        Multiple of the median latency of the service's instances above which an
        instance is ejected as slow.
    least_samples : int
        Minimum number of samples for an ejection by share of failures or latency.
    ejected_share : float
        Maximum share of a service's instances that may be ejected at once.
    ejection_seconds, longest_ejection_seconds : float
        Time until the first probe, and its maximum; each failed probe doubles it.
    slow_start_seconds : float
        Time over which the load of a returned instance is raised to normal.
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


class _InstanceRecord:
    """Moving averages, ejection state and calls in flight of one instance.

    ``latency`` and ``failures`` are moving averages; ``failures`` is a share.
    """

    __slots__ = (
        "ejected_until",
        "ejections",
        "failure_streak",
        "failures",
        "in_flight",
        "last_sample_at",
        "latency",
        "returned_at",
        "samples",
    )

    def __init__(self, now):
        self.latency = None
        self.failures = 0.0
        self.samples = 0
        self.last_sample_at = now
        self.failure_streak = 0
        self.ejections = 0
        self.ejected_until = None
        self.returned_at = now
        self.in_flight = {}

    def oldest_age(self, now):
        """Return the age of the oldest call in flight, 0 if there is none."""
        started = next(iter(self.in_flight.values()), now)
        return now - started


class InstanceHealth:
    """Track the health of each instance by the outcomes of its calls.

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
        """Record that a call is about to be sent to an instance."""
        now = self._clock.monotonic()
        self._record(service, name, now).in_flight[grant] = now
        self._grants[grant] = (service, name)

    def ended(self, grant, outcome, seconds):
        """Record the outcome of a call.

        Parameters
        ----------
        grant : hashable
        outcome : {"done", "leaving", "failed", "unknown", ...}
            Any other outcome says nothing about the instance.
        seconds : float
            From sending the call until its answer or time-out.
        """
        service, name = self._grants.pop(grant, (None, None))
        if name is None:
            return
        record = self._records[service][name]
        record.in_flight.pop(grant, None)
        if outcome in _ANSWERED:
            self._note_answer(service, record, seconds)
        elif outcome in (FAILED, UNKNOWN):
            self._note_failure(service, record, outcome, seconds)

    def is_ejected(self, service, name):
        """Return whether an instance is ejected: it gets no calls except probes."""
        record = self._records.get(service, {}).get(name)
        return record is not None and record.ejected_until is not None

    def is_probe_due(self, service, name):
        """Return whether the next call should probe an ejected instance."""
        record = self._records.get(service, {}).get(name)
        return (
            record is not None
            and record.ejected_until is not None
            and record.ejected_until <= self._clock.monotonic()
            and not record.in_flight
        )

    def cost(self, service, name, busy):
        """Return the relative cost of one more call to an instance.

        The cost is the number of calls in flight times the latency, divided by the
        share of successes and the progress of the slow start. An instance that fails
        immediately is always idle and fast, so its call count alone would attract all
        calls.
        """
        now = self._clock.monotonic()
        record = self._record(service, name, now)
        rules = self._rules
        median = self._medians.get(service) or 1.0
        latency, failure_share = self._expected_values(record, median, now)
        age = record.oldest_age(now)
        if age > rules.slow_factor * latency:
            # An unresponsive instance yields no samples; use its oldest open call.
            latency = age
        success = max(_MIN_SUCCESS_SHARE, 1 - failure_share)
        warm_up_share = max(
            _MIN_WARM_UP_SHARE,
            min(1.0, (now - record.returned_at) / rules.slow_start_seconds),
        )
        return (busy + 1) * latency / (success * warm_up_share)

    @staticmethod
    def _expected_values(record, median, now):
        """Return the expected latency and share of failures.

        Deviations within the noise of the requests are ignored. Old samples lose
        weight, since an instance that is avoided gets no calls that could show its
        recovery.
        """
        weight = math.exp((record.last_sample_at - now) / _DECAY_SECONDS)
        latency, failures = median, record.failures * weight
        if record.latency is not None:
            latency = median + (record.latency - median) * weight
        if latency < _NOISE_FACTOR * median:
            latency = median
        return latency, failures if failures > _NOISE_FAILURES else 0.0

    def _record(self, service, name, now):
        records = self._records.setdefault(service, {})
        if name not in records:
            records[name] = _InstanceRecord(now)
        return records[name]

    def _note_answer(self, service, record, seconds):
        record.failure_streak = 0
        self._add_sample(record, seconds, 0.0)
        self._update_median(service)
        if record.ejected_until is None:
            if self._is_slow(service, record):
                self._eject(service, record)
        elif seconds <= self._rules.slow_factor * (self._medians[service] or seconds):
            self._readmit(record, seconds)
        else:
            self._schedule_probe(record)

    def _note_failure(self, service, record, outcome, seconds):
        record.failure_streak += 1
        latency = None
        if outcome == UNKNOWN and seconds > (record.latency or 0.0):
            # The answer would have taken even longer.
            latency = seconds
        self._add_sample(record, latency, 1.0)
        if record.ejected_until is not None:
            self._schedule_probe(record)
        elif self._is_failing(service, record) or self._is_slow(service, record):
            self._eject(service, record)

    def _add_sample(self, record, seconds, failure):
        weight = self._rules.smoothing
        record.samples += 1
        record.last_sample_at = self._clock.monotonic()
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
        if record.failure_streak >= rules.failures_in_row:
            return True
        if (
            record.samples < rules.least_samples
            or record.failures < rules.failure_share
        ):
            return False
        shares = [other.failures for other in self._records[service].values()]
        # If all instances fail alike, the cause is in the requests or in a shared
        # dependency, and an ejection would only reduce capacity.
        return record.failures > 2 * statistics.median_low(shares)

    def _eject(self, service, record):
        records = self._records[service].values()
        ejected = sum(other.ejected_until is not None for other in records)
        if ejected + 1 > self._rules.ejected_share * len(records):
            # Beyond this share, the load of the ejected instances would overload the
            # others.
            return
        self._schedule_probe(record)
        self._update_median(service)

    def _schedule_probe(self, record):
        rules = self._rules
        seconds = rules.ejection_seconds * 2 ** min(record.ejections, 16)
        record.ejections += 1
        record.ejected_until = self._clock.monotonic() + min(
            rules.longest_ejection_seconds, seconds
        )

    def _readmit(self, record, seconds):
        record.ejected_until = None
        record.ejections = max(0, record.ejections - 1)
        record.failures = 0.0
        record.failure_streak = 0
        record.samples = 0
        record.latency = seconds
        record.returned_at = self._clock.monotonic()
