"""Hold room that is coming free for a task that smaller ones would keep out.

Answers the load in which a task needs most of a worker, or a gang needs room for all
its members at once, and few workers may run it. Each end there makes room for a smaller
task that waits behind it, so that the large one's turn never comes; what was stopped to
make room for it takes that room back. Here the first in the order of service names the
workers where it will fit soonest. Those behind it may use them only for what is over by
then, or fits beside it.
"""

from papayapick.ledger import Amounts
from papayapick.placement.progress import remaining_seconds

__all__ = ["Hold", "Holds"]

# A task that takes less of a worker than this finds room as soon as a few tasks end.
_LARGE_SHARE = 0.4
# Callers' estimates are off by half as a rule: what may run before a hold begins must
# be over by then.
_ESTIMATE_FACTOR = 1.5
# A step of single tasks holds room for so many at a time; the others follow as these
# are placed.
_TASKS_HELD = 2
# With more large steps waiting than that, those behind would hold hardly any room: the
# first ones hold what there is.
_STEPS_TRIED = 32
# Another worker must be free in less than this share of the time to be held instead:
# estimates change with each look, and a hold that moves to and fro empties no worker.
_SOONER_SHARE = 0.5


class Hold:
    """Keep the room of one worker for a step.

    Parameters
    ----------
    step_key : StepKey
    free_in_seconds : float
        Until it is free as far as is known.
    spare : Amounts
        What is left beside the step's tasks by then.
    """

    __slots__ = ("free_in_seconds", "spare", "step_key")

    def __init__(self, step_key, free_in_seconds, spare):
        self.step_key = step_key
        self.free_in_seconds = free_in_seconds
        self.spare = spare

    def admits(self, step_state):
        """Return whether a task of a step may be placed in spite of the hold."""
        if step_state.key == self.step_key:
            return True
        if step_state.step.room_demand.fits_in(self.spare):
            return True
        return _likely_seconds(step_state) <= self.free_in_seconds

    def take_spare(self, demand):
        """Take in that a task of another step was placed beside it."""
        self.spare = self.spare - demand


