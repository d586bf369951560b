"""Index of hosts by free room, which finds a host without a scan of all hosts."""

from sortedcontainers import SortedDict, SortedList

__all__ = ["RoomIndex"]

_STEP_MILLICORES = 125
_LEAF_COUNT = 4096
# Most hosts to examine in a leaf whose hosts may or may not have enough processors.
_SCAN_LIMIT = 32
# Largest free memory below a node without hosts: less than any demand.
_EMPTY = -1


class _HostGroup:
    """Hold the hosts with the same number of free accelerators.

    A leaf holds the hosts of one step of free processors, ordered by free memory. A
    binary tree over the leaves stores the largest free memory below each node. The
    first leaf with enough of both is thus found in logarithmic time, even if many hosts
    lack either processors or memory.
    """

    __slots__ = ("_leaves", "_max_memory")

    def __init__(self):
        self._leaves = {}
        self._max_memory = [_EMPTY] * (2 * _LEAF_COUNT)

    def add(self, name, free):
        position = _leaf_position(free.processors)
        leaf = self._leaves.setdefault(position, SortedList())
        leaf.add((free.memory, name, free.processors))
        self._update_max_memory(position, leaf)

    def remove(self, name, free):
        position = _leaf_position(free.processors)
        leaf = self._leaves[position]
        leaf.remove((free.memory, name, free.processors))
        self._update_max_memory(position, leaf)

    def find(self, demand):
        position = _leaf_position(demand.processors)
        if demand.processors % _STEP_MILLICORES or position == _LEAF_COUNT - 1:
            name = self._scan_leaf(position, demand)
            if name is not None:
                return name
            position += 1
        position = self._first_leaf(position, demand.memory)
        if position is None:
            return None
        if position == _LEAF_COUNT - 1:
            return self._scan_leaf(position, demand)
        leaf = self._leaves[position]
        return leaf[leaf.bisect_left((demand.memory,))][1]

    def _scan_leaf(self, position, demand):
        leaf = self._leaves.get(position)
        if not leaf:
            return None
        start = leaf.bisect_left((demand.memory,))
        for _, name, processors in leaf.islice(start, start + _SCAN_LIMIT):
            if processors >= demand.processors:
                return name
        return None

    def _first_leaf(self, position, memory):
        if position >= _LEAF_COUNT:
            return None
        max_memory = self._max_memory
        node = position + _LEAF_COUNT
        while max_memory[node] < memory:
            while node & 1:
                node >>= 1
            if not node:
                return None
            node += 1
        while node < _LEAF_COUNT:
            node *= 2
            if max_memory[node] < memory:
                node += 1
        return node - _LEAF_COUNT

    def _update_max_memory(self, position, leaf):
        max_memory = self._max_memory
        node = position + _LEAF_COUNT
        found = leaf[-1][0] if leaf else _EMPTY
        while node and max_memory[node] != found:
            max_memory[node] = found
            node >>= 1
            left, right = max_memory[2 * node], max_memory[2 * node + 1]
            found = left if left > right else right


class RoomIndex:
    """Index hosts by free accelerators, processors and memory.

    The index returns the host with the fewest free accelerators that suffice, then the
    fewest free processors in steps of 125 millicores, then the least free memory. A
    host with less than one step of processors to spare may be missed if more than 32
    hosts are in the same step. A host that is returned always has room.

    Examples
    --------
    >>> from papayapick.ledger import Amounts
    >>> index = RoomIndex()
    >>> index.add("worker-1", Amounts(8000, 1024))
    >>> index.add("worker-2", Amounts(4000, 4096))
    >>> index.find(Amounts(1000, 512)), index.find(Amounts(5000, 512))
    ('worker-2', 'worker-1')
    """

    __slots__ = ("_groups", "_hosts")

    def __init__(self):
        self._groups = SortedDict()
        self._hosts = {}

    def add(self, name, free, group=None):
        """Add a host.

        Parameters
        ----------
        name : str
        free : Amounts
            No amount may be negative.
        group : int, optional
            Sort key of the host's group; by default the number of free accelerators.
        """
        key = free.accelerators if group is None else group
        if key not in self._groups:
            self._groups[key] = _HostGroup()
        self._groups[key].add(name, free)
        self._hosts[name] = (key, free)

    def discard(self, name):
        """Remove a host if it is in the index."""
        if name in self._hosts:
            key, free = self._hosts.pop(name)
            self._groups[key].remove(name, free)

    def find(self, demand):
        """Return the name of a host with room, or None."""
        # Work without accelerators may use every group, beginning with the lowest key.
        for key in self._groups.irange(minimum=demand.accelerators or None):
            name = self._groups[key].find(demand)
            if name is not None:
                return name
        return None


def _leaf_position(processors):
    return min(processors // _STEP_MILLICORES, _LEAF_COUNT - 1)
