"""Make room for urgent steps by stopping patient tasks that lose little.

Answers the load in which long tasks of patient queues fill the workers as urgent
jobs come in a burst: these would wait for seconds for the end of a long task, at
several times their own length. A gang would wait until enough of them end at once.
"""

import collections

from papayapick.jobs.runs import RunPhase
from papayapick.ledger import Amounts
from papayapick.placement.rooms import may_run

__all__ = ["StoppableRuns", "choose_victims", "may_preempt"]

# Room that is about to be free is waited for; a stop itself takes a few tenths.
_PATIENCE_SECONDS = 0.25
# One round of stops at a time: their room is free when their ends are listed.
_ROUND_SECONDS = 0.8
# More than these to place one task throws away more than it gains. One that needs
# several accelerators may stop as many tasks that have one each.
_VICTIMS_LIMIT = 3


def may_preempt(step, now):
    """Return whether a waiting step has waited long enough to stop others.

    Parameters
    ----------
    step : StepState
    now : float
    """
    if step.step.is_filler or not step.waiting:
        return False
    if step.step.is_gang and len(step.waiting) < len(step.tasks):
        # Its other members have not ended yet.
        return False
    since = max(step.ready_at + _PATIENCE_SECONDS, step.preempted_at + _ROUND_SECONDS)
    return now >= since


class StoppableRuns:
    """Hold which runs may be stopped, for one look at all steps that wait.

    Found anew for each step, they would cost a look at all runs of all workers for
    each of the thousands of steps that wait in an overload, ten times a second.

    Parameters
    ----------
    rooms : Rooms
    priority_of : callable
        Takes a run; returns the priority of its queue where the run may be
        stopped, or None.
    """

    __slots__ = ("_below", "_by_room")

    def __init__(self, rooms, priority_of):
        # Those of each worker with their priorities, the largest first: fewer are
        # stopped.
        self._by_room = {}
        # Those below a priority, by worker.
        self._below = {}
        for room in rooms:
            found = [] if room.has_unknown_demand else _stoppable(room, priority_of)
            if found:
                self._by_room[room] = found

    def below(self, priority):
        """Return the runs of less urgent queues.

        Parameters
        ----------
        priority : int

        Returns
        -------
        dict of WorkerRoom to list of Run
            Without the workers that have none.
        """
        if priority not in self._below:
            self._below[priority] = self._find_below(priority)
        return self._below[priority]

    def _find_below(self, priority):
        found = {
            room: [run for run, other in runs if other > priority]
            for room, runs in self._by_room.items()
        }
        return {room: runs for room, runs in found.items() if runs}


def _stoppable(room, priority_of):
    found = [
        (run, priority_of(run))
        for run in room.runs.values()
        if run.phase == RunPhase.RUNNING
    ]
    found = [(run, priority) for run, priority in found if priority is not None]
    found.sort(
        key=lambda one: (one[0].demand.accelerators, one[0].demand.processors),
        reverse=True,
    )
    return found


def choose_victims(step, rooms, allowed, stoppable):
    """Return runs whose end makes room for one waiting task, or for a whole gang.

    Only tasks that save their progress are stopped, and a stop saves it too, so that
    little is lost; members of gangs would break the others, and lasting tasks serve.

    Parameters
    ----------
    step : StepState
    rooms : Rooms
    allowed : container of str or None
    stoppable : StoppableRuns

    Returns
    -------
    list of Run
        Empty where room can't be made so.
    """
    plan = _Plan(step, allowed, stoppable.below(step.job.queue.priority))
    if not plan.may_stop_any():
        return []
    members, eligible = 1, plan.eligible(rooms)
    if step.step.is_gang:
        # Each member looks at all of them.
        members, eligible = len(step.tasks), list(eligible)
    for _ in range(members):
        if not plan.add_task(eligible):
            return []
    return plan.victims


class _Plan:
    """Hold which runs are to be stopped, and where tasks of the step are to go."""

    __slots__ = ("_allowed", "_step", "_stoppable", "_tasks", "victims")

    def __init__(self, step, allowed, stoppable):
        self._step = step
        self._allowed = allowed
        self._stoppable = stoppable
        self._tasks = collections.Counter()
        self.victims = []

    def may_stop_any(self):
        """Return whether a stop may help; without a look at all other workers.

        For a single task that is so only where a worker has room after some stops.
        """
        useful = (room for room in self._stoppable if self._may_use(room))
        if self._step.step.is_gang:
            return any(True for _ in useful)
        return any(self._victims(room) for room in useful)

    def eligible(self, rooms):
        """Yield the workers to which a task of the step may go once they have room."""
        able = rooms.able(self._step.step)
        return (room for room in able if self._may_use(room))

    def _may_use(self, room):
        if not room.is_open or room.has_unknown_demand or room.is_failing:
            return False
        if room.hold is not None and room.hold.step_key != self._step.key:
            # Its room goes to another step, however much is made.
            return False
        if not may_run(room, self._step.step, self._allowed):
            return False
        return not _has_failed_there(self._step, room.worker)

    def add_task(self, eligible):
        """Find room for one task more; return whether there is any."""
        best = chosen = None
        for room in eligible:
            victims = self._victims(room)
            if victims is None or (best is not None and len(victims) >= len(best)):
                continue
            best, chosen = victims, room
            if not victims:
                # Nothing is better than no stop at all.
                break
        if best is None:
            return False
        self._tasks[chosen] += 1
        self.victims += best
        return True

    def _victims(self, room):
        """Return what must be stopped on a worker for one task more, or None."""
        limit = self._step.step.tasks_per_worker
        planned = self._tasks[room]
        if limit and planned + room.step_counts.get(self._step.key, 0) >= limit:
            return None
        demand = self._step.step.room_demand
        free = Amounts(room.processors, room.memory, room.accelerators)
        for _ in range(planned):
            free = free - demand
        for run in self.victims:
            if run.worker == room.worker:
                free = free + run.demand
        victims = []
        for run in self._candidates(room, demand):
            if demand.fits_in(free):
                break
            victims.append(run)
            free = free + run.demand
        return victims if demand.fits_in(free) else None

    def _candidates(self, room, demand):
        found = self._stoppable.get(room, ())
        found = [run for run in found if run not in self.victims]
        return found[: max(_VICTIMS_LIMIT, demand.accelerators)]


def _has_failed_there(step, worker):
    """Return whether no waiting task of a step would go to a worker.

    What makes room for one that failed there is stopped in vain, round after round.
    """
    if step.step.is_lasting:
        return False
    return all(worker in step.tasks[index].failed_on for index in step.waiting)
