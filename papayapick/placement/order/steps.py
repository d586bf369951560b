"""Order the waiting steps, and place their tasks."""

from papayapick.jobs.documents import TaskKey
from papayapick.placement.order.timeliness import Timeliness, has_deadline, latest_start

__all__ = ["order_steps", "place_step", "service_key"]

# A lasting task that is down serves no requests, so it precedes all steps once it has
# waited this long. Such tasks are few, and take the same room as before.
_DOWN_SECONDS = 2.0
# More urgent than the priority of any queue.
_TOP_PRIORITY = -1


def order_steps(steps, now):
    """Return the waiting steps in the order of service.

    Parameters
    ----------
    steps : list of StepState
    now : float
        Monotonic seconds.

    Returns
    -------
    list of StepState
    """
    return sorted(steps, key=lambda step: (service_key(step, now)[0], step.key))


def service_key(step, now):
    """Return a sort key of a step that is lowest for the step to be served first.

    Steps for which room is held precede others of their priority. They are few, and by
    timeliness they would fall behind new steps the longer they wait.

    Parameters
    ----------
    step : StepState
    now : float
        Monotonic seconds.

    Returns
    -------
    sort_key : tuple
    valid_until : float
        Last time at which the key holds unless the step changes; may be infinite.
    """
    rank, rank_until = _rank(step, now)
    timeliness, latest = latest_start(step, now)
    valid_until = rank_until
    if timeliness != Timeliness.OVERDUE and has_deadline(step):
        valid_until = min(rank_until, latest)
    return (rank, not step.held_on, timeliness, latest), valid_until


def _rank(step, now):
    """Return the priority of a step, the lowest first, and until when it holds."""
    down_at = step.ready_at + _DOWN_SECONDS
    if step.step.is_lasting and now <= down_at:
        return step.job.priority, down_at
    rank = _TOP_PRIORITY if step.step.is_lasting else step.job.priority
    return rank, float("inf")


def place_step(step, rooms, allowed, start_run):
    """Place as many tasks of a step as fit and its team may start.

    Of a gang, all tasks are placed or none.

    Parameters
    ----------
    step : StepState
    rooms : Rooms
    allowed : container of str or None
    start_run : callable
        Takes step, index, worker, and attempt or None; reserves the room and returns a
        Run.

    Returns
    -------
    list of Run
    """
    if step.step.is_gang:
        return _place_gang(step, rooms, allowed, start_run)
    runs = []
    team_usage = rooms.team_usage
    for index in sorted(step.waiting):
        if not team_usage.admits(step):
            break
        room = rooms.choose(step, index, allowed)
        if room is None:
            if step.tasks[index].failed_on:
                # It may wait for a worker on which it has not failed, while the other
                # tasks fit.
                continue
            break
        runs.append(start_run(step, index, room.worker, None))
    return runs


def _place_gang(step, rooms, allowed, start_run):
    if len(step.waiting) < len(step.tasks):
        return []
    if not rooms.team_usage.admits(step):
        return []
    racks = [None]
    if step.step.is_rack_bound:
        # Prefer a single rack. A gang spread over racks is slower, but that is still
        # better than waiting.
        racks = [*rooms.racks(), None]
    for rack in racks:
        chosen = _choose_all(step, rooms, allowed, rack)
        if chosen is not None:
            attempt = max(task.attempt for task in step.tasks) + 1
            return [
                start_run(step, index, worker, attempt)
                for index, worker in enumerate(chosen)
            ]
    return []


class _TrialReservation:
    """Temporary reservation, released again before the gang is started."""

    __slots__ = (
        "demand",
        "is_filler",
        "key",
        "name",
        "tail_limit",
        "team",
        "team_demand",
    )

    def __init__(self, key, demand, is_filler):
        self.key = key
        self.demand = demand
        # The team's maximum was checked for the whole gang.
        self.team = ""
        self.team_demand = None
        self.name = (key, "probe")
        self.is_filler = is_filler
        self.tail_limit = 0.0


def _choose_all(step, rooms, allowed, rack):
    reservations = []
    try:
        for index in _most_excluded_first(step):
            room = rooms.choose(step, index, allowed, rack)
            if room is None:
                return None
            key = TaskKey(*step.key, index)
            reservation = _TrialReservation(
                key, step.step.room_demand, step.step.is_filler
            )
            room.reserve(reservation)
            reservations.append((room, reservation))
        chosen = {
            reservation.key.index: room.worker for room, reservation in reservations
        }
        return [chosen[index] for index in range(len(step.tasks))]
    finally:
        for room, reservation in reservations:
            room.release(reservation)


def _most_excluded_first(step):
    """Return the members of a gang, those excluded from most workers first.

    Placed last, a member that has failed on some workers could find all others taken by
    members that may run on any worker.
    """
    return sorted(
        range(len(step.tasks)), key=lambda index: -len(step.tasks[index].failed_on)
    )
