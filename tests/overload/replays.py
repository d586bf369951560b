"""Replay a load of two queues on a pool of cores that shrinks, without a network.

Rooms are not split among workers: a task runs if that many cores are free. Each tenth
of a second the waiting tasks are placed in the order of service.
"""

import heapq
import itertools
import random

from papayapick.overload.plan import YieldPlan
from papayapick.overload.types import DelayedJob

STEP_SECONDS = 0.05
PLAN_SECONDS = 0.5
LATE_FACTOR = 3.0
LATE_WORTH = 0.2
# Spread of the time of a task around its estimate.
SIGMA = 0.3


class ReplayQueue:
    """A queue: how much arrives, and what its callers expect."""

    def __init__(self, name, priority, stretch, objective_seconds, rate, draw_steps):
        self.name = name
        self.priority = priority
        self.stretch = stretch
        self.objective_seconds = objective_seconds
        self.rate = rate
        # Takes a random.Random; returns tuples of tasks, seconds and cores.
        self.draw_steps = draw_steps


def _rush_steps(draw):
    steps = 2 if draw.random() < 0.6 else 1
    return [(1 + _about(draw, 9), 1.0, draw.choice((1.5, 2.0, 3.0)))] * steps


def _rebuild_steps(draw):
    return [(1 + _about(draw, 20), 3.8, draw.choice((3.0, 4.5, 6.0)))] * 2


def _about(draw, mean):
    return min(int(draw.expovariate(1 / mean)), 5 * mean)


RUSH = ReplayQueue("rush", 0, 1.5, 0.5, 9.7, _rush_steps)
REBUILD = ReplayQueue("rebuild", 2, 2.2, 1.2, 2.7, _rebuild_steps)


class ReplayJob:
    """A job of steps that run one after the other."""

    def __init__(self, identifier, queue, arrived_at, steps):
        self.identifier = identifier
        self.queue = queue
        self.arrived_at = arrived_at
        self.steps = steps
        self.number = 0
        self.waiting = steps[0][0]
        self.unfinished = steps[0][0]
        self.has_begun = False
        self.is_yielding = False
        self.finished_at = None
        self.size = sum(tasks * seconds * cores for tasks, seconds, cores in steps)
        path = sum(seconds for _, seconds, _ in steps)
        self.objective = queue.stretch * path + queue.objective_seconds
        self.due_at = arrived_at + self.objective

    @property
    def tail_seconds(self):
        """Return the estimated time from the start of its waiting step to its end."""
        first = self.number if self.waiting else self.number + 1
        return sum(seconds for _, seconds, _ in self.steps[first:])

    @property
    def work(self):
        """Return the core-seconds that are left; running tasks count in full."""
        _, seconds, cores = self.steps[self.number]
        later = self.steps[self.number + 1 :]
        return self.unfinished * seconds * cores + sum(n * s * c for n, s, c in later)

    @property
    def took(self):
        """Return the seconds from its arrival to its end."""
        return self.finished_at - self.arrived_at

    @property
    def is_in_time(self):
        """Return whether it ended within its objective."""
        return self.took <= self.objective

    @property
    def worth(self):
        """Return what its result is worth, in core-seconds."""
        if self.is_in_time:
            return self.size
        return (
            LATE_WORTH * self.size if self.took <= LATE_FACTOR * self.objective else 0
        )

    def as_delayed(self):
        """Return the job as the plan sees it."""
        return DelayedJob(
            self.identifier,
            self.work,
            self.due_at - self.tail_seconds,
            self.has_begun,
            self.size,
            self.queue.name,
        )

    def service_key(self, now):
        """Return the key by which jobs are served; see ``timeliness.latest_start``."""
        tail = self.tail_seconds
        for rank, factor in ((0, 1.0), (2, LATE_FACTOR)):
            latest = self.arrived_at + factor * self.objective - tail
            if now <= latest:
                is_yielding = self.is_yielding and rank == 0
                return self.queue.priority, rank + is_yielding, latest
        return self.queue.priority, 3, self.arrived_at


class LatestStart:
    """Serve by latest start alone, the baseline."""

    def renew(self, jobs, processors, now):
        """Leave the order as it is."""

    def key(self, job, now):
        """Return the key by which a job is served."""
        return job.service_key(now)


class Yielding(LatestStart):
    """Let the plan choose the jobs that yield."""

    def __init__(self, plan=YieldPlan):
        self._new_plan = plan
        self._plans = {}

    def renew(self, jobs, processors, now):
        """Make the plan of one priority anew."""
        priority = jobs[0].queue.priority
        plan = self._plans.setdefault(priority, self._new_plan())
        delayed = [job.as_delayed() for job in jobs]
        delayed = [one for one in delayed if now <= one.finish_by]
        yielding = plan.yielding(delayed, max(0.0, processors), now)
        for job in jobs:
            job.is_yielding = job.identifier in yielding


class WorthPerWork(LatestStart):
    """Serve those first that earn most for each core-second they still need."""

    def key(self, job, now):
        """Return the key by which a job is served."""
        priority, rank, latest = job.service_key(now)
        return (priority, rank, job.work / job.size if rank == 0 else latest, latest)


