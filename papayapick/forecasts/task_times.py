"""Durations of tasks: callers' estimates, corrected by what ended runs took.

Load pattern: estimates are wrong by up to nine tenths, and one task in thirty takes
seven times as long as the others. The ratio of actual to estimated durations of a queue
shows what its estimates are worth; once some tasks of a step have ended, these show it
better, since the tasks of a step share one estimate and are mostly alike. How unlike
they are is counted apart from that: the time that a job may take grows with the work
that it really has, so a wrong estimate makes no job late, and a long task does.
"""

import math
from collections import OrderedDict, deque

from papayapick.forecasts.ratios import RatioHistogram
from papayapick.forecasts.types import DeclaredTimes
from papayapick.speeds.durations import is_read_late

__all__ = ["TaskTimes"]

# What the queue's ratios count for beside those of a step, in ended runs.
_QUEUE_WEIGHT = 2.0
# Number of the latest ended runs of a step that count.
_STEP_RUNS = 9
# With fewer, their mean does not show how unlike the tasks of a step are.
_MIN_STEP_RUNS = 3
# More than are at work at a time in a pool of hundreds of workers.
_MAX_STEPS = 1000
# Operators may name hundreds of queues; those with no run for the longest are dropped.
_MAX_QUEUES = 64
_DECLARED = DeclaredTimes()


class _QueueRatios:
    """Ratios of a queue's runs, to the estimate and to the mean of their step."""

    __slots__ = ("spread", "to_estimate")

    def __init__(self):
        self.to_estimate = RatioHistogram()
        self.spread = RatioHistogram()


class TaskTimes:
    """Learn how long tasks take on a worker of speed 1.

    While the speeds of workers do not differ, it answers as ``DeclaredTimes`` and
    learns nothing.

    Parameters
    ----------
    knowledge : PoolKnowledge
        Its ``speeds`` are read at each use, as they are replaced.
    """

    __slots__ = ("_by_queue", "_by_step", "_knowledge")

    def __init__(self, knowledge):
        self._knowledge = knowledge
        # By name of queue, and the ratios of the latest runs by StepKey.
        self._by_queue = OrderedDict()
        self._by_step = OrderedDict()

    def note_done(self, step_state, run, now):
        """Record a run that has just ended as done.

        Parameters
        ----------
        step_state : StepState
        run : Run
        now : float
            Monotonic seconds.
        """
        speeds = self._knowledge.speeds
        if not speeds.differ or run.is_resumed or not run.shows_worker_speed:
            return
        estimate = step_state.step.estimate_seconds
        work = run.worked_seconds(now) * speeds.speed(run.worker)
        if estimate <= 0 or is_read_late(run, now):
            return
        ratio = work / estimate
        # Callers may give any number as an estimate. An error here would keep the end
        # of the run, and all later ones of its worker, from being processed.
        if not 0.0 < ratio < math.inf:
            return
        name = step_state.job.document.queue
        queue = _latest(self._by_queue, name, _QueueRatios, _MAX_QUEUES)
        queue.to_estimate.add(ratio)
        runs = _latest(self._by_step, step_state.key, _step_runs, _MAX_STEPS)
        if len(runs) >= _MIN_STEP_RUNS:
            queue.spread.add(ratio * len(runs) / sum(runs))
        runs.append(ratio)
        if step_state.is_done or step_state.job.is_final:
            del self._by_step[step_state.key]

    def expected_seconds(self, step_state):
        """Return the mean duration of a task of a step; 0 if nothing is known."""
        estimate = step_state.step.estimate_seconds
        queue = self._by_queue.get(step_state.job.document.queue)
        if queue is None or not self._knowledge.speeds.differ:
            return _DECLARED.expected_seconds(step_state)
        runs = self._by_step.get(step_state.key, ())
        total = _QUEUE_WEIGHT * queue.to_estimate.mean() + sum(runs)
        return estimate * total / (_QUEUE_WEIGHT + len(runs))

    def likely_seconds(self, step_state, share):
        """Return a duration that a share of the step's tasks does not exceed."""
        queue = self._by_queue.get(step_state.job.document.queue)
        if queue is None or not self._knowledge.speeds.differ:
            return _DECLARED.likely_seconds(step_state, share)
        return self.expected_seconds(step_state) * queue.spread.quantile(share)

    def critical_path_seconds(self, job, step_number):
        """Return the time from the start of a step to the end of its job.

        Of a job that runs several times at once, the latest occurrence counts.
        """
        if not (job.occurrences and self._knowledge.speeds.differ):
            return _DECLARED.critical_path_seconds(job, step_number)
        steps = job.occurrences[max(job.occurrences)]
        paths = [0.0] * len(steps)
        for number in reversed(range(step_number, len(steps))):
            paths[number] += self.expected_seconds(steps[number])
            for earlier in steps[number].step.after:
                paths[earlier] = max(paths[earlier], paths[number])
        return paths[step_number]


def _step_runs():
    return deque(maxlen=_STEP_RUNS)


def _latest(values, key, build, maximum):
    """Return the value of a key, the latest in use; drop the one unused for longest."""
    if key not in values:
        values[key] = build()
        if len(values) > maximum:
            values.popitem(last=False)
    values.move_to_end(key)
    return values[key]
