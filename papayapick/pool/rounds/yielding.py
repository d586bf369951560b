"""Decide in full rounds which jobs of an owner yield, from all that wait and run.

Load pattern: more waits than can be in time. What the jobs still need is compared with
the processors that are left to their priority.
"""

import collections
import enum
import heapq

from papayapick.jobs.state import JobStatus
from papayapick.overload.duty_cycle import DutyCycle
from papayapick.overload.plan import YieldPlan
from papayapick.overload.types import DelayedJob
from papayapick.placement.order.timeliness import due_at, saved_seconds, saved_share
from papayapick.pool.events import JOBS_YIELD

__all__ = ["Standing", "YieldingJobs"]

# A plan for hundreds of jobs takes milliseconds under the owner's lock, and a burst
# lasts seconds.
_INTERVAL_SECONDS = 0.5
# Share of the owner's time that plans may take.
_MAX_TIME_SHARE = 0.05
# Jobs of one priority in a plan, the most urgent ones: the others would wait for
# longer than they are useful.
_MAX_JOBS = 1000
_LOG_INTERVAL_SECONDS = 1.0
_MILLICORES = 1000
_FULL = 100


class Standing(enum.StrEnum):
    """How a job stands in a plan; values of a label of a metric."""

    IN_TIME = "in-time"
    YIELDING = "yielding"
    # Also a job beyond the most urgent ones that a plan considers.
    LATE = "late"


class YieldingJobs:
    """Set ``is_yielding`` of the jobs of an owner.

    Parameters
    ----------
    owner : PoolOwner

    Attributes
    ----------
    counts : dict of str to collections.Counter
        By queue, how many jobs are in time, late or yield in the last plan; empty
        while the pool has room for all that waits.
    """

    __slots__ = ("_cycle", "_logged_at", "_owner", "_plans", "_yielding", "counts")

    def __init__(self, owner):
        self._owner = owner
        self._logged_at = float("-inf")
        self._cycle = DutyCycle(_MAX_TIME_SHARE, _INTERVAL_SECONDS)
        # By priority; there are two for each priority of a queue.
        self._plans = {}
        # Identifiers of the jobs that yield.
        self._yielding = set()
        self.counts = {}

    def renew(self, now):
        """Make the plan anew if it is due.

        Parameters
        ----------
        now : float
            Monotonic seconds.

        Returns
        -------
        set of StepKey
            Waiting steps whose order of service has changed.
        """
        owner = self._owner
        if not owner.knowledge.features.is_in_use:
            return set()
        if not self._cycle.is_due(now):
            return set()
        begin = owner.now()
        self.counts = {}
        changed = self._apply(self._choose(now))
        self._cycle.note_run(begin, owner.now())
        self._log(now)
        return changed

    def _choose(self, now):
        rooms = self._owner.rooms
        load = _PoolLoad(self._owner.job_registry.live_jobs())
        if load.waiting <= rooms.free_processors:
            return set()
        available = sum(
            room.registration.capacity.processors for room in rooms if room.is_open
        )
        available -= load.lasting
        yielding = set()
        for priority in sorted(load.jobs):
            jobs = load.jobs[priority]
            delayed = self._delayed(jobs, now)
            plan = self._plans.setdefault(priority, YieldPlan())
            chosen = plan.yielding(delayed, max(0, available), now)
            self._count(jobs, {one.identifier for one in delayed}, chosen)
            yielding |= chosen
            available -= load.used[priority]
        return yielding

    def _delayed(self, jobs, now):
        """Return the most urgent jobs that can be in time, as the plan sees them."""
        source = self._owner.knowledge.task_times
        found = ((_finish_by(job), job.identifier, job) for job in jobs)
        in_time = (entry for entry in found if now <= entry[0])
        return [
            _delayed_job(job, finish_by, source)
            for finish_by, _, job in heapq.nsmallest(_MAX_JOBS, in_time)
        ]

    def _count(self, jobs, in_time, yielding):
        for job in jobs:
            count = self.counts.setdefault(job.document.queue, collections.Counter())
            if job.identifier in yielding:
                count[Standing.YIELDING] += 1
            elif job.identifier in in_time:
                count[Standing.IN_TIME] += 1
            else:
                count[Standing.LATE] += 1

    def _log(self, now):
        if not self._yielding or now - self._logged_at < _LOG_INTERVAL_SECONDS:
            return
        self._logged_at = now
        for queue, count in self.counts.items():
            JOBS_YIELD.write(
                pool=self._owner.pool,
                queue=queue,
                in_time=count[Standing.IN_TIME],
                yielding=count[Standing.YIELDING],
                late=count[Standing.LATE],
            )

    def _apply(self, yielding):
        registry = self._owner.job_registry
        changed = set()
        for identifier in self._yielding ^ yielding:
            job = registry.get(identifier)
            if job is None:
                continue
            job.is_yielding = identifier in yielding
            changed.update(step.key for step in job.steps() if step.waiting)
        self._yielding = yielding
        return changed


class _PoolLoad:
    """What the jobs of a pool use and wait for, in millicores.

    Attributes
    ----------
    jobs : dict of int to list of JobState
        Those with a deadline, by priority.
    used : dict of int to int
        What the tasks of these use.
    lasting : int
        What the tasks of the other jobs use.
    waiting : int
        What all ready tasks without room need.
    """

    __slots__ = ("jobs", "lasting", "used", "waiting")

    def __init__(self, jobs):
        self.jobs = {}
        self.used = {}
        self.lasting = self.waiting = 0
        for job in jobs:
            self._add(job)

    def _add(self, job):
        used = 0
        for step in job.steps():
            if step.is_ready and not step.is_done:
                demand = step.step.room_demand.processors
                waiting = len(step.waiting)
                self.waiting += waiting * demand
                used += (step.unfinished_tasks - waiting) * demand
        if job.document.is_timed or job.document.is_lasting:
            self.lasting += used
            return
        self.jobs.setdefault(job.priority, []).append(job)
        self.used[job.priority] = self.used.get(job.priority, 0) + used


def _finish_by(job):
    """Return the time by which the waiting tasks of a job must have their room.

    It is the time by which the job must be done if none of its tasks waits or will.
    """
    tail = max(
        (
            job.critical_paths[step.key.step] - saved_seconds(step)
            for step in job.steps()
            if step.waiting or not step.is_ready
        ),
        default=0.0,
    )
    return due_at(job) - tail


def _delayed_job(job, finish_by, task_times):
    work = size = 0.0
    for step in job.steps():
        processors = step.step.room_demand.processors
        seconds = task_times.expected_seconds(step) or step.usual_seconds
        size += len(step.tasks) * processors * seconds
        if not step.is_done:
            work += _tasks_left(step) * processors * seconds
    return DelayedJob(
        job.identifier,
        work / _MILLICORES,
        finish_by,
        job.has_placed_task or job.status != JobStatus.WAITING,
        size / _MILLICORES,
        job.document.queue,
    )


def _tasks_left(step):
    """Return how many tasks of a step are left; running ones count in part."""
    if not step.is_ready:
        return step.unfinished_tasks
    done = sum(run.percent for run in step.active_runs()) / _FULL
    if step.saved_shares:
        done += sum(saved_share(step, index) for index in step.waiting)
    # A second copy of a task counts as well.
    return max(0.0, step.unfinished_tasks - done)
