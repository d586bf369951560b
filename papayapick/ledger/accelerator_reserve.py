"""Reserve part of a host for the work that will use its free accelerators."""

from collections import Counter

from papayapick.ledger.amounts import Amounts

__all__ = ["AcceleratorReserve"]

_ZERO = Amounts()


class AcceleratorReserve:
    """Compute which amounts of each host are reserved for its free accelerators.

    An accelerator can't be used without processors and memory of its host, so work that
    needs no accelerators leaves a part of them free.

    Parameters
    ----------
    percent : int
        Part of each free accelerator's share of its host's processors and memory that
        is reserved, in percent.
    """

    __slots__ = ("_capacities", "_percent")

    def __init__(self, percent):
        self._capacities = Counter()
        self._percent = percent

    @property
    def capacities(self):
        """Return the different capacities of the hosts."""
        return list(self._capacities)

    def add(self, capacity):
        """Add a host with a capacity."""
        self._capacities[capacity] += 1

    def remove(self, capacity):
        """Remove a host with a capacity."""
        self._capacities[capacity] -= 1
        if not self._capacities[capacity]:
            del self._capacities[capacity]

    def could_hold(self, demand, members=1):
        """Return whether empty hosts could hold a number of members of a demand."""
        count = 0
        for capacity, hosts in self._capacities.items():
            count += hosts * _members_per_host(demand, capacity, members)
        return count >= members

    def may_use_reserve(self, demand):
        """Return whether a demand may use the reserved amounts.

        Work for accelerators may, and so may work that fits no empty host without the
        reserved amounts: otherwise it would never run.
        """
        return demand.accelerators or not any(
            demand.fits_in(capacity - self.reserved_amounts(capacity, capacity))
            for capacity in self._capacities
        )

    def reserved_amounts(self, capacity, free):
        """Return the amounts of a host that are reserved for its free accelerators."""
        if not capacity.accelerators:
            return _ZERO
        numerator = max(0, free.accelerators) * self._percent
        denominator = capacity.accelerators * 100
        return Amounts(
            capacity.processors * numerator // denominator,
            capacity.memory * numerator // denominator,
        )


def _members_per_host(demand, capacity, limit):
    """Return how many times a demand fits in a capacity, at most ``limit``."""
    if not demand.fits_in(capacity):
        return 0
    pairs = (
        (capacity.processors, demand.processors),
        (capacity.memory, demand.memory),
        (capacity.accelerators, demand.accelerators),
    )
    return min([limit, *(available // needed for available, needed in pairs if needed)])
