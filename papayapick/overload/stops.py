"""Choose the runs to stop so that urgent steps get all the room they need at once.

Load pattern: urgent jobs arrive in a burst while patient tasks with checkpoints fill
the pool. One task stopped at a time makes room for the first step only, while the
others wait until they can't be in time any more.
"""

import collections
import heapq
from typing import Protocol

from papayapick.ledger import Amounts
from papayapick.placement.release.preemption import may_use

__all__ = ["FewestStops", "LeastLoss", "StopNeed", "StopPlan", "Victim", "VictimOrder"]

# Stopping more runs to place one task costs more than it gains.
_MAX_VICTIMS = 3


class StopNeed:
    """Tasks of a step that wait for room.

    Parameters
    ----------
    step : StepState
    tasks : int
        Number of tasks to place; all of a gang.
    allowed : container of str or None
        Workers that may run them.
    within_seconds : float
        Runs that end within this time make room without a stop.
    """

    __slots__ = ("allowed", "step", "tasks", "within_seconds")

    def __init__(self, step, tasks, allowed, within_seconds):
        self.step = step
        self.tasks = tasks
        self.allowed = allowed
        self.within_seconds = within_seconds


class Victim:
    """A run that may be stopped, and what is lost by it.

    Parameters
    ----------
    run : Run
    priority : int
        At which its job is served.
    is_owed : bool
        Whether its job is within the rate of its team, and the team within its share.
    becomes_late : bool
        Whether its job would be in time without the stop only.
    delays_job : bool
        Whether its job does not wait for room in any case.
    lost : float
        Core-seconds during which its room does no work.
    """

    __slots__ = ("becomes_late", "delays_job", "is_owed", "lost", "priority", "run")

    def __init__(self, run, priority, is_owed, becomes_late, delays_job, lost):
        self.run = run
        self.delays_job = delays_job
        self.priority = priority
        self.is_owed = is_owed
        self.becomes_late = becomes_late
        self.lost = lost


class VictimOrder(Protocol):
    """Compare what stops cost, given those that are planned already."""

    def cost(self, victims, delayed) -> tuple:
        """Return the cost of stopping some runs; the lowest are stopped first.

        Parameters
        ----------
        victims : list of Victim
        delayed : set of str
            Jobs of which runs are stopped already.
        """


class FewestStops:
    """Stop as few runs as possible, the largest ones: the baseline for comparisons."""

    __slots__ = ()

    def cost(self, victims, delayed):
        """Return the number of stops, and the processors as a negative number."""
        processors = sum(one.run.demand.processors for one in victims)
        return len(victims), -processors


class LeastLoss:
    """Stop what is not owed first, then what delays fewest jobs and loses least.

    A job is done when the last of its tasks is: the second stop of a job costs its
    caller less than the first one of another.
    """

    __slots__ = ()

    def cost(self, victims, delayed):
        """Return how many are owed, how many jobs are delayed, and what is lost."""
        owed, lost, late, delayed_now = 0, 0.0, set(), set()
        for one in victims:
            owed += one.is_owed
            lost += one.lost
            job = one.run.key.job
            if job not in delayed:
                if one.becomes_late:
                    late.add(job)
                if one.delays_job:
                    delayed_now.add(job)
        return owed, len(late), len(delayed_now), lost