class FewestFirst(LatestStart):
    """Serve those first that lose most for each core-second of delay, as one job."""

    def key(self, job, now):
        """Return the key by which a job is served."""
        priority, rank, latest = job.service_key(now)
        return (priority, rank, job.work if rank == 0 else latest, latest)


class Replay:
    """Replay arrivals on a pool under one way to choose.

    Parameters
    ----------
    way : LatestStart
    jobs : list of ReplayJob
        By arrival.
    cores_at : callable
        Takes the seconds since the begin; returns the cores of the pool.
    seed : int
    """

    def __init__(self, way, jobs, cores_at, seed=0):
        self._way = way
        self._arrivals = list(jobs)
        self.jobs = jobs
        self._cores_at = cores_at
        self._seed = seed
        # Heap of the running tasks by their end.
        self._running = []
        self._used = dict.fromkeys((0, 2), 0.0)
        self._live = []
        self._planned_at = float("-inf")
        self._numbers = itertools.count()

    def run(self, limit_seconds=600.0):
        """Run until all jobs have ended; return the replay."""
        for number in range(round(limit_seconds / STEP_SECONDS)):
            now = number * STEP_SECONDS
            self._end_tasks(now)
            while self._arrivals and self._arrivals[0].arrived_at <= now:
                self._live.append(self._arrivals.pop(0))
            if not self._arrivals and not self._live:
                break
            free = self._cores_at(now) - sum(self._used.values())
            if now - self._planned_at >= PLAN_SECONDS:
                self._planned_at = now
                self._plan(now, free)
            self._place(now, free)
        return self

    def of_size(self, queue, low=0.0, high=1.0):
        """Return the jobs of a queue between two shares of them, by size."""
        jobs = [job for job in self.jobs if job.queue is queue]
        jobs.sort(key=lambda job: job.size)
        return jobs[int(low * len(jobs)) : int(high * len(jobs))]

    def _plan(self, now, free):
        wanted = sum(job.waiting * job.steps[job.number][2] for job in self._live)
        available = self._cores_at(now)
        for priority in sorted(self._used):
            jobs = [job for job in self._live if job.queue.priority == priority]
            if wanted <= free:
                for job in jobs:
                    job.is_yielding = False
            elif jobs:
                self._way.renew(jobs, 1000 * available, now)
            available -= self._used[priority]

    def _place(self, now, free):
        waiting = [job for job in self._live if job.waiting]
        for job in sorted(waiting, key=lambda job: self._way.key(job, now)):
            _, seconds, cores = job.steps[job.number]
            while job.waiting and cores <= free:
                free -= cores
                job.waiting -= 1
                job.has_begun = True
                self._used[job.queue.priority] += cores
                end = now + seconds * self._factor(job)
                heapq.heappush(self._running, (end, next(self._numbers), cores, job))

    def _factor(self, job):
        """Return how much longer than its estimate a task takes, alike in each way."""
        name = f"{self._seed} {job.identifier} {job.number} {job.waiting}"
        return random.Random(name).lognormvariate(0, SIGMA)

    def _end_tasks(self, now):
        while self._running and self._running[0][0] <= now:
            end, _, cores, job = heapq.heappop(self._running)
            self._used[job.queue.priority] -= cores
            job.unfinished -= 1
            if job.unfinished:
                continue
            job.number += 1
            if job.number < len(job.steps):
                job.waiting = job.unfinished = job.steps[job.number][0]
            else:
                job.finished_at = end
                self._live.remove(job)


def arrivals(queues, seconds, seed, bursts=()):
    """Return jobs that arrive at random, more often during bursts.

    Parameters
    ----------
    queues : list of ReplayQueue
    seconds : float
    seed : int
    bursts : list of tuple of (str, float, float, float)
        Queue, factor, begin and end.
    """
    draw = random.Random(seed)
    jobs = []
    for queue in queues:
        at = 0.0
        while at < seconds:
            factor = 1.0
            for name, burst, begin, end in bursts:
                if name == queue.name and begin <= at < end:
                    factor *= burst
            at += draw.expovariate(queue.rate * factor)
            jobs.append((at, queue, queue.draw_steps(draw)))
    jobs.sort(key=lambda job: job[0])
    return [
        ReplayJob(f"{number:06d}", queue, at, steps)
        for number, (at, queue, steps) in enumerate(jobs)
    ]


CORES = 3150
SHRUNK = (10.0, 20.0)
BURSTS = (("rebuild", 2.3, 5.0, 11.0), ("rush", 2.0, 9.0, 14.0))


def shrinking_pool(now):
    """Return the cores of a pool of which a third is taken away for ten seconds."""
    return CORES * 2 / 3 if SHRUNK[0] <= now < SHRUNK[1] else CORES


def hard_load(way, seed):
    """Replay bursts of either queue on a pool that shrinks meanwhile."""
    jobs = arrivals([RUSH, REBUILD], 30.0, seed, BURSTS)
    return Replay(way, jobs, shrinking_pool, seed).run()
