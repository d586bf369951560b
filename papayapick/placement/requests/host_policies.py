"""Policies that choose the host of one task."""

from typing import Protocol

__all__ = ["BestFit", "FirstFit", "HostPolicy", "LeastLoadedHost", "RandomFit"]


class HostPolicy(Protocol):
    """Choose an open host with room for a demand."""

    def choose(self, ledger, demand):
        """Return the name of a host, or None if none has room."""


class BestFit:
    """Choose the host that has the least room left after the placement."""

    __slots__ = ()

    def choose(self, ledger, demand):
        """Return the best fit from the ledger's index, or None."""
        return ledger.best_fit(demand)


class RandomFit:
    """Draw hosts at random until one has room; a baseline for benchmarks.

    Parameters
    ----------
    generator : random.Random
    draws : int
        Number of draws after which all hosts are examined.
    """

    __slots__ = ("_draws", "_generator")

    def __init__(self, generator, draws=16):
        self._generator = generator
        self._draws = draws

    def choose(self, ledger, demand):
        """Return a random host with room, or None."""
        names = ledger.open_hosts()
        for _ in range(self._draws if names else 0):
            name = self._generator.choice(names)
            if demand.fits_in(ledger.free(name)):
                return name
        fitting = [name for name in names if demand.fits_in(ledger.free(name))]
        return self._generator.choice(fitting) if fitting else None


class FirstFit:
    """Choose the first host with room, in the ledger's order; a baseline."""

    __slots__ = ()

    def choose(self, ledger, demand):
        """Return the first host with room, or None."""
        for name in ledger.open_hosts():
            if demand.fits_in(ledger.free(name)):
                return name
        return None


class LeastLoadedHost:
    """Choose the host with most free processors; a baseline for benchmarks."""

    __slots__ = ()

    def choose(self, ledger, demand):
        """Return the host with room that has most free processors, or None."""
        fitting = [
            name for name in ledger.open_hosts() if demand.fits_in(ledger.free(name))
        ]
        if not fitting:
            return None
        return max(fitting, key=lambda name: ledger.free(name).processors)
