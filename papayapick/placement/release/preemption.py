"""Preempt tasks of less urgent queues that lose little to make room for urgent steps.

Guards against workers that are full of long tasks of less urgent queues when a burst of
urgent jobs arrives: these would wait for seconds until a long task ends, several times
their own run time. A gang would wait until enough long tasks end at once.
"""

import collections

from papayapick.jobs.runs import RunPhase
from papayapick.ledger import Amounts
from papayapick.placement.rooms.rooms import may_run

__all__ = [
    "StoppableRuns",
    "choose_victims",
    "may_preempt",
    "may_use",
    "victim_priority",
]

# A step first waits this long for room that is about to become free, since a stop
# itself takes a few tenths of a second.
_WAIT_SECONDS = 0.25
# Minimum time between two preemptions for a step: the room of the stopped runs is free
# only when their ends are reported.
_ROUND_SECONDS = 0.8
# Stopping more runs to place one task costs more than it gains. A task that needs
# several accelerators may stop as many runs with one accelerator each.
_MAX_VICTIMS = 3


def may_preempt(step, now):
    """Return whether a step has waited long enough to preempt runs of others.

    Parameters
    ----------
    step : StepState
    now : float
    """
    if step.step.is_filler or not step.waiting:
        return False
    if step.step.is_gang and len(step.waiting) < len(step.tasks):
        # Some members of the gang have not ended yet.
        return False
    since = max(step.ready_at + _WAIT_SECONDS, step.preempted_at + _ROUND_SECONDS)
    return now >= since


class StoppableRuns:
    """Runs that may be stopped, collected once for all steps that wait.

    Collecting them for each step would examine all runs of all workers for each of the
    thousands of steps that wait under overload, ten times a second.

    Parameters
    ----------
    rooms : Rooms
    priority_of : callable
        Takes a run; returns the priority of its queue if the run may be stopped, else
        None.
    """

    __slots__ = ("_below", "_by_room")

    def __init__(self, rooms, priority_of):
        # Runs and their priorities by worker, the largest run first, so that fewer are
        # stopped.
        self._by_room = {}
        # Results of ``below``.
        self._below = {}
        for room in rooms:
            runs = [] if room.has_unknown_demand else _stoppable(room, priority_of)
            if runs:
                self._by_room[room] = runs

    def below(self, priority):
        """Return the runs of queues that are less urgent than a priority.

        Parameters
        ----------
        priority : int

        Returns
        -------
        dict of WorkerRoom to list of Run
            Contains only workers that have such runs.
        """
        if priority not in self._below:
            self._below[priority] = self._find_below(priority)
        return self._below[priority]

    def _find_below(self, priority):
        below = {
            room: [run for run, other in runs if other > priority]
            for room, runs in self._by_room.items()
        }
        return {room: runs for room, runs in below.items() if runs}


def _stoppable(room, priority_of):
    candidates = [
        (run, priority_of(run))
        for run in room.runs.values()
        if run.phase == RunPhase.RUNNING
    ]
    candidates = [
        (run, priority) for run, priority in candidates if priority is not None
    ]
    candidates.sort(
        key=lambda entry: (entry[0].demand.accelerators, entry[0].demand.processors),
        reverse=True,
    )
    return candidates


def choose_victims(step, rooms, allowed, stoppable):
    """Return the runs to stop to make room for one waiting task or a whole gang.

    Only tasks with checkpoints are stopped. A stop takes a checkpoint too, so little
    work is lost. Members of gangs are not stopped, as their gang would fail, and
    lasting tasks are not, as they serve requests.

    Parameters
    ----------
    step : StepState
    rooms : Rooms
    allowed : container of str or None
    stoppable : StoppableRuns

    Returns
    -------
    list of Run
        Empty if stops cannot make room.
    """
    plan = _PreemptionPlan(step, allowed, stoppable.below(step.job.priority))
    if not plan.may_stop_any():
        return []
    members, eligible = 1, plan.eligible(rooms)
    if step.step.is_gang:
        # Each member of the gang iterates over all of them.
        members, eligible = len(step.tasks), list(eligible)
    for _ in range(members):
        if not plan.add_task(eligible):
            return []
    return plan.victims


class _PreemptionPlan:
    """Runs to stop, and the workers planned for the tasks of the step."""

    __slots__ = ("_allowed", "_step", "_stoppable", "_planned_tasks", "victims")

    def __init__(self, step, allowed, stoppable):
        self._step = step
        self._allowed = allowed
        self._stoppable = stoppable
        self._planned_tasks = collections.Counter()
        self.victims = []

    def may_stop_any(self):
        """Return whether stops may make room, examining only workers with such runs.

        For a single task, some worker must have room after stops.
        """
        useful = (room for room in self._stoppable if self._may_use(room))
        if self._step.step.is_gang:
            return any(True for _ in useful)
        return any(self._victims(room) for room in useful)

    def eligible(self, rooms):
        """Yield the workers that may run a task of the step once they have room."""
        able = rooms.able(self._step.step)
        return (room for room in able if self._may_use(room))

    def _may_use(self, room):
        return may_use(room, self._step, self._allowed)

    def add_task(self, eligible):
        """Plan a worker for one more task; return whether there is one."""
        best = chosen = None
        for room in eligible:
            victims = self._victims(room)
            if victims is None or (best is not None and len(victims) >= len(best)):
                continue
            best, chosen = victims, room
            if not victims:
                # No worker can need fewer stops.
                break
        if best is None:
            return False
        self._planned_tasks[chosen] += 1
        self.victims += best
        return True

    def _victims(self, room):
        """Return the runs to stop on a worker to place one more task, or None."""
        limit = self._step.step.tasks_per_worker
        planned = self._planned_tasks[room]
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
        candidates = self._stoppable.get(room, ())
        candidates = [run for run in candidates if run not in self.victims]
        return candidates[: max(_MAX_VICTIMS, demand.accelerators)]


def victim_priority(step):
    """Return the priority of a step whose runs may be stopped, else None.

    Parameters
    ----------
    step : StepState or None
        None if its job is no longer known.
    """
    if step is None or step.job.is_final:
        return None
    found = step.step
    if not found.has_checkpoints or found.is_gang or found.is_lasting:
        return None
    return step.job.priority


def may_use(room, step, allowed):
    """Return whether a waiting task of a step may run on a worker that gets room.

    Parameters
    ----------
    room : WorkerRoom
    step : StepState
    allowed : container of str or None
    """
    if not room.is_open or room.has_unknown_demand or room.is_failing:
        return False
    if room.hold is not None and room.hold.step_key != step.key:
        # The room of this worker is held for another step.
        return False
    if not may_run(room, step.step, allowed):
        return False
    return not _all_failed_on(step, room.worker)


def _all_failed_on(step, worker):
    """Return whether all waiting tasks of a step are excluded from a worker.

    None of them would be placed there, so runs would be stopped in vain, round after
    round. Lasting tasks are not excluded from workers on which they failed.
    """
    if step.step.is_lasting:
        return False
    return all(worker in step.tasks[index].failed_on for index in step.waiting)
