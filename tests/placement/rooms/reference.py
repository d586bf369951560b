"""The decisions of placement as a search of all workers and steps, to compare with."""

from papayapick.placement.order.timeliness import latest_start
from papayapick.placement.rooms.rooms import may_run

MAX_EXCLUDED_SHARE = 0.25
DOWN_SECONDS = 2.0


def order_steps(steps, now):
    """Return the waiting steps in the order of service."""

    def rank(step):
        is_down = step.step.is_lasting and now - step.ready_at > DOWN_SECONDS
        return -1 if is_down else step.job.queue.priority

    return sorted(
        steps,
        key=lambda step: (
            rank(step),
            not step.held_on,
            *latest_start(step, now),
            step.key,
        ),
    )


def choose(rooms, step_state, index, allowed=None, rack=None):
    """Return the best worker for a task, or None, from a scan of all workers."""
    step, task = step_state.step, step_state.tasks[index]
    excluded = [room for room in rooms if room.is_failing]
    if len(excluded) > MAX_EXCLUDED_SHARE * len(rooms):
        excluded = []
    best = best_rank = None
    for room in _with_room(rooms, step_state, allowed, rack):
        has_failed_there = room.worker in task.failed_on
        if has_failed_there and not step.is_lasting or room in excluded:
            continue
        is_avoided = has_failed_there or room.worker in task.avoid or room.is_suspected
        rank = _rank(step, room, is_avoided, rooms.preference.tiers(step_state))
        if best_rank is None or rank < best_rank:
            best, best_rank = room, rank
    if best is None and task.failed_on and not step.is_lasting:
        return _choose_failed_on(rooms, step_state, task, allowed, rack)
    return best


def has_room_for(rooms, step_state, excluded):
    """Return whether a worker that is not excluded has room for a task."""
    free = _with_room(rooms, step_state, None, None)
    return any(room.worker not in excluded for room in free)


def most_free(rooms, step, tiers=()):
    """Return the workers that could run a step, open ones with most room first.

    With an order of classes, open ones with room for a task come first, in that order.
    """

    def rank(room):
        has_room = room.is_open and room.has_room(step.room_demand)
        class_rank = tiers.index(room.tier) if tiers and has_room else len(tiers)
        return (not room.is_open, class_rank, -room.processors)

    return sorted(rooms.able(step), key=rank)


def free_processors(rooms):
    """Return the free processors of all open workers."""
    return sum(max(0, room.processors) for room in rooms if room.is_open)


def _with_room(rooms, step_state, allowed, rack):
    for room in rooms:
        if not (room.is_open and room.has_room(step_state.step.room_demand)):
            continue
        if not may_run(room, step_state.step, allowed, rack):
            continue
        if room.hold is not None and not room.hold.admits(step_state):
            continue
        if _allows_another(room, step_state):
            yield room


def _choose_failed_on(rooms, step_state, task, allowed, rack):
    is_at_limit = False
    for room in rooms.able(step_state.step):
        if room.worker in task.failed_on or room.registration.is_leaving:
            continue
        if may_run(room, step_state.step, allowed, rack):
            if _allows_another(room, step_state):
                return None
            is_at_limit = True
    free = [
        room
        for room in _with_room(rooms, step_state, allowed, rack)
        if not (is_at_limit and room.is_suspected)
    ]
    return min(free, key=lambda room: room.processors, default=None)


def _allows_another(room, step_state):
    limit = step_state.step.tasks_per_worker
    return not limit or room.step_counts.get(step_state.key, 0) < limit


def _rank(step, room, is_avoided, tiers):
    is_far = bool(step.preferred_rack) and step.preferred_rack != room.rack
    if step.is_filler:
        unused_processors = room.processors - 4000 * room.filler_runs
        return (is_avoided, is_far, room.serving_runs > 0, -unused_processors)
    processors_left = room.processors - step.demand.processors
    class_rank = tiers.index(room.tier) if tiers else 0
    return (
        is_avoided,
        class_rank,
        is_far,
        room.accelerators,
        processors_left,
        room.memory,
    )
