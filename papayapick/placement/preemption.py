"""Make room for urgent steps by stopping patient tasks that lose little.

Answers the load in which long tasks of patient queues fill the workers as urgent
jobs come in a burst: these would wait for seconds for the end of a long task, at
several times their own length.
"""

from papayapick.jobs.runs import RunPhase

__all__ = ["choose_victims", "may_preempt"]

# Room that is about to be free is waited for; a stop itself takes a few tenths.
_PATIENCE_SECONDS = 0.25
# One round of stops at a time: their room is free when their ends are listed.
_ROUND_SECONDS = 0.8
# More than these to place one task throws away more than it gains.
_VICTIMS_LIMIT = 3


def may_preempt(step, now):
    """Return whether a waiting step has waited long enough to stop others.

    Parameters
    ----------
    step : StepState
    now : float
    """
    if step.step.is_filler or not step.waiting:
        return False
    since = max(step.ready_at + _PATIENCE_SECONDS, step.preempted_at + _ROUND_SECONDS)
    return now >= since


def choose_victims(step, rooms, allowed, priority_of):
    """Return runs whose end makes room for one waiting task, or an empty list.

    Only tasks that save their progress are stopped, and a stop saves it too, so that
    little is lost; members of gangs would break the others, and lasting tasks serve.

    Parameters
    ----------
    step : StepState
    rooms : Rooms
    allowed : container of str or None
    priority_of : callable
        Takes a run; returns the priority of its queue where the run may be
        stopped, or None.

    Returns
    -------
    list of Run
        Of one worker, fewest first.
    """
    best = []
    demand = step.step.room_demand
    for room in rooms.able(step.step):
        if not room.is_open or room.has_unmeasured:
            continue
        if _has_failed_there(step, room.worker):
            continue
        if allowed is not None and room.worker not in allowed:
            continue
        count = room.step_counts.get(step.key, 0)
        if step.step.tasks_per_worker and count >= step.step.tasks_per_worker:
            continue
        victims = _victims(room, demand, step.job.queue.priority, priority_of)
        if victims and (not best or len(victims) < len(best)):
            best = victims
    return best


def _has_failed_there(step, worker):
    """Return whether no waiting task of a step would go to a worker.

    What makes room for one that failed there is stopped in vain, round after round.
    """
    if step.step.is_lasting:
        return False
    return all(worker in step.tasks[index].failed_on for index in step.waiting)


def _victims(room, demand, priority, priority_of):
    candidates = [
        run
        for run in room.runs.values()
        if run.phase == RunPhase.RUNNING and (priority_of(run) or 0) > priority
    ]
    # The largest first: fewer are stopped.
    candidates.sort(key=lambda run: run.demand.processors, reverse=True)
    processors, memory = room.processors, room.memory
    victims = []
    for run in candidates[:_VICTIMS_LIMIT]:
        victims.append(run)
        processors += run.demand.processors
        memory += run.demand.memory
        if demand.processors <= processors and demand.memory <= memory:
            return victims
    return []
