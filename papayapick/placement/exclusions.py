"""Let tasks go back where they failed when nowhere else has room for long.

Answers the load in which few workers may run a task: it failed on one of them, most
often by its own fault, and the others are full of more urgent work. It would wait
without end beside a worker that is free.
"""

__all__ = ["lift_exclusions"]

# Longer than most waits for the room of a task that ends.
_PATIENCE_SECONDS = 1.5
# A job whose next failure is its last waits longer: where it failed it may fail again.
_LAST_PATIENCE_SECONDS = 5.0


def lift_exclusions(step, now):
    """Let tasks of a step that found no room go back where they failed, if it is time.

    Parameters
    ----------
    step : StepState
        After it was placed as far as there is room.
    now : float
        Monotonic seconds.

    Returns
    -------
    list of int
        Indexes of the tasks that may go back from now on.
    """
    forgiven = []
    for index in step.waiting:
        task = step.tasks[index]
        if not task.failed_on:
            continue
        if task.stuck_since is None:
            task.stuck_since = now
        elif now - task.stuck_since >= _patience(step, task):
            task.avoid |= task.failed_on
            task.failed_on.clear()
            task.stuck_since = None
            forgiven.append(index)
    return forgiven


def _patience(step, task):
    counted = step.tasks[0] if step.step.is_gang else task
    is_last = counted.failures + 1 >= step.job.queue.failure_limit
    return _LAST_PATIENCE_SECONDS if is_last else _PATIENCE_SECONDS
