"""Index of the open workers of a pool by the room they have left.

Guards against decisions whose cost grows with the size of the pool: without an index,
each task that is placed and each step that looks for a worker examines all workers.

Load pattern: workers whose speeds differ, and steps for which only the fast ones are in
time. The rooms are filed by class of speed too, so that the best fit among fast workers
is found without a look at the slow ones.
"""

import heapq

from sortedcontainers import SortedDict, SortedList

__all__ = ["RoomIndex"]


class _Entry:
    """Hold the values under which a room is filed."""

    __slots__ = ("accelerators", "by_fit", "by_free", "free_processors", "tier")

    def __init__(self, room):
        self.accelerators = room.accelerators
        self.tier = room.tier
        # Room numbers are unique, so that rooms are never compared.
        self.by_fit = (room.processors, room.memory, room.number, room)
        self.by_free = (-room.processors, room.number, room)
        self.free_processors = max(0, room.processors)


class RoomIndex:
    """Sort the rooms of open workers, and collect what has changed about them.

    Rooms report each change; they are filed anew when the index is read next. A room
    that is reserved and released in between costs nothing.

    Attributes
    ----------
    freed : set of WorkerRoom
        Rooms on which a task may fit that did not fit when the set was last emptied.
    failing : set of WorkerRoom
        Rooms of workers that fail the tasks they start.
    """

    __slots__ = (
        "_by_fit",
        "_by_free",
        "_entries",
        "_free_processors",
        "_stale",
        "failing",
        "freed",
    )

    def __init__(self):
        # By free accelerators and SpeedTier: rooms, those with the least room first.
        self._by_fit = SortedDict()
        self._by_free = SortedList()
        self._entries = {}
        self._stale = set()
        self._free_processors = 0
        self.freed = set()
        self.failing = set()

    def note_change(self, room):
        """Record that the room of a worker has changed, or whether it is open."""
        self._stale.add(room)

    def note_freed(self, room):
        """Record a change after which more tasks may fit."""
        self._stale.add(room)
        self.freed.add(room)

    def note_failing(self, room):
        """Record whether a worker fails its tasks.

        Failing workers are excluded only while they are few, so each change may make
        another failing worker available.
        """
        self.freed |= self.failing
        self.freed.add(room)
        if room.is_failing:
            self.failing.add(room)
        else:
            self.failing.discard(room)

    def discard(self, room):
        """Remove the room of a worker that has left the pool."""
        for rooms in (self._stale, self.freed, self.failing):
            rooms.discard(room)
        self._unfile(room)

    @property
    def free_processors(self):
        """Return the free processors of all open workers, in millicores."""
        self._refresh()
        return self._free_processors

    @property
    def open_count(self):
        """Return the number of open workers."""
        self._refresh()
        return len(self._by_free)

    def best_fit(self, demand, tiers=()):
        """Yield the open rooms that a demand fits in, those with the least left first.

        Fewer free accelerators come first, then fewer processors, then less memory.

        Parameters
        ----------
        demand : Amounts
        tiers : sequence of SpeedTier, optional
            Order of the classes of workers, all rooms of a class before the next ones.
            If empty, the speed of a worker does not matter.

        Yields
        ------
        WorkerRoom
        """
        self._refresh()
        for tier in tiers or (None,):
            for accelerators in self._by_fit.irange(demand.accelerators):
                groups = self._by_fit[accelerators]
                if tier is not None:
                    groups = {tier: groups[tier]} if tier in groups else {}
                found = [
                    group.irange((demand.processors,)) for group in groups.values()
                ]
                for _, _, _, room in _merged(found):
                    if room.has_room(demand):
                        yield room

    def worst_fit(self):
        """Yield the open rooms in the reverse order of ``best_fit``."""
        self._refresh()
        for groups in reversed(self._by_fit.values()):
            found = [reversed(group) for group in groups.values()]
            for _, _, _, room in _merged(found, reverse=True):
                yield room

    def most_free(self):
        """Yield the open rooms, those with the most free processors first."""
        self._refresh()
        return (room for _, _, room in self._by_free)

    def _refresh(self):
        stale, self._stale = self._stale, set()
        for room in stale:
            self._unfile(room)
            if room.is_open:
                self._file(room)

    def _file(self, room):
        entry = self._entries[room] = _Entry(room)
        groups = self._by_fit.setdefault(entry.accelerators, {})
        groups.setdefault(entry.tier, SortedList()).add(entry.by_fit)
        self._by_free.add(entry.by_free)
        self._free_processors += entry.free_processors

    def _unfile(self, room):
        entry = self._entries.pop(room, None)
        if entry is None:
            return
        groups = self._by_fit[entry.accelerators]
        groups[entry.tier].remove(entry.by_fit)
        if not groups[entry.tier]:
            del groups[entry.tier]
        if not groups:
            del self._by_fit[entry.accelerators]
        self._by_free.remove(entry.by_free)
        self._free_processors -= entry.free_processors


def _merged(groups, reverse=False):
    """Return one iterator over groups that are sorted; most pools have one group."""
    if len(groups) == 1:
        return groups[0]
    return heapq.merge(*groups, reverse=reverse)