class Holds:
    """Give holds to the steps that find no room, in the order of service.

    Parameters
    ----------
    rooms : Rooms
        Holds of the round before are dropped.
    step_of : callable
        Takes the key of a task; returns its StepState, or None.
    now : float
        Monotonic seconds.
    """

    __slots__ = ("_least", "_now", "_rooms", "_step_of", "_tries_left")

    def __init__(self, rooms, step_of, now):
        self._rooms = rooms
        self._step_of = step_of
        self._now = now
        self._tries_left = _STEPS_TRIED
        self._least = _least_capacity(rooms)
        for room in rooms:
            room.hold = None

    def take(self, step_state, allowed=None):
        """Hold room for a step that waits.

        Parameters
        ----------
        step_state : StepState
        allowed : container of str, optional
            Workers that may run it; None for all.

        Returns
        -------
        float or None
            Seconds until the room that is held for it is free; None where none is.
        """
        if not self._is_worth_a_try(step_state):
            return None
        indexes = sorted(step_state.waiting)
        is_gang = step_state.step.is_gang
        candidates = self._candidates(step_state, allowed)
        if not is_gang:
            indexes = indexes[:_TASKS_HELD]
        planned = {}
        for index in indexes:
            room = self._soonest(step_state, index, candidates, planned)
            if room is not None:
                planned.setdefault(room, []).append(index)
            elif is_gang:
                planned = {}
                break
        return self._set(step_state, planned)

    def _is_worth_a_try(self, step_state):
        """Return whether a step may hold room; without a look at each worker.

        Hundreds of steps of small tasks wait in a burst, and none of them does.
        """
        step = step_state.step
        if step.is_filler or self._tries_left <= 0:
            return False
        if step.is_gang and len(step_state.waiting) < len(step_state.tasks):
            return False
        if not _needs_several(step_state) and not _is_large(
            step.room_demand, self._least
        ):
            return False
        self._tries_left -= 1
        return True

    def _candidates(self, step_state, allowed):
        step = step_state.step
        is_gang = _needs_several(step_state)
        return [
            room
            for room in self._rooms.able(step)
            if room.is_open
            and room.hold is None
            and not room.has_unknown_demand
            and (allowed is None or room.worker in allowed)
            and (is_gang or _is_large(step.room_demand, room.registration.capacity))
        ]

    def _soonest(self, step_state, index, candidates, planned):
        best = best_rank = None
        limit = step_state.step.tasks_per_worker
        for room in candidates:
            if room.worker in step_state.tasks[index].failed_on:
                continue
            count = len(planned.get(room, ()))
            taken = count + room.step_counts.get(step_state.key, 0)
            if limit and taken >= limit:
                continue
            found = self._free_in(room, step_state, count + 1)
            if found is None:
                continue
            seconds, _ = found
            if room.worker in step_state.held_on:
                seconds *= _SOONER_SHARE
            rank = (room.is_suspected, seconds)
            if best_rank is None or rank < best_rank:
                best, best_rank = room, rank
        return best

    def _free_in(self, room, step_state, count):
        """Return the seconds until so many tasks fit, and what is spare; or None."""
        wanted = step_state.step.room_demand
        free = Amounts(room.processors, room.memory, room.accelerators)
        for _ in range(count):
            free = free - wanted
        if _is_enough(free):
            return 0.0, free
        rests = []
        for run in room.runs.values():
            rest = remaining_seconds(self._step_of(run.key), run, self._now)
            if rest is not None:
                rests.append((rest, id(run), run.demand))
        for rest, _, demand in sorted(rests):
            free = free + demand
            if _is_enough(free):
                return rest, free
        return None

    def _set(self, step_state, planned):
        """Hold what was planned; return the seconds until the first of it is free."""
        found = {
            room: self._free_in(room, step_state, len(indexes))
            for room, indexes in planned.items()
        }
        last = max((seconds for seconds, _ in found.values()), default=0.0)
        held_on = {}
        for room, (seconds, spare) in found.items():
            # The members of a gang begin together.
            begins_at = self._now + (last if step_state.step.is_gang else seconds)
            # What was placed there meanwhile may take longer than its caller said.
            # Were the hold put off for it, more would be placed, and so on for ever.
            begins_at = min(begins_at, step_state.held_on.get(room.worker, begins_at))
            held_on[room.worker] = begins_at
            free_in_seconds = max(0.0, begins_at - self._now)
            room.hold = Hold(step_state.key, free_in_seconds, spare)
        step_state.held_on = held_on
        if not found:
            return None
        if step_state.step.is_gang:
            return last
        return min(seconds for seconds, _ in found.values())


def _is_enough(free):
    return free.processors >= 0 and free.memory >= 0 and free.accelerators >= 0


def _needs_several(step_state):
    """Return whether room for several tasks is needed at once."""
    return step_state.step.is_gang and len(step_state.tasks) > 1


def _least_capacity(rooms):
    """Return the least of each amount that any worker has."""
    capacities = [room.registration.capacity for room in rooms]
    return Amounts(
        min((one.processors for one in capacities), default=0),
        min((one.memory for one in capacities), default=0),
        min((one.accelerators for one in capacities), default=0),
    )


def _is_large(demand, capacity):
    """Return whether a task takes a good part of a worker."""
    return (
        demand.processors >= _LARGE_SHARE * capacity.processors
        or demand.memory >= _LARGE_SHARE * capacity.memory
        or (
            demand.accelerators > 0
            and demand.accelerators >= _LARGE_SHARE * capacity.accelerators
        )
    )


def _likely_seconds(step_state):
    """Return how long a task of a step may run; endless for one that lasts."""
    if step_state.step.is_lasting:
        return float("inf")
    known = max(step_state.usual_seconds, step_state.step.estimate_seconds)
    return _ESTIMATE_FACTOR * known if known else float("inf")
