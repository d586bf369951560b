"""Select straggler tasks for speculative copies, where their step allows copies.

Guards against workers that are slow or stall while they report good health: the step
waits for its last task, which takes several times as long as the others.

Load pattern: workers whose speeds differ, and one task in thirty that takes seven times
as long. There a run is not compared with the others of its step: a copy is started if
the run makes its job late by its own progress, and a copy on a certain worker would
end clearly before it.
"""

import statistics

from papayapick.jobs.runs import RunPhase
from papayapick.placement.order.timeliness import has_deadline, useful_seconds
from papayapick.placement.rooms.tier_preference import in_time_until
from papayapick.placement.runs.progress import STALL_SECONDS

__all__ = [
    "LateRun",
    "copy_allowance",
    "late_runs",
    "stragglers",
    "unjudged_stragglers",
]

# Above the usual variation of run times within a step, which is a factor of two.
_SLOW_FACTOR = 2.5
# Start orders and worker reports add up to half a second to the run time.
_OVERHEAD_SECONDS = 0.5
# A copy must end by this factor before the run that it is a copy of, since durations
# and speeds are known to about a tenth each.
_CLEAR_FACTOR = 1.3
# With a smaller certainty, the speed of a worker is that of others like it.
_MIN_CERTAINTY = 0.3
# A run must have been at work for this share of the expected time before its progress
# shows when it ends: percents are integers, and its start was confirmed late.
_MIN_WORKED_SHARE = 0.3
# Share of the pool that copies may use.
_MAX_POOL_SHARE = 0.03
_FULL = 100


class LateRun:
    """Run that makes its job late if it goes on.

    Parameters
    ----------
    index : int
        Number of its task.
    remaining_seconds : float
        Until its end.
    task_seconds : float
        What a copy takes on a worker of speed 1.
    has_stalled : bool, optional
        Whether it makes no progress at present.
    """

    __slots__ = ("has_stalled", "index", "remaining_seconds", "task_seconds")

    def __init__(self, index, remaining_seconds, task_seconds, has_stalled=False):
        self.has_stalled = has_stalled
        self.index = index
        self.remaining_seconds = remaining_seconds
        self.task_seconds = task_seconds

    def is_worth_copy(self, worker, speeds):
        """Return whether a copy on a worker would end clearly before the run.

        Parameters
        ----------
        worker : str
        speeds : SpeedSource
        """
        if speeds.certainty(worker) < _MIN_CERTAINTY:
            return False
        copy_seconds = _OVERHEAD_SECONDS + self.task_seconds / speeds.speed(worker)
        return _CLEAR_FACTOR * copy_seconds < self.remaining_seconds


def late_runs(step, now, knowledge, siblings_of):
    """Return the runs of a step that make its job late, and could be copied.

    Parameters
    ----------
    step : StepState
    now : float
        Monotonic seconds.
    knowledge : PoolKnowledge
    siblings_of : callable
        Takes a run; returns the runs on its worker with their StepStates, as pairs.

    Returns
    -------
    list of LateRun
        Those that end last first.
    """
    job, times = step.job, knowledge.task_times
    if not _may_be_copied(step) or not _has_known_end(step, now, times):
        return []
    expected = times.expected_seconds(step)
    following = times.critical_path_seconds(job, step.key.step) - expected
    # The later steps may run on the fastest workers, and not earlier than expected.
    limit = in_time_until(job, times) - following
    found = []
    for index, task in enumerate(step.tasks):
        if len(task.runs) != 1:
            continue
        (run,) = task.runs
        whole = _whole_seconds(step, run, knowledge)
        if whole is None:
            continue
        remaining = whole - run.worked_seconds(now)
        if now + remaining > limit:
            task_seconds = _task_seconds(step, run, whole, knowledge, siblings_of)
            found.append(LateRun(index, remaining, task_seconds, _has_stalled(run)))
    return sorted(found, key=lambda late: -late.remaining_seconds)


