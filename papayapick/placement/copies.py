"""Start second copies of stragglers, where their step allows it.

Answers the load in which a few workers are slow or stall while their health is
good: a step waits for its last task at several times the length of the others.
"""

from papayapick.jobs.runs import RunPhase

__all__ = ["stragglers"]

# Tasks of a step differ by a factor of two as a rule; this is past it.
_SLOW_FACTOR = 2.5
# Orders and lists take up to half a second beside the work itself.
_SLACK_SECONDS = 0.5


def stragglers(step, now):
    """Return the tasks of a step that deserve a second copy.

    Parameters
    ----------
    step : StepState
    now : float

    Returns
    -------
    list of int
        Indexes, slowest first. A task is compared with those of its step that are
        done, or while none is, with the caller's estimate.
    """
    if not step.step.allows_copies or step.step.is_gang or step.waiting:
        return []
    usual = step.usual_seconds or step.step.estimate_seconds
    if not usual:
        return []
    limit = _SLOW_FACTOR * usual + _SLACK_SECONDS
    slow = [
        (task.runs[0].worked_seconds(now), index)
        for index, task in enumerate(step.tasks)
        if len(task.runs) == 1 and _is_slow(task.runs[0], now, limit)
    ]
    return [index for _, index in sorted(slow, reverse=True)]


def _is_slow(run, now, limit):
    return run.phase == RunPhase.RUNNING and run.worked_seconds(now) > limit
