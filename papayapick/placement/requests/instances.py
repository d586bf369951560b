"""Choose an instance of a service for one call."""

from typing import Protocol

__all__ = [
    "HealthAware",
    "InstancePolicy",
    "LeastLoaded",
    "PowerOfTwo",
    "RandomInstance",
    "RoundRobin",
]


class InstancePolicy(Protocol):
    """Choose an instance with a free slot, and track the outcomes of its calls."""

    def choose(self, ledger, service, avoid=()):
        """Return the name of an instance, or None if none has a free slot."""

    def granted(self, service, name, grant):
        """Record that a call is about to be sent to an instance."""

    def ended(self, grant, outcome, seconds):
        """Record the outcome of a call."""

    def free_slots(self, ledger, service):
        """Return the number of free slots that the policy would use."""


class _OutcomeBlindPolicy:
    """Base of policies that ignore the outcomes of calls."""

    __slots__ = ()

    def granted(self, service, name, grant):
        """Ignore the call."""

    def ended(self, grant, outcome, seconds):
        """Ignore the outcome."""

    def free_slots(self, ledger, service):
        """Return the number of free slots of the open instances."""
        return ledger.free_slots(service)


class _DrawingPolicy(_OutcomeBlindPolicy):
    """Base of policies that draw instances at random.

    Parameters
    ----------
    generator : random.Random
    """

    __slots__ = ("_generator",)

    def __init__(self, generator):
        self._generator = generator


def _with_free_slot(ledger, service, avoid):
    """Return name and slots in use of instances with a free slot.

    Instances to avoid are returned only if no other has a free slot.
    """
    candidates = [
        (name, busy)
        for name, busy, limit in ledger.open_instances(service)
        if busy < limit
    ]
    return [entry for entry in candidates if entry[0] not in avoid] or candidates


class HealthAware:
    """Choose the healthy instance with the lowest cost.

    Instances that fail or answer late are ejected for a time, then probed by one
    call at a time.

    Parameters
    ----------
    health : InstanceHealth
    generator : random.Random
        Breaks ties; otherwise the first of equal instances would get all calls.
    draws : int, optional
        Number of instances drawn at random and compared; all by default.
    """

    __slots__ = ("_draws", "_generator", "_health")

    def __init__(self, health, generator, draws=None):
        self._health = health
        self._generator = generator
        self._draws = draws

    def choose(self, ledger, service, avoid=()):
        """Return an instance due for a probe, else the cheapest healthy one."""
        health = self._health
        usable = []
        for name, busy in _with_free_slot(ledger, service, avoid):
            if not health.is_ejected(service, name):
                usable.append((name, busy))
            elif name not in avoid and health.is_probe_due(service, name):
                # By its cost alone, an ejected instance would never be chosen.
                return name
        if not usable:
            if self._has_healthy(ledger, service):
                return None
            # All open instances are ejected: use them rather than refuse every call.
            usable = _with_free_slot(ledger, service, avoid)
            if not usable:
                return None
        if self._draws and len(usable) > self._draws:
            usable = self._generator.sample(usable, self._draws)
        draw = self._generator.random
        return min(
            usable,
            key=lambda entry: (health.cost(service, *entry), draw()),
        )[0]

    def granted(self, service, name, grant):
        """Record that a call is about to be sent to an instance."""
        self._health.granted(service, name, grant)

    def ended(self, grant, outcome, seconds):
        """Record the outcome of a call."""
        self._health.ended(grant, outcome, seconds)

    def free_slots(self, ledger, service):
        """Return the number of free slots of instances that are not ejected.

        Counting the idle slots of a failing instance would attract load to its shard.
        """
        return sum(
            max(0, limit - busy)
            for name, busy, limit in ledger.open_instances(service)
            if not self._health.is_ejected(service, name)
        )

    def _has_healthy(self, ledger, service):
        return any(
            not self._health.is_ejected(service, name)
            for name, _, _ in ledger.open_instances(service)
        )


class PowerOfTwo(_DrawingPolicy):
    """Draw two instances at random and choose the one with fewer slots in use."""

    __slots__ = ()

    def choose(self, ledger, service, avoid=()):
        """Return the less loaded of two instances with a free slot, or None."""
        candidates = _with_free_slot(ledger, service, avoid)
        if not candidates:
            return None
        first = self._generator.choice(candidates)
        second = self._generator.choice(candidates)
        return min(first, second, key=lambda entry: entry[1])[0]


class RandomInstance(_DrawingPolicy):
    """Choose a random instance with a free slot."""

    __slots__ = ()

    def choose(self, ledger, service, avoid=()):
        """Return a random instance with a free slot, or None."""
        candidates = _with_free_slot(ledger, service, avoid)
        return self._generator.choice(candidates)[0] if candidates else None


class LeastLoaded(_OutcomeBlindPolicy):
    """Choose the least loaded of all instances; a baseline for benchmarks."""

    __slots__ = ()

    def choose(self, ledger, service, avoid=()):
        """Return the least loaded instance with a free slot, or None."""
        candidates = _with_free_slot(ledger, service, avoid)
        return min(candidates, key=lambda entry: entry[1])[0] if candidates else None


class RoundRobin(_OutcomeBlindPolicy):
    """Choose the instances in turn; a baseline for benchmarks."""

    __slots__ = ("_next",)

    def __init__(self):
        self._next = 0

    def choose(self, ledger, service, avoid=()):
        """Return the next instance with a free slot, or None."""
        candidates = ledger.open_instances(service)
        for _ in range(len(candidates)):
            name, busy, limit = candidates[self._next % len(candidates)]
            self._next += 1
            if busy < limit and name not in avoid:
                return name
        return None
