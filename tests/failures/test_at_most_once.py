"""Non-repeatable work runs at most once, and its reported outcome is true."""

import itertools

import pytest

from papayapick.exceptions import PapayapickError
from papayapick.placer.payloads import INLINE_BYTES
from tests.failures.simulation import (
    FAULTS,
    KILLED_AFTER,
    KILLED_BEFORE,
    ONCE,
    SHARD,
    Cell,
    Killed,
)

PAYLOADS = {"small": b'"x"', "large": b'"' + b"x" * INLINE_BYTES + b'"'}
# Number of platform operations from admission to outcome. Small work: accept, start,
# call, outcome. A large payload and its result are written as objects as well.
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
FAULTS_IN_BOTH_PLACERS = [
    (size, first, second, fault)
    for size, steps in STEPS.items()
    for first in range(1, steps + 1)
    for second in (1, 2, 3)
    for fault in FAULTS
]


def reported_outcome(answer):
    """Return the outcome that the caller receives, or None without an answer."""
    if not answer.done():
        return None
    error = answer.exception()
    if error is not None:
        return getattr(error, "outcome", "unknown")
    return answer.result().outcome or answer.result().state


def check_outcome(cell, request_id, outcome, work_index):
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


def run_with_faults(faults, size, second_faults=None):
    with Cell() as cell:
        placer = cell.start("placer-1", faults)
        try:
            answer = placer.submit(ONCE, payload=PAYLOADS[size])
            placer.settle()
            placer.run_all()
            outcome = reported_outcome(answer)
        except Killed:
            outcome = None
        except PapayapickError as error:
            outcome = getattr(error, "outcome", "unknown")
        if placer.pool.dead.is_set():
            placer.end()
            placer = cell.start("placer-2", second_faults)
            placer.run_all()
        if placer.pool.dead.is_set():
            placer.end()
            placer = cell.start("placer-3")
            placer.run_all()
        placer.settle()
        check_outcome(cell, f"{SHARD}.k1", outcome, placer.shard.work_index)
        return placer


@pytest.mark.parametrize(("size", "steps"), STEPS.items())
def test_run_without_faults_has_the_expected_number_of_steps(size, steps):
    """Guard against steps that the parameters of the tests below do not cover."""
    assert len(run_with_faults({}, size).pool.operations) == steps


@pytest.mark.parametrize(("size", "step", "fault"), SINGLE)
def test_one_fault_at_each_step(size, step, fault):
    """One fault occurs while a heatmap refresh is processed.

    The process is killed before or after a step, or a platform service does not
    answer, with or without having applied the operation. In each case the refresh
    must run at most once, and its caller must not receive a false outcome.
    """
    run_with_faults({step: fault}, size)


@pytest.mark.parametrize(("size", "faults"), PAIRS)
def test_two_faults_in_one_process(size, faults):
    """Two faults occur in the same process while one refresh is processed."""
    run_with_faults(faults, size)


@pytest.mark.parametrize(("size", "first", "second", "fault"), FAULTS_IN_BOTH_PLACERS)
def test_a_kill_and_a_fault_of_the_successor(size, first, second, fault):
    """The process is killed after a step, and its successor meets a fault."""
    run_with_faults({first: KILLED_AFTER}, size, {second: fault})
