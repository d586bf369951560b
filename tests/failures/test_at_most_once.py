"""Work not to be repeated runs at most once, and what its caller hears is true."""

import itertools

import pytest

from papayapick.exceptions import PapayapickError
from papayapick.placer.payloads import INLINE_BYTES
from tests.failures.lives import (
    FAULTS,
    KILLED_AFTER,
    KILLED_BEFORE,
    ONCE,
    SHARD,
    Cell,
    Killed,
)

PAYLOADS = {"small": b'"x"', "large": b'"' + b"x" * INLINE_BYTES + b'"'}
# Operations from admission to outcome: the payload's object, acceptance,
# start, call, the result's object, outcome.
STEPS = {"small": 4, "large": 6}
SINGLE = [
    (size, step, fault)
    for size, steps in STEPS.items()
    for step in range(1, steps + 1)
    for fault in FAULTS
]
PAIRS = [
    (size, {first: one, second: other})
    for size, steps in STEPS.items()
    for first, second in itertools.combinations(range(1, steps + 2), 2)
    for one, other in itertools.product(FAULTS, FAULTS)
    if one not in (KILLED_BEFORE, KILLED_AFTER)
]
IN_BOTH_LIVES = [
    (size, first, second, fault)
    for size, steps in STEPS.items()
    for first in range(1, steps + 1)
    for second in (1, 2, 3)
    for fault in FAULTS
]


def heard(answer):
    """Return the outcome that a caller hears, or None where it hears nothing."""
    if not answer.done():
        return None
    error = answer.exception()
    if error is not None:
        return getattr(error, "outcome", "unknown")
    return answer.result().outcome or answer.result().state


def check_truth(cell, request_id, outcome, work_index):
    runs = cell.runs(request_id)
    assert runs <= 1
    if outcome == "not_run":
        assert runs == 0
    if outcome == "done":
        assert runs == 1
    items = {item.request_id: item for item in work_index.items}
    item = items.get(request_id)
    if item is not None:
        assert item.ended is not None
        if item.ended.outcome == "not_run":
            assert runs == 0
        if outcome in ("done", "failed", "not_run"):
            assert item.ended.outcome == outcome
    else:
        assert runs == 0
        assert outcome in (None, "unknown", "not_run")


def live_through(faults, size, second_faults=None):
    with Cell() as cell:
        life = cell.start("placer-1", faults)
        try:
            answer = life.submit(ONCE, payload=PAYLOADS[size])
            life.settle()
            life.run_all()
            outcome = heard(answer)
        except Killed:
            outcome = None
        except PapayapickError as error:
            outcome = getattr(error, "outcome", "unknown")
        if life.pool.dead.is_set():
            life.end()
            life = cell.start("placer-2", second_faults)
            life.run_all()
        if life.pool.dead.is_set():
            life.end()
            life = cell.start("placer-3")
            life.run_all()
        life.settle()
        check_truth(cell, f"{SHARD}.k1", outcome, life.shard.work_index)
        return life


@pytest.mark.parametrize(("size", "steps"), STEPS.items())
def test_the_way_has_the_steps_that_the_tables_name(size, steps):
    """Without a fault the work runs once; the tables below cover every step."""
    assert len(live_through({}, size).pool.operations) == steps


@pytest.mark.parametrize(("size", "step", "fault"), SINGLE)
def test_one_fault_at_each_step(size, step, fault):
    """A heatmap refresh is sent in, and one thing goes wrong on its way.

    The process dies before or after a step, or a service of the platform gives
    no answer, without or with effect. Whatever the step, the refresh ran at
    most once and no caller heard of it what is not true.
    """
    live_through({step: fault}, size)


@pytest.mark.parametrize(("size", "faults"), PAIRS)
def test_two_faults_in_one_life(size, faults):
    """Two things go wrong on the way of one refresh, in the same process."""
    live_through(faults, size)


@pytest.mark.parametrize(("size", "first", "second", "fault"), IN_BOTH_LIVES)
def test_a_kill_and_a_fault_of_the_successor(size, first, second, fault):
    """The process dies on the way, and its successor meets a fault as well."""
    live_through({first: KILLED_AFTER}, size, {second: fault})
