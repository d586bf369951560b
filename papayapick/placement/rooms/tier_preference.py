"""Choose in which order a step uses workers of unlike speed.

Load pattern: two thirds of the workers take 2.4 times as long as the rest. A wide
urgent step ends with its last task, so one task on a slow worker makes its job late,
while patient jobs would be in time on any worker and take the fast ones from it. So a
step uses the slowest workers on which its job is still in time first, and then faster
ones; a job that would be late anyway uses the fastest. No class is ruled out: a step
whose preferred workers are full is placed on the others.
"""

from papayapick.placement.order.timeliness import has_deadline, useful_seconds
from papayapick.speeds import SpeedTier

__all__ = ["AnyTier", "TierPreference", "order_tiers"]

_SLOW_FIRST = tuple(SpeedTier)
_FAST_FIRST = tuple(reversed(SpeedTier))
# Time that the start orders, the reports and the caller's poll add to a job, and what
# each of its steps adds to that.
_JOB_OVERHEAD_SECONDS = 0.3
_STEP_OVERHEAD_SECONDS = 0.15
# Durations of tasks and speeds are known to about a tenth each, a worker may slow down
# for a moment, and later steps may find only slower workers with room.
_MARGIN_FACTOR = 1.4
# A step of many tasks ends with its longest one. Tasks that are far longer than the
# others are not planned for: no worker is fast enough for these, and all steps would
# need the fastest.
_MAX_SHARE = 0.9
# With a single class there is nothing to choose.
_MIN_CLASSES = 2
# Classes change after dozens of runs at most once.
_REFRESH_SECONDS = 0.5


class AnyTier:
    """Let steps use all workers alike: the baseline for comparisons."""

    __slots__ = ()

    def refresh(self, rooms, now):
        """Leave the rooms as they are filed."""

    def begin_round(self, now):
        """Take no notice of the time."""

    def tiers(self, step_state):
        """Return an empty order: the speed of a worker does not matter."""
        return ()


class TierPreference:
    """Choose the order of the classes of workers for each step.

    Parameters
    ----------
    knowledge : PoolKnowledge
        Its ``speeds`` and ``task_times`` are read at each use, as they are replaced.
    """

    __slots__ = ("_knowledge", "_now", "_orders", "_refresh_at", "_speeds")

    def __init__(self, knowledge):
        self._knowledge = knowledge
        self._now = 0.0
        # Orders by step key, of the round in progress.
        self._orders = {}
        # Mean speed of the workers by class; empty if speeds do not differ.
        self._speeds = {}
        self._refresh_at = float("-inf")

    def refresh(self, rooms, now):
        """File the rooms by the present classes of their workers.

        Parameters
        ----------
        rooms : Rooms
        now : float
            Monotonic seconds.
        """
        speeds = self._knowledge.speeds
        if not speeds.differ:
            if self._speeds:
                self._speeds = {}
                self._orders.clear()
                for room in rooms:
                    room.tier = SpeedTier.NORMAL
            return
        if self._speeds and now < self._refresh_at:
            return
        self._refresh_at = now + _REFRESH_SECONDS
        by_tier = {}
        for room in rooms:
            room.tier = speeds.tier(room.worker)
            by_tier.setdefault(room.tier, []).append(speeds.speed(room.worker))
        self._speeds = {tier: sum(all_) / len(all_) for tier, all_ in by_tier.items()}

    def begin_round(self, now):
        """Compute all orders anew from now on.

        Parameters
        ----------
        now : float
            Monotonic seconds.
        """
        self._now = now
        self._orders.clear()

    def tiers(self, step_state):
        """Return the order of the classes of workers for a step.

        Parameters
        ----------
        step_state : StepState

        Returns
        -------
        tuple of SpeedTier
            All classes; empty if the speed of a worker does not matter, or if nothing
            is known of how long the step takes.
        """
        if len(self._speeds) < _MIN_CLASSES:
            return ()
        order = self._orders.get(step_state.key)
        if order is None:
            order = self._order(step_state)
            self._orders[step_state.key] = order
        return order

    def _order(self, step_state):
        job, times = step_state.job, self._knowledge.task_times
        if step_state.step.is_filler or not has_deadline(step_state):
            return ()
        if not times.expected_seconds(step_state):
            return ()
        if self._now > job.arrived_at + useful_seconds(job):
            return _SLOW_FIRST
        work = _MARGIN_FACTOR * likely_path_seconds(step_state, times)
        overhead = _JOB_OVERHEAD_SECONDS + _STEP_OVERHEAD_SECONDS * _chain_length(
            job.document.steps, step_state.key.step
        )
        left = in_time_until(job, times) - self._now - overhead
        return order_tiers(
            [tier for tier, speed in self._speeds.items() if work <= left * speed]
        )


def order_tiers(in_time):
    """Return the order of all classes, given those on which a job is in time.

    Parameters
    ----------
    in_time : collection of SpeedTier

    Returns
    -------
    tuple of SpeedTier

    Examples
    --------
    >>> [tier.name for tier in order_tiers([SpeedTier.FAST, SpeedTier.NORMAL])]
    ['NORMAL', 'FAST', 'SLOW']
    >>> [tier.name for tier in order_tiers([])]
    ['FAST', 'NORMAL', 'SLOW']
    """
    first = [tier for tier in _SLOW_FIRST if tier in in_time]
    return (*first, *(tier for tier in _FAST_FIRST if tier not in in_time))


def in_time_until(job, times):
    """Return until when a job is completed in time, in monotonic seconds.

    Parameters
    ----------
    job : JobState
    times : TaskTimeSource
    """
    paths = [
        times.critical_path_seconds(job, number)
        for number in range(len(job.document.steps))
    ]
    queue = job.queue
    return job.arrived_at + queue.stretch * max(paths) + queue.objective_seconds


def likely_path_seconds(step_state, times):
    """Return the time from the start of a step to the end of its job at speed 1.

    The longest of the step's remaining tasks is counted, as far as it is likely.

    Parameters
    ----------
    step_state : StepState
    times : TaskTimeSource
    """
    tasks = step_state.unfinished_tasks
    share = min(_MAX_SHARE, tasks / (tasks + 1))
    likely = times.likely_seconds(step_state, share)
    following = times.critical_path_seconds(step_state.job, step_state.key.step)
    return likely + following - times.expected_seconds(step_state)


def _chain_length(steps, number):
    """Return the number of steps of the longest chain that begins with a step."""
    lengths = [1] * len(steps)
    for later in range(len(steps) - 1, number, -1):
        for earlier in steps[later].after:
            lengths[earlier] = max(lengths[earlier], 1 + lengths[later])
    return lengths[number]
