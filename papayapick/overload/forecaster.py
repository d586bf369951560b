"""Forecast when work that comes now would begin.

Load pattern: bursts of wide jobs on a full pool, and teams that send several times
their usual. From what waits, what comes and what the pool gets through there are two
bounds: a job may be refused by the earliest time only, and a promise is judged by the
latest.
"""

import math

from papayapick.overload.arrivals import WINDOW_SECONDS, Arrivals
from papayapick.overload.forecast import PoolForecast, QueueForecast
from papayapick.overload.surplus import SurplusRoom
from papayapick.overload.throughput import Throughput
from papayapick.overload.work_ahead import Level, WorkAhead
from papayapick.placement.order.timeliness import least_patience, useful_seconds

__all__ = ["Forecaster"]

# Bounds the messages; the teams that wait longest are named.
_MAX_TEAMS = 20
# Work that will be ready makes the time found longer, by which more is ready.
_MAX_ROUNDS = 3


class Forecaster:
    """Make the forecasts of one owner from its counts.

    Parameters
    ----------
    reasons_apart : container, optional
        Reasons for waiting that keep no room from other jobs.

    Attributes
    ----------
    missed : int
        Jobs that were expected to be done in time by the latest bound, and were not
        done while they were of use.
    """

    __slots__ = (
        "_arrivals",
        "_known",
        "_reasons_apart",
        "_room",
        "_throughput",
        "missed",
    )

    def __init__(self, reasons_apart=()):
        self._reasons_apart = reasons_apart
        self._arrivals = Arrivals()
        self._throughput = Throughput()
        self._room = SurplusRoom()
        # For each live job the time until which it is of use, if it was expected to be
        # done by then, or else None.
        self._known = {}
        self.missed = 0

    def forecast(self, jobs, queues, pool_cores, task_times, owed_again, now):
        """Count the work and return the forecast.

        Parameters
        ----------
        jobs : list of JobState
            Without a final status.
        queues : iterable of Queue
            Queues of the pool.
        pool_cores : float
            Cores of the workers that take tasks.
        task_times : TaskTimeSource
        owed_again : callable
            Takes a number of teams; returns seconds by team, see
            ``Entitlements.beyond_rate``.
        now : float
            Monotonic seconds.

        Returns
        -------
        PoolForecast
        """
        work = WorkAhead(task_times, self._reasons_apart)
        for job in jobs:
            work.add(job, now)
        new = [job for job in jobs if job.identifier not in self._known]
        self._arrivals.note((work.jobs[job.identifier] for job in new), now)
        self._room.note(work.surplus_waiting, now)
        cores = max(0.0, pool_cores - work.lasting)
        self._note_throughput(work, cores, now)
        bounds = self._processors(cores, now)
        by_name = {job.queue.name: job.queue for job in jobs}
        by_name.update((queue.name, queue) for queue in queues)
        estimate = _Estimate(work, self._arrivals, self._room, bounds, now)
        found = {name: estimate.queue(queue) for name, queue in by_name.items()}
        self._note_promises(jobs, found, now)
        return PoolForecast(found, owed_again(_MAX_TEAMS), bounds[1], now)

    def _note_throughput(self, work, cores, now):
        left = sum(one.total for one in work.levels.values())
        is_waiting = any(one.ready for one in work.levels.values())
        share = work.running / cores if cores else 0.0
        self._throughput.note(left, is_waiting, share, now)

    def _processors(self, cores, now):
        """Return a low and a high bound of the work that the pool gets through."""
        measured = self._throughput.completed(self._arrivals.work_since, now)
        low = cores * self._throughput.share()
        if measured is None:
            return low, cores
        return min(low, measured), max(cores, measured)

    def _note_promises(self, jobs, forecasts, now):
        known = {}
        for job in jobs:
            if job.identifier in self._known:
                useful_until = self._known[job.identifier]
                if useful_until is not None and now > useful_until:
                    self.missed += 1
                    useful_until = None
            else:
                useful_until = _promised_until(job, forecasts[job.queue.name])
            known[job.identifier] = useful_until
        self._known = known


