"""Policies that estimate the resources to reserve for a task."""

import math
import threading
from collections import deque
from typing import Protocol

from papayapick.ledger import Amounts

__all__ = ["DeclaredEstimate", "EstimatePolicy", "ObservedQuantile"]

_MIN_SAMPLES = 20
_WINDOW_SIZE = 200
# The quantile of memory is higher: a task with too few processors only runs slowly, but
# one with too little memory is killed.
_PROCESSORS_QUANTILE = 0.95
_MEMORY_QUANTILE = 0.99
_PERCENT_WITH_MARGIN = 110


class EstimatePolicy(Protocol):
    """Estimate the resource usage of a task."""

    def observe(self, kind, used):
        """Record the peak usage that was reported for a task of a kind."""

    def estimate(self, kind, declared):
        """Return the Amounts to reserve for a task of a kind.

        Parameters
        ----------
        kind : str
        declared : Amounts
            Demand that the caller declared.
        """


class DeclaredEstimate:
    """Reserve the declared amounts: the baseline for comparisons."""

    __slots__ = ()

    def observe(self, kind, used):
        """Ignore the usage."""

    def estimate(self, kind, declared):
        """Return the declared amounts."""
        return declared


class _Samples:
    __slots__ = ("estimate", "memory", "processors")

    def __init__(self):
        self.processors = deque(maxlen=_WINDOW_SIZE)
        self.memory = deque(maxlen=_WINDOW_SIZE)
        self.estimate = None


class ObservedQuantile:
    """Reserve a quantile of the usage of tasks of the same kind, plus a margin.

    The declared amounts apply until enough tasks have ended. Only the latest 200 tasks
    of a kind count, so that the estimate adapts when a program changes. Accelerators
    are allocated as whole devices, so their declared number always applies.

    Parameters
    ----------
    ledger : HostLedger
        An estimate that exceeds the capacity of every host is reduced to that of the
        largest one. Otherwise a job that was accepted would never run.
    quantile : float
        Quantile of the processors in use.

    Examples
    --------
    >>> from papayapick.ledger import HostLedger
    >>> ledger = HostLedger()
    >>> ledger.add("worker-1", Amounts(16000, 65536))
    >>> policy = ObservedQuantile(ledger)
    >>> for _ in range(20):
    ...     policy.observe("comparison", Amounts(1000, 2000))
    >>> policy.estimate("comparison", Amounts(8000, 32768))
    Amounts(1100 millicores, 2200 MiB, 0 accelerators)
    """

    __slots__ = ("_samples", "_ledger", "_lock", "_quantile")

    def __init__(self, ledger, quantile=_PROCESSORS_QUANTILE):
        self._ledger = ledger
        self._quantile = quantile
        self._samples = {}
        self._lock = threading.Lock()

    def observe(self, kind, used):
        """Record the peak usage that was reported for a task of a kind."""
        with self._lock:
            samples = self._samples.setdefault(kind, _Samples())
            samples.processors.append(used.processors)
            samples.memory.append(used.memory)
            samples.estimate = None

    def estimate(self, kind, declared):
        """Return the observed quantile with its margin, or the declared amounts."""
        with self._lock:
            samples = self._samples.get(kind)
            if samples is None or len(samples.processors) < _MIN_SAMPLES:
                return declared
            if samples.estimate is None:
                samples.estimate = (
                    _quantile(samples.processors, self._quantile),
                    _quantile(samples.memory, _MEMORY_QUANTILE),
                )
            processors, memory = samples.estimate
        estimate = Amounts(processors, memory, declared.accelerators)
        if self._ledger.could_hold(estimate):
            return estimate
        return self._reduce_to_capacity(estimate, declared)

    def _reduce_to_capacity(self, estimate, declared):
        reduced = [
            Amounts(
                min(estimate.processors, capacity.processors),
                min(estimate.memory, capacity.memory),
                estimate.accelerators,
            )
            for capacity in self._ledger.capacities()
            if estimate.accelerators <= capacity.accelerators
        ]
        if not reduced:
            return declared
        return max(reduced, key=lambda amounts: (amounts.processors, amounts.memory))


def _quantile(values, quantile):
    ordered = sorted(values)
    position = min(len(ordered) - 1, math.ceil(quantile * len(ordered)) - 1)
    return -(-ordered[position] * _PERCENT_WITH_MARGIN // 100)
