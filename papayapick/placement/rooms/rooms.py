"""Rooms of the workers of a pool, and the choice of a worker for a task."""

from papayapick.placement.rooms.choices import Choice
from papayapick.placement.rooms.headroom import Headroom
from papayapick.placement.rooms.room_index import RoomIndex
from papayapick.placement.rooms.tier_preference import AnyTier
from papayapick.placement.rooms.worker_rooms import WorkerRoom
from papayapick.quotas.usage import TeamUsage

__all__ = ["Rooms", "WorkerRoom", "allows_another", "may_run"]

# Maximum share of the workers that is excluded because they fail the tasks they start.
_MAX_EXCLUDED_SHARE = 0.25
# If the workers that may run a step are a smaller share of the pool, they are examined
# one by one rather than in the order of the index.
_FEW_SHARE = 0.25


class Rooms:
    """Rooms of all workers of a pool.

    Parameters
    ----------
    team_usage : TeamUsage, optional

    Attributes
    ----------
    team_usage : TeamUsage
        Counts what the teams have running against their maxima.
    headroom : Headroom
        What is kept free for urgent steps.
    preference : AnyTier or TierPreference
        In which order steps use workers of unlike speed.
    """

    __slots__ = (
        "_able_counts",
        "_by_rack",
        "_capacity",
        "_index",
        "_next_number",
        "_rooms",
        "headroom",
        "preference",
        "team_usage",
    )

    def __init__(self, team_usage=None):
        self.team_usage = team_usage or TeamUsage()
        self.headroom = Headroom(self)
        self.preference = AnyTier()
        self._rooms = {}
        # Results of ``able_count``.
        self._able_counts = {}
        self._by_rack = {}
        self._index = RoomIndex()
        self._next_number = 0
        self._capacity = 0

    def __iter__(self):
        return iter(self._rooms.values())

    def __len__(self):
        return len(self._rooms)

    @property
    def capacity_processors(self):
        """Return the processors of all workers, in millicores."""
        return self._capacity

    @property
    def free_processors(self):
        """Return the free processors of all open workers, in millicores."""
        return self._index.free_processors

    def get(self, worker):
        """Return the room of a worker, or None."""
        return self._rooms.get(worker)

    def add(self, room):
        """Add the room of a worker; it takes the place of an earlier one of its."""
        earlier = self._rooms.get(room.worker)
        number = self._next_number
        if earlier is None:
            self._next_number += 1
        else:
            number = earlier.number
            self._drop(earlier)
        self._rooms[room.worker] = room
        self._join(room, number)

    def change_kind(self, room, labels, capacity):
        """Give the worker of a room other labels and another capacity.

        Its runs keep what they have reserved. Until they are over, the room may be
        less than nothing.
        """
        self._drop(room)
        room.change_kind(labels, capacity)
        self._join(room, room.number)

    def _join(self, room, number):
        self._by_rack.setdefault(room.rack, {})[room.worker] = room
        self._capacity += room.registration.capacity.processors
        self._able_counts.clear()
        room.join(self._index, number, self.team_usage)

    def remove(self, worker):
        """Remove the room of a worker."""
        room = self._rooms.pop(worker, None)
        if room is not None:
            self._drop(room)

    def _drop(self, room):
        room.leave()
        self._able_counts.clear()
        self._capacity -= room.registration.capacity.processors
        of_rack = self._by_rack[room.rack]
        del of_rack[room.worker]
        if not of_rack:
            del self._by_rack[room.rack]

    def racks(self):
        """Return the labels of all racks, sorted."""
        return sorted(self._by_rack)

    def take_freed(self):
        """Return the rooms that have gained room since the last call, and forget them.

        Returns
        -------
        set of WorkerRoom
        """
        freed, self._index.freed = self._index.freed, set()
        return freed

    def worst_fit(self):
        """Yield the rooms of the open workers in the reverse order of best fit.

        Yields
        ------
        WorkerRoom
        """
        return self._index.worst_fit()

    def able(self, step):
        """Return the workers that could run a task of a step if they were empty.

        Parameters
        ----------
        step : Step

        Returns
        -------
        list of WorkerRoom
        """
        return [room for room in self._rooms.values() if _is_able(room, step)]

    def able_count(self, step):
        """Return the number of ``able`` workers, counted once for steps that are alike.

        Hundreds of steps that wait are logged with it every few seconds.
        """
        demand = step.room_demand
        kind = (demand.processors, demand.memory, demand.accelerators, step.label)
        if kind not in self._able_counts:
            self._able_counts[kind] = len(self.able(step))
        return self._able_counts[kind]

    def open_count(self):
        """Return the number of open workers."""
        return self._index.open_count

    def most_free(self, step, tiers=()):
        """Yield the workers that could run a task of a step if they were empty.

        Open workers come first, and among them those with most free processors. With an
        order of classes, those that have room for a task come first, in that order.

        Parameters
        ----------
        step : Step
        tiers : sequence of SpeedTier, optional

        Yields
        ------
        WorkerRoom
        """
        rooms = self._index.most_free()
        if tiers:
            # The sort keeps the order within a class.
            rooms = sorted(rooms, key=lambda room: _class_rank(room, step, tiers))
        for room in rooms:
            if _is_able(room, step):
                yield room
        closed = [room for room in self.able(step) if not room.is_open]
        yield from sorted(closed, key=lambda room: -room.processors)

    def choose(self, step_state, index, allowed=None, rack=None):
        """Return the best worker for a task, or None if none has room now.

        Parameters
        ----------
        step_state : StepState
        index : int
        allowed : container of str, optional
            Workers that may run the step; None for all.
        rack : str, optional
            Rack to which the choice is limited.

        Returns
        -------
        WorkerRoom or None
        """
        step = step_state.step
        task = step_state.tasks[index]
        tiers = self.preference.tiers(step_state)
        choice = Choice(step, task, self._excluded_failing(), tiers)
        free = self._with_room(step_state, allowed, rack, tiers)
        if rack is not None or step.is_filler or self._are_few(allowed):
            for room in free:
                choice.consider(room)
        else:
            if step.preferred_rack:
                for room in self._with_room(step_state, allowed, step.preferred_rack):
                    choice.consider(room)
            # These rooms come best fit first, class by class, so the first one that
            # need not be avoided is the best of all that are not near the data. One
            # near the data may be of a class that comes later.
            if tiers or not choice.is_unavoided:
                for room in free:
                    if choice.consider(room):
                        break
        if choice.room is None and task.failed_on and not step.is_lasting:
            return self._choose_failed_on(step_state, task, allowed, rack)
        return choice.room

    def has_room_for(self, step_state, excluded):
        """Return whether a worker has room for a task of a step now.

        Parameters
        ----------
        step_state : StepState
        excluded : container of str
            Workers to leave out.
        """
        demand = step_state.step.room_demand
        for room in self._index.most_free():
            if room.processors < demand.processors:
                return False
            if room.worker not in excluded and self._admits(room, step_state, None):
                return True
        return False

    def _admits(self, room, step_state, allowed):
        """Return whether a task of a step may be placed on a worker now."""
        step = step_state.step
        return (
            room.is_open
            and room.has_room(step.room_demand)
            and may_run(room, step, allowed)
            and (room.hold is None or room.hold.admits(step_state))
            and self.headroom.admits(room, step_state)
            and allows_another(room, step_state)
        )

    def _are_few(self, allowed):
        return allowed is not None and len(allowed) < _FEW_SHARE * len(self._rooms)

    def _with_room(self, step_state, allowed, rack, tiers=()):
        """Yield the workers that have room for a task of a step now.

        They come best fit first, unless the choice is limited to a rack or to a few
        workers.
        """
        if rack is not None:
            rooms = self._by_rack.get(rack, {}).values()
        elif self._are_few(allowed):
            rooms = (self._rooms[one] for one in allowed if one in self._rooms)
        else:
            rooms = self._index.best_fit(step_state.step.room_demand, tiers)
        return (room for room in rooms if self._admits(room, step_state, allowed))

    def _choose_failed_on(self, step_state, task, allowed, rack):
        """Return a worker for a task that has failed on all that may run it, or None.

        None is returned too if the task should wait for a worker on which it has not
        failed, and which is full or closed now. It does not wait for a worker that is
        leaving or that runs as many tasks of the step as allowed, since it could wait
        indefinitely although another worker is free. In the latter case, however, it
        waits rather than run on a suspected worker.
        """
        is_at_limit = False
        for room in self.able(step_state.step):
            if room.worker in task.failed_on or room.registration.is_leaving:
                continue
            if may_run(room, step_state.step, allowed, rack):
                if allows_another(room, step_state):
                    return None
                is_at_limit = True
        free = [
            room
            for room in self._with_room(step_state, allowed, rack)
            if not (is_at_limit and room.is_suspected)
        ]
        return min(free, key=lambda room: (room.processors, room.number), default=None)

    def _excluded_failing(self):
        """Return the workers to exclude because they fail the tasks they start.

        Such a worker is always empty and attracts each task that has no room elsewhere:
        a job would use up four attempts there within half a second and fail, although
        its tasks could wait. If many workers are failing, the cause is more likely
        elsewhere, and none is excluded.
        """
        failing = self._index.failing
        if len(failing) > _MAX_EXCLUDED_SHARE * len(self._rooms):
            return ()
        return failing


def may_run(room, step, allowed, rack=None):
    """Return whether a worker may run a step, regardless of its room."""
    if allowed is not None and room.worker not in allowed:
        return False
    if step.label and step.label not in room.registration.labels:
        return False
    return rack is None or room.rack == rack


def _class_rank(room, step, tiers):
    if not room.has_room(step.room_demand):
        return len(tiers)
    return tiers.index(room.tier)


def _is_able(room, step):
    registration = room.registration
    return step.room_demand.fits_in(registration.capacity) and (
        not step.label or step.label in registration.labels
    )


def allows_another(room, step_state):
    """Return whether a worker runs fewer tasks of a step than allowed."""
    limit = step_state.step.tasks_per_worker
    return not limit or room.step_counts.get(step_state.key, 0) < limit