class StopPlan:
    """Stops for several steps, each of which takes its room in the plan.

    Parameters
    ----------
    rooms : Rooms
    ends_of : callable
        Takes a room; returns tuples of the seconds until a run there ends by itself
        and the run, for each of which this is known.
    victims_of : callable
        Takes a room; returns its Victims.
    max_stops : int
    order : VictimOrder, optional
    """

    __slots__ = (
        "_candidates",
        "_delayed",
        "_ends",
        "_ends_of",
        "_freed",
        "_max_stops",
        "_order",
        "_planned",
        "_rooms",
        "_taken",
        "_victims_of",
        "victims",
    )

    def __init__(self, rooms, ends_of, victims_of, max_stops, order=None):
        self._rooms = rooms
        self._ends_of = ends_of
        self._victims_of = victims_of
        self._max_stops = max_stops
        self._order = order or LeastLoss()
        # Runs to stop, over all steps.
        self.victims = []
        # What tasks in the plan take of a room, and what victims free, by room.
        self._taken = {}
        self._freed = {}
        # Jobs of which runs are stopped.
        self._delayed = set()
        # Number of tasks in the plan by room and step.
        self._planned = collections.Counter()
        # Results of the callables by room.
        self._ends = {}
        self._candidates = {}

    @property
    def is_full(self):
        """Return whether no more runs may be stopped."""
        return len(self.victims) >= self._max_stops

    def add(self, need):
        """Plan room for a step; return the victims that are stopped for it.

        Parameters
        ----------
        need : StopNeed

        Returns
        -------
        list of Victim
            Empty if room becomes free in time by itself, or stops can't make any.
        """
        before = len(self.victims)
        taken, freed, planned = (
            dict(self._taken),
            dict(self._freed),
            self._planned.copy(),
        )
        able = self._rooms.able(need.step.step)
        eligible = [room for room in able if may_use(room, need.step, need.allowed)]
        left = self._use_free_room(need, eligible)
        if left:
            left = self._stop_for(need, eligible, left)
        if left and need.step.step.is_gang:
            # A part of its room is of no use to a gang.
            del self.victims[before:]
            self._taken, self._freed, self._planned = taken, freed, planned
            self._delayed = {victim.run.key.job for victim in self.victims}
        return self.victims[before:]

    def _use_free_room(self, need, eligible):
        """Take the room that is or becomes free by itself; return the tasks left."""
        left, demand = need.tasks, need.step.step.room_demand
        for room in eligible:
            if not left:
                break
            free = self._free(room, need)
            while left and demand.fits_in(free) and self._allows_another(room, need):
                self._take(room, need, [])
                free = free - demand
                left -= 1
        return left

    def _stop_for(self, need, eligible, left):
        """Plan stops for the tasks that are left; return how many remain.

        The cost of a worker only falls while stops are planned, so the first one in the
        order of earlier costs is taken, and only its victims are chosen anew.
        """
        options = []
        for number, room in enumerate(eligible):
            self._push(options, number, room, need)
        while left and options and not self.is_full:
            _, number, room = heapq.heappop(options)
            self._sort(room)
            victims = self._choose(room, need)
            if victims is None or len(self.victims) + len(victims) > self._max_stops:
                continue
            self._take(room, need, victims)
            left -= 1
            self._push(options, number, room, need)
        return left

    def _push(self, options, number, room, need):
        victims = self._choose(room, need)
        if victims is not None:
            cost = self._order.cost(victims, self._delayed)
            heapq.heappush(options, (cost, number, room))

    def _take(self, room, need, victims):
        demand = need.step.step.room_demand
        self._taken[room] = self._taken.get(room, Amounts()) + demand
        self._planned[room, need.step.key] += 1
        self.victims += victims
        for victim in victims:
            self._freed[room] = [*self._freed.get(room, ()), victim.run]
            self._delayed.add(victim.run.key.job)

    def _allows_another(self, room, need):
        limit = need.step.step.tasks_per_worker
        key = need.step.key
        count = self._planned[room, key] + room.step_counts.get(key, 0)
        return not limit or count < limit

    def _free(self, room, need):
        """Return the room that is free within the time of a need."""
        free = Amounts(room.processors, room.memory, room.accelerators)
        if room in self._taken:
            free = free - self._taken[room]
        stopped = self._freed.get(room, ())
        for run in stopped:
            free = free + run.demand
        if room not in self._ends:
            self._ends[room] = self._ends_of(room)
        for seconds, run in self._ends[room]:
            if seconds <= need.within_seconds and run not in stopped:
                free = free + run.demand
        return free

    def _choose(self, room, need):
        """Return the victims that make room for one more task, or None.

        None of them could be left out.
        """
        if not self._allows_another(room, need):
            return None
        demand, free = need.step.step.room_demand, self._free(room, need)
        limit = max(_MAX_VICTIMS, demand.accelerators)
        victims = []
        for victim in self._less_urgent(room, need):
            if demand.fits_in(free) or len(victims) == limit:
                break
            victims.append(victim)
            free = free + victim.run.demand
        if not demand.fits_in(free):
            return None
        for victim in victims[::-1]:
            without = free - victim.run.demand
            if demand.fits_in(without):
                victims.remove(victim)
                free = without
        return victims

    def _less_urgent(self, room, need):
        """Return the victims for a step, those that cost least first."""
        if room not in self._candidates:
            self._candidates[room] = self._victims_of(room)
            self._sort(room)
        stopped = self._freed.get(room, ())
        ending = [
            run for seconds, run in self._ends[room] if seconds <= need.within_seconds
        ]
        priority = need.step.job.priority
        return [
            victim
            for victim in self._candidates[room]
            if victim.priority > priority
            and victim.run not in stopped
            and victim.run not in ending
        ]

    def _sort(self, room):
        self._candidates[room].sort(
            key=lambda victim: self._order.cost((victim,), self._delayed)
        )
