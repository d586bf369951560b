"""Find a host with room without a scan of all hosts."""

from sortedcontainers import SortedDict, SortedList

__all__ = ["RoomIndex"]

_STEP = 125
_LEAVES = 4096
# Hosts looked at where the index can't tell whether the processors suffice.
_LOOKS = 32
_NOTHING = -1


class _Shelf:
    """Hold hosts with equally many free accelerators.

    A leaf holds the hosts of one step of free processors, ordered by free
    memory. A tree over the leaves holds the most free memory below each node, so
    that the first leaf with enough of both is found in the logarithm of the
    leaves, however many hosts lack the one or the other.
    """

    __slots__ = ("_leaves", "_most")

    def __init__(self):
        self._leaves = {}
        self._most = [_NOTHING] * (2 * _LEAVES)

    def add(self, name, free):
        position = _leaf_of(free.processors)
        leaf = self._leaves.setdefault(position, SortedList())
        leaf.add((free.memory, name, free.processors))
        self._lift(position, leaf)

    def remove(self, name, free):
        position = _leaf_of(free.processors)
        leaf = self._leaves[position]
        leaf.remove((free.memory, name, free.processors))
        self._lift(position, leaf)

    def find(self, demand):
        position = _leaf_of(demand.processors)
        if demand.processors % _STEP or position == _LEAVES - 1:
            name = self._look(position, demand)
            if name is not None:
                return name
            position += 1
        position = self._first(position, demand.memory)
        if position is None:
            return None
        if position == _LEAVES - 1:
            return self._look(position, demand)
        leaf = self._leaves[position]
        return leaf[leaf.bisect_left((demand.memory,))][1]

    def _look(self, position, demand):
        leaf = self._leaves.get(position)
        if not leaf:
            return None
        start = leaf.bisect_left((demand.memory,))
        for _, name, processors in leaf.islice(start, start + _LOOKS):
            if processors >= demand.processors:
                return name
        return None

    def _first(self, position, memory):
        if position >= _LEAVES:
            return None
        most = self._most
        node = position + _LEAVES
        while most[node] < memory:
            while node & 1:
                node >>= 1
            if not node:
                return None
            node += 1
        while node < _LEAVES:
            node *= 2
            if most[node] < memory:
                node += 1
        return node - _LEAVES

    def _lift(self, position, leaf):
        most = self._most
        node = position + _LEAVES
        found = leaf[-1][0] if leaf else _NOTHING
        while node and most[node] != found:
            most[node] = found
            node >>= 1
            left, right = most[2 * node], most[2 * node + 1]
            found = left if left > right else right


class RoomIndex:
    """Index hosts by free accelerators, processors and memory.

    The host found has the fewest free accelerators that suffice, then the least
    free processors in steps of 125 millicores, then the least free memory. A
    host that has less than one step to spare may be passed over where more than
    32 such hosts stand in the same step; no host is found that has no room.

    Examples
    --------
    >>> from papayapick.ledger import Amounts
    >>> index = RoomIndex()
    >>> index.add("worker-1", Amounts(8000, 1024))
    >>> index.add("worker-2", Amounts(4000, 4096))
    >>> index.find(Amounts(1000, 512)), index.find(Amounts(5000, 512))
    ('worker-2', 'worker-1')
    """

    __slots__ = ("_held", "_shelves")

    def __init__(self):
        self._shelves = SortedDict()
        self._held = {}

    def add(self, name, free, shelf=None):
        """Add a host.

        Parameters
        ----------
        name : str
        free : Amounts
            None below zero.
        shelf : int, optional
            Place in the order; the free accelerators where it is left out.
        """
        key = free.accelerators if shelf is None else shelf
        if key not in self._shelves:
            self._shelves[key] = _Shelf()
        self._shelves[key].add(name, free)
        self._held[name] = (key, free)

    def discard(self, name):
        """Remove a host if it is there."""
        if name in self._held:
            key, free = self._held.pop(name)
            self._shelves[key].remove(name, free)

    def find(self, demand):
        """Return the name of a host with room, or None."""
        # Work without accelerators may go to every shelf, from the lowest.
        for key in self._shelves.irange(minimum=demand.accelerators or None):
            name = self._shelves[key].find(demand)
            if name is not None:
                return name
        return None


def _leaf_of(processors):
    return min(processors // _STEP, _LEAVES - 1)
