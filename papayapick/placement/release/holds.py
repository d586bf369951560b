"""Hold room that is becoming free, so that small tasks do not starve a large one.

Guards against the starvation of a task that needs most of a worker, or of a gang that
needs room for all its members at once, where few workers may run it. Each run that ends
there makes room for a smaller task behind it, and runs that were stopped to make room
for it would take that room back. Therefore the first steps in the order of service hold
the workers on which they will fit soonest. Steps behind them may use a held worker only
for tasks that end before that time, or that fit beside the held room.
"""

from papayapick.ledger import Amounts
from papayapick.placement.runs.progress import remaining_seconds

__all__ = ["Hold", "Holds"]

# A task that takes a smaller share of a worker fits as soon as a few tasks end.
_LARGE_SHARE = 0.4
# Callers' estimates are usually off by half. A task placed before a hold begins must
# end by then even if its estimate is too low by this factor.
_ESTIMATE_FACTOR = 1.5
# Maximum number of tasks for which a step of single tasks holds room at a time. Its
# other tasks follow as these are placed.
_MAX_HELD_TASKS = 2
# Maximum number of steps per round that try to hold room. The first ones hold the room
# that is available for holds, so further steps would get hardly any.
_MAX_STEPS = 32
# A hold moves to another worker only if that is free in less than this share of the
# time. Estimates change with each round, and a hold that alternates between workers
# would empty none of them.
_MOVE_SHARE = 0.5
# Rank of a worker that is not suspected and has room now.
_BEST_RANK = (False, 0.0)


class Hold:
    """Hold of the room of one worker for a step.

    Parameters
    ----------
    step_key : StepKey
    free_in_seconds : float
        Expected time until the tasks of the step fit.
    spare : Amounts
        Room that will be left beside these tasks.
    """

    __slots__ = ("free_in_seconds", "spare", "step_key")

    def __init__(self, step_key, free_in_seconds, spare):
        self.step_key = step_key
        self.free_in_seconds = free_in_seconds
        self.spare = spare

    def admits(self, step_state):
        """Return whether a task of a step may be placed despite the hold."""
        if step_state.key == self.step_key:
            return True
        if step_state.step.room_demand.fits_in(self.spare):
            return True
        return _max_likely_seconds(step_state) <= self.free_in_seconds

    def take_spare(self, demand):
        """Subtract a task of another step, placed despite the hold, from the spare."""
        self.spare = self.spare - demand


