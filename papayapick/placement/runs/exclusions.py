"""Lift the exclusion of workers on which a task failed if no other has room.

Guards against starvation of a task that few workers may run: it failed on one of them,
most often through its own fault, and the others are full of more urgent work. The task
would wait indefinitely although a worker is free.
"""

__all__ = ["lift_exclusions"]

# Longer than it usually takes until a task ends and its room is free.
_WAIT_SECONDS = 1.5
# Longer for a job that the next failure would end, since a task may fail again on a
# worker on which it has failed.
_LAST_ATTEMPT_WAIT_SECONDS = 5.0


def lift_exclusions(step, now):
    """Allow the waiting tasks of a step on workers on which they failed, once due.

    Parameters
    ----------
    step : StepState
        Already placed as far as there is room.
    now : float
        Monotonic seconds.

    Returns
    -------
    list of int
        Indexes of the tasks whose exclusions were lifted.
    """
    lifted = []
    for index in step.waiting:
        task = step.tasks[index]
        if not task.failed_on:
            continue
        if task.stuck_since is None:
            task.stuck_since = now
        elif now - task.stuck_since >= _wait_seconds(step, task):
            task.avoid |= task.failed_on
            task.failed_on.clear()
            task.stuck_since = None
            lifted.append(index)
    return lifted


def _wait_seconds(step, task):
    # The failures of a gang are counted on its first task.
    counted_task = step.tasks[0] if step.step.is_gang else task
    is_last_attempt = counted_task.failures + 1 >= step.job.queue.failure_limit
    return _LAST_ATTEMPT_WAIT_SECONDS if is_last_attempt else _WAIT_SECONDS
