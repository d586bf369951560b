"""Make room for urgent steps by stopping patient tasks that lose little.

Answers the load in which long tasks of patient queues fill the workers as urgent
jobs come in a burst: these would wait for seconds for the end of a long task, at
several times their own length. A gang would wait until enough of them end at once.
"""

import collections

from papayapick.jobs.runs import RunPhase
from papayapick.ledger import Amounts

__all__ = ["choose_victims", "may_preempt"]

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


def choose_victims(step, rooms, allowed, priority_of):
    """Return runs whose end makes room for one waiting task, or for a whole gang.

    Only tasks that save their progress are stopped, and a stop saves it too, so that
    little is lost; members of gangs would break the others, and lasting tasks serve.

    Parameters
    ----------
    step : StepState
    rooms : Rooms
    allowed : container of str or None
    priority_of : callable
        Takes a run; returns the priority of its queue where the run may be
        stopped, or None.

    Returns
    -------
    list of Run
        Empty where room can't be made so.
    """
    plan = _Plan(step, priority_of)
    eligible = [room for room in rooms.able(step.step) if plan.may_use(room, allowed)]
    for _ in range(len(step.tasks) if step.step.is_gang else 1):
        if not plan.add_task(eligible):
            return []
    return plan.victims


class _Plan:
    """Hold which runs are to be stopped, and where tasks of the step are to go."""

    __slots__ = ("_priority_of", "_step", "_tasks", "victims")

    def __init__(self, step, priority_of):
        self._step = step
        self._priority_of = priority_of
        self._tasks = collections.Counter()
        self.victims = []

    def may_use(self, room, allowed):
        """Return whether a task of the step may go to a worker once it has room."""
        if not room.is_open or room.has_unmeasured or room.is_failing:
            return False
        if room.hold is not None and room.hold.step_key != self._step.key:
            # Its room goes to another step, however much is made.
            return False
        if _has_failed_there(self._step, room.worker):
            return False
        return allowed is None or room.worker in allowed

    def add_task(self, eligible):
        """Find room for one task more; return whether there is any."""
        best = chosen = None
        for room in eligible:
            victims = self._victims(room)
            if victims is not None and (best is None or len(victims) < len(best)):
                best, chosen = victims, room
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
        """Return the runs that may be stopped, the largest first: fewer are stopped."""
        priority = self._step.job.queue.priority
        found = [
            run
            for run in room.runs.values()
            if run.phase == RunPhase.RUNNING
            and run not in self.victims
            and (self._priority_of(run) or 0) > priority
        ]
        found.sort(
            key=lambda run: (run.demand.accelerators, run.demand.processors),
            reverse=True,
        )
        return found[: max(_VICTIMS_LIMIT, demand.accelerators)]


def _has_failed_there(step, worker):
    """Return whether no waiting task of a step would go to a worker.

    What makes room for one that failed there is stopped in vain, round after round.
    """
    if step.step.is_lasting:
        return False
    return all(worker in step.tasks[index].failed_on for index in step.waiting)
