"""Choose a worker for one task."""

from typing import Protocol

__all__ = ["FirstFit", "HostPolicy", "LeastLoadedHost", "RandomFit", "BestFit"]


class HostPolicy(Protocol):
    """Choose one open host with room for a demand."""

    def choose(self, ledger, demand):
        """Return the name of a host, or None where none has room."""


class BestFit:
    """Ask the ledger's index for the host with least left over."""

    __slots__ = ()

    def choose(self, ledger, demand):
        """Return the tightest host that the index holds."""
        return ledger.tightest(demand)


class RandomFit:
    """Draw hosts until one has room: a baseline.

    Parameters
    ----------
    generator : random.Random
    draws : int
        After so many, all hosts are looked at.
    """

    __slots__ = ("_draws", "_generator")

    def __init__(self, generator, draws=16):
        self._generator = generator
        self._draws = draws

    def choose(self, ledger, demand):
        """Return a drawn host with room, else any with room."""
        names = ledger.open_hosts()
        for _ in range(self._draws if names else 0):
            name = self._generator.choice(names)
            if demand.fits_in(ledger.free(name)):
                return name
        fitting = [name for name in names if demand.fits_in(ledger.free(name))]
        return self._generator.choice(fitting) if fitting else None


class FirstFit:
    """Take the first host with room in the order they came: a baseline."""

    __slots__ = ()

    def choose(self, ledger, demand):
        """Return the first host with room."""
        for name in ledger.open_hosts():
            if demand.fits_in(ledger.free(name)):
                return name
        return None


class LeastLoadedHost:
    """Look at all hosts and take the one with most free processors: a baseline."""

    __slots__ = ()

    def choose(self, ledger, demand):
        """Return the host with room that has most free processors."""
        fitting = [
            name for name in ledger.open_hosts() if demand.fits_in(ledger.free(name))
        ]
        if not fitting:
            return None
        return max(fitting, key=lambda name: ledger.free(name).processors)