class _Estimate:
    """Estimate the bounds of the queues from one count.

    Parameters
    ----------
    work : WorkAhead
    arrivals : Arrivals
    room : SurplusRoom
    processors : tuple of float
        Low and high bound of the work that the pool gets through, in cores.
    now : float
        Monotonic seconds.
    """

    __slots__ = ("_arrivals", "_bounds", "_now", "_processors", "_room", "_work")

    def __init__(self, work, arrivals, room, processors, now):
        self._room = room
        self._work = work
        self._arrivals = arrivals
        self._processors = processors
        self._now = now
        # Bounds of the arrivals by level, as many queues have the same one.
        self._bounds = {}

    def queue(self, queue):
        """Return the QueueForecast of a queue."""
        owed = Level(False, queue.priority)
        surplus = Level(True, queue.priority)
        least = least_patience(queue)
        patiences = self._work.patiences.get(queue.name, ())
        patience = sum(patiences) / len(patiences) if patiences else least
        return QueueForecast(
            self._earliest(owed, least),
            self._earliest(owed, patience),
            patience,
            self._latest(owed),
            self._earliest(surplus, least),
            self._earliest(surplus, patience),
            self._latest(surplus),
        )

    def _earliest(self, level, patience):
        """Return the time at which the last task ahead may start, at the earliest.

        When it starts, no more can be left to do than the running tasks, and no task
        takes longer than the longest. That holds for the more urgent ones by themselves
        too, whose tasks may be shorter.
        """
        found = self._begin(level, patience, -math.inf)
        for _ in range(_MAX_ROUNDS):
            # What is ready by the time that was found is served first as well.
            later = self._begin(level, patience, found)
            if later <= found:
                break
            found = later
        if level.is_surplus and self._room.is_closed(level, self._now):
            return max(found, self._opening(level, patience))
        return found

    def _begin(self, level, patience, within):
        """Return when work of a level may begin, with what is ready by some time."""
        _, processors = self._processors
        coming = self._coming(level)[0] if level.is_surplus else 0.0
        ahead = longest = 0.0
        found = -math.inf
        for other in sorted(self._work.levels):
            if other > level:
                break
            work = self._work.levels[other]
            longest = max(longest, work.longest)
            ahead += work.running_least
            if other < level:
                longest = max(longest, work.longest_within(within))
                ahead += work.ready + work.ready_within(within)
            else:
                ahead += work.ready_before(self._now + patience)
            seconds = _optimistic(ahead - processors * longest, processors, coming)
            found = max(found, seconds)
        return found if found > -math.inf else 0.0

    def _opening(self, level, patience):
        """Return when a surplus that gets no room now may get some.

        The pool is full and stays so, with as much running then as now. What waits
        before the surplus is begun at the rate at which room becomes free, less what
        comes at least.
        """
        ahead = 0.0
        for other, work in self._work.levels.items():
            if other < level:
                ahead += work.ready + work.soon
            elif other == level:
                ahead += work.ready_before(self._now + patience)
        _, processors = self._processors
        return _optimistic(ahead, processors, self._coming(level)[0])

    def _latest(self, level):
        ahead = 0.0
        for other, work in self._work.levels.items():
            # What runs ends before its room is free, however urgent the others are.
            ahead += work.running_most
            if other <= level:
                ahead += work.ready + work.soon + work.other
        processors, _ = self._processors
        return max(0.0, _seconds(ahead, processors - self._coming(level)[1]))

    def _coming(self, level):
        if level not in self._bounds:
            self._bounds[level] = self._arrivals.bounds(
                lambda other: other < level, self._now
            )
        return self._bounds[level]


def _optimistic(work, processors, coming):
    """Return how long some work takes while more comes for no longer than it has."""
    if work <= 0:
        return _seconds(work, processors)
    seconds = _seconds(work, processors - coming)
    if seconds <= WINDOW_SECONDS:
        return seconds
    return _seconds(work + coming * WINDOW_SECONDS, processors)


def _seconds(work, processors):
    """Return how long some work takes; infinite if nothing is left to do it."""
    if work <= 0:
        return work / processors if processors > 0 else 0.0
    return work / processors if processors > 0 else math.inf


def _promised_until(job, forecast):
    """Return until when a new job is of use if it is expected to be done by then."""
    if job.document.is_timed or job.document.is_lasting:
        return None
    begin = forecast.latest if job.is_owed else forecast.surplus_latest
    # The count from which the forecast was made contains the job, which does not wait
    # for itself; that it does here makes the promise only more careful.
    useful = useful_seconds(job)
    if begin + job.critical_path_seconds > useful:
        return None
    return job.arrived_at + useful
