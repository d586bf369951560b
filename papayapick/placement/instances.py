"""Choose an instance of a service for one call."""

from typing import Protocol

__all__ = ["InstancePolicy", "LeastLoaded", "PowerOfTwo", "RoundRobin"]


class InstancePolicy(Protocol):
    """Choose one instance with a free slot."""

    def choose(self, ledger, service, avoid=()):
        """Return the name of an instance, or None where none has room."""


class PowerOfTwo:
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
        names = ledger.open_instances(service)
        candidates = [found for found in names if found[1] < found[2]]
        preferred = [found for found in candidates if found[0] not in avoid]
        candidates = preferred or candidates
        if not candidates:
            return None
        first = self._generator.choice(candidates)
        second = self._generator.choice(candidates)
        return min(first, second, key=lambda found: found[1])[0]


class LeastLoaded:
    """Take the least loaded of all: the baseline that looks at every one."""

    __slots__ = ()

    def choose(self, ledger, service, avoid=()):
        """Return the least loaded instance with room."""
        found = [
            one
            for one in ledger.open_instances(service)
            if one[1] < one[2] and one[0] not in avoid
        ]
        return min(found, key=lambda one: one[1])[0] if found else None


class RoundRobin:
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
