"""Sum up the work of a pool by priority, and by whether it is owed.

Load pattern: bursts of wide jobs on a full pool. A count of jobs says little of the
time that they take: one job may have forty times the work of another, and only what is
served before a new job delays it. So core-seconds are summed up, apart for each
priority and for jobs beyond their team's rate, with the time until which each job may
wait.
"""

import bisect
import collections
import itertools

from papayapick.placement.order.timeliness import useful_seconds

__all__ = ["Level", "LevelWork", "WorkAhead"]

_MILLICORES = 1000
# Jobs that may wait equally long differ by less, through rounding.
_TIE_SECONDS = 1e-6


class Level(collections.namedtuple("Level", ("is_surplus", "priority"))):
    """Jobs that are served alike; a lower level is served first.

    Parameters
    ----------
    is_surplus : bool
        Whether the jobs are beyond the rate of their teams.
    priority : int
    """

    __slots__ = ()


class LevelWork:
    """Work of one level, in core-seconds.

    Attributes
    ----------
    ready : float
        Of waiting tasks that could start and still be of use.
    soon : float
        Of tasks that wait for earlier steps of which all tasks run, and could then be
        of use.
    other : float
        Of all other tasks: those that wait for earlier steps, for their team, for
        advice or for workers with a label, and of jobs that are of no use any more.
    running_least, running_most : float
        Bounds of what is left of running tasks.
    longest : float
        Seconds that the longest task takes that runs or could start.
    """

    __slots__ = (
        "_latest_starts",
        "_soon",
        "_sums",
        "longest",
        "other",
        "ready",
        "running_least",
        "running_most",
        "soon",
    )

    def __init__(self):
        self.ready = self.other = self.running_least = self.running_most = 0.0
        self.soon = self.longest = 0.0
        # Seconds until a step is ready, seconds of a task, and work.
        self._soon = []
        # Pairs of the latest useful start of a step and its ready work.
        self._latest_starts = []
        self._sums = None

    @property
    def total(self):
        """Return all work that is left, without credit for the progress of tasks."""
        return self.ready + self.soon + self.other + self.running_most

    def add_ready(self, latest_start, work):
        """Add waiting tasks of a step that should start by a time to be of use."""
        self.ready += work
        self._latest_starts.append((latest_start, work))
        self._sums = None

    def add_soon(self, seconds, task_seconds, work):
        """Add the tasks of a step that will be ready within some seconds."""
        self.soon += work
        self._soon.append((seconds, task_seconds, work))

    def ready_within(self, seconds):
        """Return the work that is not ready, but will be within some seconds."""
        return sum(work for within, _, work in self._soon if within <= seconds)

    def longest_within(self, seconds):
        """Return the seconds of the longest task that will be ready by then."""
        found = (task for within, task, _ in self._soon if within <= seconds)
        return max(found, default=0.0)

    def ready_before(self, latest_start):
        """Return the ready work that has to start by a time."""
        if self._sums is None:
            self._latest_starts.sort()
            works = (work for _, work in self._latest_starts)
            self._sums = list(itertools.accumulate(works, initial=0.0))
        last = (latest_start + _TIE_SECONDS, float("inf"))
        end = bisect.bisect_right(self._latest_starts, last)
        return self._sums[end]


class WorkAhead:
    """Count the work of live jobs; the cost is bounded by their steps.

    Parameters
    ----------
    task_times : TaskTimeSource
    reasons_apart : container
        Reasons for waiting that keep no room from other jobs.

    Attributes
    ----------
    levels : dict of Level to LevelWork
    lasting : float
        Cores that tasks without an end use.
    running : float
        Cores that all other tasks use.
    patiences : dict of str to list of float
        Seconds that whole jobs of each queue may wait, by queue.
    jobs : dict of str to tuple
        Level and total work of each job by its identifier.
    surplus_waiting : dict of str to tuple
        Level and number of the tasks of each job beyond its team's rate that wait for
        room, not for earlier steps, their team, advice or workers with a label.
    """

    __slots__ = (
        "_reasons_apart",
        "_task_times",
        "jobs",
        "lasting",
        "levels",
        "patiences",
        "running",
        "surplus_waiting",
    )

    def __init__(self, task_times, reasons_apart=()):
        self._task_times = task_times
        self._reasons_apart = reasons_apart
        self.levels = collections.defaultdict(LevelWork)
        self.lasting = self.running = 0.0
        self.patiences = collections.defaultdict(list)
        self.jobs = {}
        self.surplus_waiting = {}

    def add(self, job, now):
        """Add a job.

        Parameters
        ----------
        job : JobState
            Without a final status.
        now : float
            Monotonic seconds.
        """
        is_surplus = not (job.is_owed or job.document.is_lasting)
        level = Level(is_surplus, job.queue.priority)
        useful_until = job.arrived_at + useful_seconds(job)
        work = self.levels[level]
        before = work.total
        steps = job.steps()
        for step in steps:
            if step.unfinished_tasks:
                self._add_step(work, step, useful_until, now)
        self.jobs[job.identifier] = level, work.total - before
        if is_surplus:
            waiting = sum(
                len(step.waiting) for step in steps if not self._is_apart(step)
            )
            self.surplus_waiting[job.identifier] = level, waiting
        if useful_until != float("inf"):
            patience = useful_until - job.arrived_at - job.critical_path_seconds
            self.patiences[job.document.queue].append(patience)

    def _is_apart(self, step):
        """Return whether a step waits for other than the room that all may use.

        Workers with a label are few; steps that wait for them leave others the rest.
        """
        return bool(step.step.label) or step.wait_reason in self._reasons_apart

    def _add_step(self, work, step, useful_until, now):
        cores = step.step.room_demand.processors / _MILLICORES
        waiting = len(step.waiting)
        used = (step.unfinished_tasks - waiting) * cores
        if step.step.is_lasting:
            self.lasting += used if step.is_ready else 0.0
            return
        seconds = self._task_times.expected_seconds(step)
        if not step.is_ready:
            amount = step.unfinished_tasks * cores * seconds
            self._add_later(work, step, amount, useful_until, now)
            return
        work.longest = max(work.longest, seconds)
        if used:
            self.running += used
            work.running_most += used * seconds
            # No task of the step began before the step was ready.
            left = seconds - max(0.0, now - step.ready_at)
            work.running_least += used * max(0.0, left)
        if waiting:
            self._add_waiting(work, step, waiting * cores * seconds, useful_until, now)

    def _add_later(self, work, step, amount, useful_until, now):
        steps = step.job.occurrences[step.key.occurrence]
        earlier = [steps[number] for number in step.step.after]
        unfinished = [one for one in earlier if one.unfinished_tasks]
        if step.step.label or any(
            one.waiting or not one.is_ready for one in unfinished
        ):
            work.other += amount
            return
        seconds = max(map(self._task_times.expected_seconds, unfinished), default=0.0)
        if self._latest_start(step, useful_until) < now + seconds:
            work.other += amount
            return
        work.add_soon(seconds, self._task_times.expected_seconds(step), amount)

    def _latest_start(self, step, useful_until):
        left = self._task_times.critical_path_seconds(step.job, step.key.step)
        return useful_until - left

    def _add_waiting(self, work, step, amount, useful_until, now):
        if useful_until == float("inf"):
            # Served by its arrival, before all that have a time to be done by.
            latest_start = float("-inf")
        else:
            latest_start = self._latest_start(step, useful_until)
            if latest_start < now:
                work.other += amount
                return
        if self._is_apart(step):
            work.other += amount
        else:
            work.add_ready(latest_start, amount)
