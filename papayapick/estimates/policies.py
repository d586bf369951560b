"""Say how much room a task of some kind needs."""

import math
import threading
from collections import deque
from typing import Protocol

from papayapick.ledger import Amounts

__all__ = ["DeclaredEstimate", "EstimatePolicy", "ObservedQuantile"]

_LEAST = 20
_KEPT = 200
# Too few processors slow a task down; too little memory ends it.
_PROCESSORS_QUANTILE = 0.95
_MEMORY_QUANTILE = 0.99
_MARGIN_PERCENT = 110


class EstimatePolicy(Protocol):
    """Estimate what a task uses."""

    def observe(self, kind, used):
        """Learn the most that a task of a kind was reported to use."""

    def estimate(self, kind, declared):
        """Return the Amounts to reserve for a task of a kind."""


class DeclaredEstimate:
    """Reserve what is declared: the baseline."""

    __slots__ = ()

    def observe(self, kind, used):
        """Learn nothing."""

    def estimate(self, kind, declared):
        """Return what is declared."""
        return declared


class _Kind:
    __slots__ = ("estimate", "memory", "processors")

    def __init__(self):
        self.processors = deque(maxlen=_KEPT)
        self.memory = deque(maxlen=_KEPT)
        self.estimate = None


class ObservedQuantile:
    """Reserve a quantile of what tasks of the same kind used, with a margin.

    What is declared stands until enough tasks have ended. The last 200 of a kind
    count, so that a changed program is followed. Accelerators are taken as whole
    devices and stay as declared.

    Parameters
    ----------
    ledger : HostLedger
        An estimate that no host holds is cut to what the largest one holds: a job
        that was accepted must not become one that never runs.
    quantile : float
        Of the processors used.

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

    __slots__ = ("_kinds", "_ledger", "_lock", "_quantile")

    def __init__(self, ledger, quantile=_PROCESSORS_QUANTILE):
        self._ledger = ledger
        self._quantile = quantile
        self._kinds = {}
        self._lock = threading.Lock()

    def observe(self, kind, used):
        """Learn the most that a task of a kind was reported to use."""
        with self._lock:
            found = self._kinds.setdefault(kind, _Kind())
            found.processors.append(used.processors)
            found.memory.append(used.memory)
            found.estimate = None

    def estimate(self, kind, declared):
        """Return the quantile seen with its margin, else what is declared."""
        with self._lock:
            found = self._kinds.get(kind)
            if found is None or len(found.processors) < _LEAST:
                return declared
            if found.estimate is None:
                found.estimate = (
                    _quantile(found.processors, self._quantile),
                    _quantile(found.memory, _MEMORY_QUANTILE),
                )
            processors, memory = found.estimate
        wanted = Amounts(processors, memory, declared.accelerators)
        if self._ledger.could_hold(wanted):
            return wanted
        return self._cut(wanted, declared)

    def _cut(self, wanted, declared):
        held = [
            Amounts(
                min(wanted.processors, capacity.processors),
                min(wanted.memory, capacity.memory),
                wanted.accelerators,
            )
            for capacity in self._ledger.capacities()
            if wanted.accelerators <= capacity.accelerators
        ]
        if not held:
            return declared
        return max(held, key=lambda found: (found.processors, found.memory))


def _quantile(values, quantile):
    ordered = sorted(values)
    place = min(len(ordered) - 1, math.ceil(quantile * len(ordered)) - 1)
    return -(-ordered[place] * _MARGIN_PERCENT // 100)
