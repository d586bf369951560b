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
    """Choose one instance with a free slot, and hear what became of the call."""

    def choose(self, ledger, service, avoid=()):
        """Return the name of an instance, or None where none has room."""

    def granted(self, service, name, grant):
        """Note that a call is about to go to an instance."""

    def ended(self, grant, outcome, seconds):
        """Note what became of the call."""

    def free_slots(self, ledger, service):
        """Return the free slots that the policy would use."""


class _Unheeding:
    """Hear nothing of what became of the calls."""

    __slots__ = ()

    def granted(self, service, name, grant):
        """Note nothing."""

    def ended(self, grant, outcome, seconds):
        """Note nothing."""

    def free_slots(self, ledger, service):
        """Return the free slots of the open instances."""
        return ledger.free_slots(service)


def _with_room(ledger, service, avoid):
    """Return name and slots in use of instances with room, preferably not avoided."""
    found = [
        (name, busy)
        for name, busy, limit in ledger.open_instances(service)
        if busy < limit
    ]
    return [one for one in found if one[0] not in avoid] or found


class HealthAware:
    """Take the cheapest of the instances that are well.

    Instances that fail or answer late are ejected for a while, then probed by
    one call at a time.

    Parameters
    ----------
    health : InstanceHealth
    generator : random.Random
        Breaks ties; otherwise the first of equals would get all the work.
    draws : int, optional
        Compare so many random draws instead of all instances.
    """

    __slots__ = ("_draws", "_generator", "_health")

    def __init__(self, health, generator, draws=None):
        self._health = health
        self._generator = generator
        self._draws = draws

    def choose(self, ledger, service, avoid=()):
        """Return a due probe, else the cheapest instance that is well."""
        health = self._health
        usable = []
        for name, busy in _with_room(ledger, service, avoid):
            if not health.is_ejected(service, name):
                usable.append((name, busy))
            elif name not in avoid and health.is_probe_due(service, name):
                # Left to its cost, an ejected instance would never be tried.
                return name
        if not usable:
            if self._has_well(ledger, service):
                return None
            # All that are open were ejected: refusing would help nobody.
            usable = _with_room(ledger, service, avoid)
            if not usable:
                return None
        if self._draws and len(usable) > self._draws:
            usable = self._generator.sample(usable, self._draws)
        draw = self._generator.random
        return min(
            usable,
            key=lambda found: (health.cost(service, *found), draw()),
        )[0]

    def granted(self, service, name, grant):
        """Note that a call is about to go to an instance."""
        self._health.granted(service, name, grant)

    def ended(self, grant, outcome, seconds):
        """Note what became of the call."""
        self._health.ended(grant, outcome, seconds)

    def free_slots(self, ledger, service):
        """Return the free slots of instances that are not ejected.

        The idle slots of a failing instance would draw load to its shard.
        """
        return sum(
            max(0, limit - busy)
            for name, busy, limit in ledger.open_instances(service)
            if not self._health.is_ejected(service, name)
        )

    def _has_well(self, ledger, service):
        return any(
            not self._health.is_ejected(service, name)
            for name, _, _ in ledger.open_instances(service)
        )


class PowerOfTwo(_Unheeding):
    """Draw two instances and take the one with fewer slots in use.

    Parameters
    ----------
    generator : random.Random
    """

    __slots__ = ("_generator",)

    def __init__(self, generator):
        self._generator = generator

    def choose(self, ledger, service, avoid=()):
        """Return the less loaded of two draws with room, else any with room."""
        found = _with_room(ledger, service, avoid)
        if not found:
            return None
        first = self._generator.choice(found)
        second = self._generator.choice(found)
        return min(first, second, key=lambda one: one[1])[0]


class RandomInstance(_Unheeding):
    """Take any instance with room.

    Parameters
    ----------
    generator : random.Random
    """

    __slots__ = ("_generator",)

    def __init__(self, generator):
        self._generator = generator

    def choose(self, ledger, service, avoid=()):
        """Return any instance with room."""
        found = _with_room(ledger, service, avoid)
        return self._generator.choice(found)[0] if found else None


class LeastLoaded(_Unheeding):
    """Take the least loaded of all: the baseline that looks at every one."""

    __slots__ = ()

    def choose(self, ledger, service, avoid=()):
        """Return the least loaded instance with room."""
        found = _with_room(ledger, service, avoid)
        return min(found, key=lambda one: one[1])[0] if found else None


class RoundRobin(_Unheeding):
    """Take the instances in turn: the simplest baseline."""

    __slots__ = ("_next",)

    def __init__(self):
        self._next = 0

    def choose(self, ledger, service, avoid=()):
        """Return the next instance with room."""
        found = ledger.open_instances(service)
        for _ in range(len(found)):
            name, busy, limit = found[self._next % len(found)]
            self._next += 1
            if busy < limit and name not in avoid:
                return name
        return None
