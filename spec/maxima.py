"""Specify the maximum of a team: two tasks, of which one may run, each on its worker.

An order may be carried out long after it was sent, and an owner may be frozen between
its decision and the order, and wake after another one has taken the pool. The new
owner counts every start that is on record until the worker has answered it; a worker
that has answered refuses orders of earlier owners.
"""

from typing import NamedTuple

from minicheck import Protocol

from spec.checking import Specification

__all__ = ["SPECIFICATION"]

MAXIMUM = 1
LAST_EPOCH = 2
TASKS = ("a", "b")

GUARDS = {
    "record_before_order": "team_within_maximum",
    "new_owner_counts_records": "team_within_maximum",
    "count_until_end_is_certain": "team_within_maximum",
    "start_where_heard": "team_within_maximum",
    "worker_refuses_lower_epoch": "team_within_maximum",
}


class Task(NamedTuple):
    """State of a task and of its worker.

    ``decided`` is the epoch of the owner that decided to start it, 0 for none,
    ``sent`` whether the order is on its way, ``recorded`` whether the start is on
    record, ``counted`` whether the present owner counts it, ``fence`` the epoch that
    the worker has seen, and ``runs`` whether it runs.
    """

    decided: int = 0
    sent: bool = False
    recorded: bool = False
    counted: bool = False
    fence: int = 1
    runs: bool = False


class State(NamedTuple):
    """State of the pool's epoch and the tasks."""

    epoch: int = 1
    a: Task = Task()
    b: Task = Task()


def build(guards):
    """Return the protocol with the given guards active."""
    return Protocol(
        name="maxima",
        candidate=False,
        fields=State._fields,
        initial=State(),
        transitions=lambda state: list(_steps(State(*state), guards)),
        invariants={
            "team_within_maximum": lambda found: (
                sum(found[name].runs for name in TASKS) <= MAXIMUM
            )
        },
    )


def _steps(state, guards):
    if state.epoch < LAST_EPOCH:
        yield "a new owner takes the pool", _take_over(state, guards)
    count = sum(getattr(state, name).counted for name in TASKS)
    for name in TASKS:
        task = getattr(state, name)
        changes = (
            *_owner(state, task, count, guards),
            *_order(task, guards),
            *_worker(task, guards),
        )
        for label, changed in changes:
            yield f"{label} {name}", state._replace(**{name: changed})


def _take_over(state, guards):
    counts = "new_owner_counts_records" in guards
    tasks = {name: getattr(state, name) for name in TASKS}
    counted = {
        name: task._replace(counted=counts and task.recorded)
        for name, task in tasks.items()
    }
    return state._replace(epoch=state.epoch + 1, **counted)


def _owner(state, task, count, guards):
    is_heard = task.fence == state.epoch or "start_where_heard" not in guards
    is_idle = not (task.decided or task.runs or task.counted)
    if is_idle and is_heard and count < MAXIMUM:
        yield "the owner starts", task._replace(decided=state.epoch, counted=True)
    is_present = task.decided == state.epoch
    if is_present and not task.recorded:
        yield "the record is stored of", task._replace(recorded=True)
    is_certain = not (task.decided or task.runs)
    gives_up = is_present and "count_until_end_is_certain" not in guards
    if task.counted and task.fence == state.epoch and (is_certain or gives_up):
        ended = task._replace(counted=False, recorded=False)
        yield "the owner no longer counts", ended
    if task.fence < state.epoch:
        # The worker answers the new owner, which then knows whether the task runs.
        heard = task._replace(fence=state.epoch, counted=task.runs)
        yield "the new owner hears the worker of", heard


def _order(task, guards):
    is_recorded = task.recorded or "record_before_order" not in guards
    if task.decided and not task.sent and is_recorded:
        # Also by an owner that was frozen since its decision.
        yield "the order is sent for", task._replace(sent=True)
    if task.decided and not task.sent and task.decided < task.fence:
        yield "the earlier owner learns of its loss and drops", _without_order(task)


def _worker(task, guards):
    if task.sent:
        is_lower = task.decided < task.fence
        if is_lower and "worker_refuses_lower_epoch" in guards:
            yield "the worker refuses", _without_order(task)
        else:
            yield "the worker starts", _without_order(task)._replace(runs=True)
    if task.runs:
        yield "the worker ends", task._replace(runs=False)


def _without_order(task):
    return task._replace(decided=0, sent=False)


SPECIFICATION = Specification("maxima", GUARDS, build)
