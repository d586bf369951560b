"""Select straggler tasks for speculative copies, where their step allows copies.

Guards against workers that are slow or stall while they report good health: the step
waits for its last task, which takes several times as long as the others.
"""

from papayapick.jobs.runs import RunPhase

__all__ = ["stragglers"]

# Above the usual variation of run times within a step, which is a factor of two.
_SLOW_FACTOR = 2.5
# Start orders and worker reports add up to half a second to the run time.
_OVERHEAD_SECONDS = 0.5


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
    if not step.step.allows_copies or step.step.is_gang or step.waiting:
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