def unjudged_stragglers(step, now, knowledge):
    """Return the stragglers of a step of which ``late_runs`` can say nothing.

    Without a copy, the task of a stalled run would wait for as long as its worker
    stalls, as runs of steps that allow copies are not moved.

    Parameters
    ----------
    step : StepState
    now : float
        Monotonic seconds.
    knowledge : PoolKnowledge

    Returns
    -------
    list of int
        Task indexes, slowest first.
    """
    if _has_known_end(step, now, knowledge.task_times):
        return []
    return stragglers(step, now)


def _has_known_end(step, now, times):
    """Return whether a step's job has a deadline, and when it would end is known."""
    job = step.job
    is_useful = now <= job.arrived_at + useful_seconds(job)
    return bool(has_deadline(step) and is_useful and times.expected_seconds(step))


def copy_allowance(steps, capacity_processors):
    """Return the processors that further copies may use, in millicores.

    Parameters
    ----------
    steps : iterable of StepState
    capacity_processors : int
        Millicores of the pool.
    """
    used = sum(
        (len(task.runs) - 1) * step.step.room_demand.processors
        for step in steps
        if step.step.allows_copies
        for task in step.tasks
        if len(task.runs) > 1
    )
    return _MAX_POOL_SHARE * capacity_processors - used


def _whole_seconds(step, run, knowledge):
    """Return the whole duration of a run by its progress, or None if not known."""
    is_at_work = run.phase == RunPhase.RUNNING and run.was_listed
    if not is_at_work or not run.shows_worker_speed or run.is_resumed:
        return None
    worked = run.worked_seconds(run.percent_at)
    speed = knowledge.speeds.speed(run.worker)
    expected = knowledge.task_times.expected_seconds(step)
    if worked < _MIN_WORKED_SHARE * expected / speed:
        return None
    return worked * _FULL / max(run.percent, 1)


def _task_seconds(step, run, whole, knowledge, siblings_of):
    """Return what a task takes on a worker of speed 1.

    A run that has stalled says nothing about its task. If the other runs on its worker
    take longer than expected as well, the worker is slow at present; else the task is
    long by itself, and would be on any worker.
    """
    expected = knowledge.task_times.expected_seconds(step)
    if _has_stalled(run):
        return expected
    speed = knowledge.speeds.speed(run.worker)
    slowness = []
    for sibling, sibling_step in siblings_of(run):
        if sibling is run:
            continue
        sibling_whole = _whole_seconds(sibling_step, sibling, knowledge)
        usual = knowledge.task_times.expected_seconds(sibling_step)
        if sibling_whole is not None and usual:
            slowness.append(sibling_whole * speed / usual)
    return whole * speed / max(1.0, statistics.median(slowness or [1.0]))


def _has_stalled(run):
    return run.percent_at - run.progressed_at >= STALL_SECONDS


def _may_be_copied(step):
    return step.step.allows_copies and not (step.step.is_gang or step.waiting)


def stragglers(step, now):
    """Return the tasks of a step that should get a second copy.

    Parameters
    ----------
    step : StepState
    now : float

    Returns
    -------
    list of int
        Task indexes, slowest first. Run times are compared with those of the completed
        tasks of the step or, while there are none, with the caller's estimate.
    """
    if not _may_be_copied(step):
        return []
    usual = step.usual_seconds or step.step.estimate_seconds
    if not usual:
        return []
    limit = _SLOW_FACTOR * usual + _OVERHEAD_SECONDS
    slow = [
        (task.runs[0].worked_seconds(now), index)
        for index, task in enumerate(step.tasks)
        if len(task.runs) == 1 and _is_slow(task.runs[0], now, limit)
    ]
    return [index for _, index in sorted(slow, reverse=True)]


def _is_slow(run, now, limit):
    return run.phase == RunPhase.RUNNING and run.worked_seconds(now) > limit