class Holds:
    """Holds of the rooms of a pool, taken by steps in the order of service.

    Parameters
    ----------
    rooms : Rooms
    step_of : callable
        Takes the key of a task; returns its StepState, or None.

    Attributes
    ----------
    changed : list of StepState
        Steps that have begun or ceased to hold room since the caller last emptied it.
    """

    __slots__ = (
        "_ends",
        "_held",
        "_now",
        "_rooms",
        "_smallest",
        "_step_of",
        "_steps_left",
        "changed",
    )

    def __init__(self, rooms, step_of):
        self._rooms = rooms
        self._step_of = step_of
        self._now = 0.0
        self._steps_left = 0
        self._smallest = Amounts()
        # Rooms held by step key.
        self._held = {}
        # When the runs of a worker are expected to end, as computed in this round.
        self._ends = {}
        self.changed = []

    def begin_round(self, now, is_full):
        """Prepare for a scheduling round.

        Parameters
        ----------
        now : float
            Monotonic seconds.
        is_full : bool
            Whether the round examines all steps. All holds are dropped then, and the
            steps take them anew in the order of service.
        """
        self._now = now
        self._ends = {}
        if not is_full:
            return
        self._steps_left = _MAX_STEPS
        self._smallest = _min_capacity(self._rooms)
        for key in list(self._held):
            self.drop(key)

    def drop(self, key):
        """Drop the holds of a step.

        Parameters
        ----------
        key : StepKey
        """
        for room in self._held.pop(key, ()):
            room.drop_hold()

    def hold_room(self, step_state, allowed=None):
        """Hold room for a step that waits, if it needs a hold.

        Parameters
        ----------
        step_state : StepState
        allowed : container of str, optional
            Workers that may run it; None for all.

        Returns
        -------
        float or None
            Seconds until the held room is free; None if no room is held.
        """
        if not self._needs_hold(step_state):
            return None
        indexes = sorted(step_state.waiting)
        is_gang = step_state.step.is_gang
        candidates = self._candidates(step_state, allowed)
        if not is_gang:
            indexes = indexes[:_MAX_HELD_TASKS]
        planned = {}
        for index in indexes:
            room = self._soonest(step_state, index, candidates, planned)
            if room is not None:
                planned.setdefault(room, []).append(index)
            elif is_gang:
                planned = {}
                break
        return self._set_holds(step_state, planned)

    def _needs_hold(self, step_state):
        """Return whether to try to hold room for a step, and count the attempt.

        No worker is examined: in a burst, hundreds of steps of small tasks wait, and
        none of them needs a hold.
        """
        step = step_state.step
        if step.is_filler or self._steps_left <= 0:
            return False
        if step.is_gang and len(step_state.waiting) < len(step_state.tasks):
            return False
        if not _needs_several(step_state) and not _is_large(
            step.room_demand, self._smallest
        ):
            return False
        self._steps_left -= 1
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
                seconds *= _MOVE_SHARE
            rank = (room.is_suspected, seconds)
            if best_rank is None or rank < best_rank:
                best, best_rank = room, rank
            if best_rank == _BEST_RANK:
                break
        return best

    def _free_in(self, room, step_state, count):
        """Return the seconds until a number of tasks fit, and the spare; or None."""
        wanted = step_state.step.room_demand
        free = Amounts(room.processors, room.memory, room.accelerators)
        for _ in range(count):
            free = free - wanted
        if _is_sufficient(free):
            return 0.0, free
        for remaining, _, demand in self._run_ends(room):
            free = free + demand
            if _is_sufficient(free):
                return remaining, free
        return None

    def _run_ends(self, room):
        """Return the remaining seconds and the demands of a worker's runs, ascending.

        They are computed once a round, although dozens of steps may look for room.
        """
        ends = self._ends.get(room)
        if ends is None:
            ends = self._ends[room] = []
            for run in room.runs.values():
                remaining = remaining_seconds(self._step_of(run.key), run, self._now)
                if remaining is not None:
                    ends.append((remaining, id(run), run.demand))
            ends.sort(key=lambda end: end[:2])
        return ends

    def _set_holds(self, step_state, planned):
        """Set the planned holds; return the seconds until a task of the step fits."""
        free = {
            room: self._free_in(room, step_state, len(indexes))
            for room, indexes in planned.items()
        }
        longest = max((seconds for seconds, _ in free.values()), default=0.0)
        held_on = {}
        for room, (seconds, spare) in free.items():
            # The members of a gang start together.
            begins_at = self._now + (longest if step_state.step.is_gang else seconds)
            # A task that was placed despite the hold may take longer than its estimate.
            # If this deferred the hold, more tasks could be placed, and it would never
            # begin.
            begins_at = min(begins_at, step_state.held_on.get(room.worker, begins_at))
            held_on[room.worker] = begins_at
            free_in_seconds = max(0.0, begins_at - self._now)
            room.hold = Hold(step_state.key, free_in_seconds, spare)
        if bool(held_on) != bool(step_state.held_on):
            self.changed.append(step_state)
        step_state.held_on = held_on
        if not free:
            return None
        self._held[step_state.key] = list(free)
        if step_state.step.is_gang:
            return longest
        return min(seconds for seconds, _ in free.values())


def _is_sufficient(free):
    return free.processors >= 0 and free.memory >= 0 and free.accelerators >= 0


def _needs_several(step_state):
    """Return whether a step needs room for several tasks at once."""
    return step_state.step.is_gang and len(step_state.tasks) > 1


def _min_capacity(rooms):
    """Return the minimum of each amount over the capacities of the workers."""
    capacities = [room.registration.capacity for room in rooms]
    return Amounts(
        min((one.processors for one in capacities), default=0),
        min((one.memory for one in capacities), default=0),
        min((one.accelerators for one in capacities), default=0),
    )


def _is_large(demand, capacity):
    """Return whether a demand takes a large share of a capacity."""
    return (
        demand.processors >= _LARGE_SHARE * capacity.processors
        or demand.memory >= _LARGE_SHARE * capacity.memory
        or (
            demand.accelerators > 0
            and demand.accelerators >= _LARGE_SHARE * capacity.accelerators
        )
    )


def _max_likely_seconds(step_state):
    """Return how long a task of a step may run, infinity if that is not limited."""
    if step_state.step.is_lasting:
        return float("inf")
    known = max(step_state.usual_seconds, step_state.step.estimate_seconds)
    return _ESTIMATE_FACTOR * known if known else float("inf")
