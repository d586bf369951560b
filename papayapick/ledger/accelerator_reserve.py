"""Keep room beside free accelerators for the work that needs them."""

from collections import Counter

from papayapick.ledger.amounts import Amounts

__all__ = ["AcceleratorReserve"]

_NOTHING = Amounts()


class AcceleratorReserve:
    """Know the capacities of the hosts, and what of each other work leaves free.

    Parameters
    ----------
    percent : int
        Of each free accelerator's share of its host's processors and memory.
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
        """Count a host."""
        self._capacities[capacity] += 1

    def remove(self, capacity):
        """Count a host no longer."""
        self._capacities[capacity] -= 1
        if not self._capacities[capacity]:
            del self._capacities[capacity]

    def could_hold(self, demand, members=1):
        """Return whether the hosts could hold so many members if all were empty."""
        found = 0
        for capacity, hosts in self._capacities.items():
            found += hosts * _times(demand, capacity, members)
        return found >= members

    def may_use_reserve(self, demand):
        """Return whether a demand may use what is kept.

        Besides work for accelerators this is work that no host could hold beside
        idle accelerators: it would never run.
        """
        return demand.accelerators or not any(
            demand.fits_in(capacity - self.reserved_amounts(capacity, capacity))
            for capacity in self._capacities
        )

    def reserved_amounts(self, capacity, free):
        """Return what other work leaves to the free accelerators of a host."""
        if not capacity.accelerators:
            return _NOTHING
        share = max(0, free.accelerators) * self._percent
        whole = capacity.accelerators * 100
        return Amounts(
            capacity.processors * share // whole,
            capacity.memory * share // whole,
        )


def _times(demand, capacity, most):
    """Return how often a demand fits in a capacity, at most so often."""
    if not demand.fits_in(capacity):
        return 0
    parts = (
        (capacity.processors, demand.processors),
        (capacity.memory, demand.memory),
        (capacity.accelerators, demand.accelerators),
    )
    return min([most, *(there // needed for there, needed in parts if needed)])
