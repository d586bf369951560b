"""Decide which waiting step is served next, and place its tasks."""

from papayapick.jobs.documents import TaskKey
from papayapick.placement.timeliness import latest_start

__all__ = ["order_steps", "place_step"]

# A task that lasts and is down serves nobody; it is started before all else once it
# has waited so long. Such tasks are few, and take the same room as before.
_DOWN_SECONDS = 2.0
_FIRST = -1


def order_steps(steps, now):
    """Return waiting steps in the order in which they are served.

    Those for which room is held keep their turn: they are few, and the longer they
    wait the less they would count against what has just come.

    Parameters
    ----------
    steps : list of StepState
    now : float
        Monotonic seconds.
    """
    return sorted(
        steps,
        key=lambda step: (
            _rank(step, now),
            not step.held_on,
            *latest_start(step, now),
            step.key,
        ),
    )


def _rank(step, now):
    """Return the priority of a step; the least is served first."""
    is_down = step.step.is_lasting and now - step.ready_at > _DOWN_SECONDS
    return _FIRST if is_down else step.job.queue.priority


def place_step(step, rooms, allowed, begin):
    """Place as many tasks of a step as find room; all or none of a gang.

    Parameters
    ----------
    step : StepState
    rooms : Rooms
    allowed : container of str or None
    begin : callable
        Takes step, index, worker and attempt (or None); reserves the room and
        returns a Run.

    Returns
    -------
    list of Run
    """
    if step.step.is_gang:
        return _place_gang(step, rooms, allowed, begin)
    runs = []
    for index in sorted(step.waiting):
        room = rooms.choose(step, index, allowed)
        if room is None:
            if step.tasks[index].failed_on:
                # It may wait for a worker where it has not failed; the others need not.
                continue
            break
        runs.append(begin(step, index, room.worker, None))
    return runs


def _place_gang(step, rooms, allowed, begin):
    if len(step.waiting) < len(step.tasks):
        return []
    racks = [None]
    if step.step.is_rack_bound:
        # Spread over racks it works slowly; that is still better than waiting.
        racks = sorted({room.rack for room in rooms}) + [None]
    for rack in racks:
        chosen = _choose_all(step, rooms, allowed, rack)
        if chosen is not None:
            attempt = max(task.attempt for task in step.tasks) + 1
            return [
                begin(step, index, worker, attempt)
                for index, worker in enumerate(chosen)
            ]
    return []


class _Probe:
    """Take room while a gang is tried; given back before anything is begun."""

    __slots__ = ("demand", "is_filler", "key", "name", "tail_limit")

    def __init__(self, key, demand, is_filler):
        self.key = key
        self.demand = demand
        self.name = (key, "probe")
        self.is_filler = is_filler
        self.tail_limit = 0.0


def _choose_all(step, rooms, allowed, rack):
    probes = []
    try:
        for index in _most_bound_first(step):
            room = rooms.choose(step, index, allowed, rack)
            if room is None:
                return None
            key = TaskKey(*step.key, index)
            probe = _Probe(key, step.step.room_demand, step.step.is_filler)
            room.reserve(probe)
            probes.append((room, probe))
        chosen = {probe.key.index: room.worker for room, probe in probes}
        return [chosen[index] for index in range(len(step.tasks))]
    finally:
        for room, probe in probes:
            room.release(probe)


def _most_bound_first(step):
    """Return the members of a gang, those first that have failed somewhere.

    Another member may use the worker where one failed. Left to the last, that one would
    find the other workers taken by members that could have gone anywhere.
    """
    return sorted(
        range(len(step.tasks)), key=lambda index: -len(step.tasks[index].failed_on)
    )
