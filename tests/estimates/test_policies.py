"""Tests of the estimates: they follow the observed usage within host capacities."""

import pytest

from papayapick.estimates import ObservedQuantile
from papayapick.ledger import Amounts, HostFull, HostLedger
from tests.placer.jobcells import JobCell

DECLARED = Amounts(4000, 8192)


def ledger_of(*capacities):
    ledger = HostLedger()
    for number, capacity in enumerate(capacities):
        ledger.add(f"worker-{number}", capacity)
        ledger.open(f"worker-{number}")
    return ledger


def policy_with(ledger, *samples):
    policy = ObservedQuantile(ledger)
    for used in samples:
        policy.observe("kind", used)
    return policy


def test_declared_amounts_apply_until_there_are_enough_samples():
    policy = policy_with(ledger_of(Amounts(16000, 65536)), *[Amounts(500, 500)] * 19)
    assert policy.estimate("kind", DECLARED) == DECLARED
    policy.observe("kind", Amounts(500, 500))
    assert policy.estimate("kind", DECLARED) == Amounts(550, 550)
    assert policy.estimate("other", DECLARED) == DECLARED


def test_estimate_covers_a_tenth_of_the_tasks_with_high_usage():
    """Guard against an estimate by the mean, which a tenth of the tasks hardly changes.

    These tasks would slow all others on their hosts down.
    """
    used = [Amounts(500, 500)] * 18 + [Amounts(3000, 4000)] * 2
    policy = policy_with(ledger_of(Amounts(16000, 65536)), *used)
    assert policy.estimate("kind", DECLARED) == Amounts(3300, 4400)


def test_estimate_adapts_to_a_changed_program():
    used = [Amounts(500, 500)] * 200 + [Amounts(2000, 2000)] * 30
    policy = policy_with(ledger_of(Amounts(16000, 65536)), *used)
    assert policy.estimate("kind", DECLARED) == Amounts(2200, 2200)


@pytest.mark.parametrize(
    ("capacities", "accelerators", "expected"),
    [
        ([Amounts(8000, 16384)], 0, Amounts(8000, 16384)),
        ([Amounts(8000, 16384), Amounts(9000, 1024, 4)], 2, Amounts(9000, 1024, 2)),
    ],
)
def test_estimate_is_reduced_to_the_largest_host(capacities, accelerators, expected):
    """Guard against an accepted job that never runs as its estimate fits no host."""
    policy = policy_with(ledger_of(*capacities), *[Amounts(12000, 30000)] * 20)
    declared = Amounts(4000, 1024, accelerators)
    assert policy.estimate("kind", declared) == expected


def test_reported_usage_of_a_task_is_not_free_for_others():
    """Guard against an overfilled host if a task uses more than it has reserved.

    The usage is reported after the start; from then on the ledger must count it.
    """
    ledger = ledger_of(Amounts(4000, 4096))
    ledger.reserve("worker-0", "a", Amounts(1000, 1024))
    ledger.grow("a", Amounts(4000, 512))
    assert ledger.free("worker-0") == Amounts(0, 3072)
    ledger.grow("a", Amounts(500, 512))
    assert ledger.free("worker-0") == Amounts(0, 3072)
    with pytest.raises(HostFull):
        ledger.reserve("worker-0", "b", Amounts(1000, 1024))
    ledger.release("a")
    assert ledger.free("worker-0") == Amounts(4000, 4096)


def test_jobs_that_use_a_quarter_of_their_demand_are_packed_by_usage():
    """Guard against an idle worker if all jobs declare four times their usage."""
    cell = JobCell({"worker-0": Amounts(8000, 16384)})
    work = {"run_seconds": 1, "usage": {"processors": 1000, "memory": 1024}}
    for number in range(20):
        cell.submit(f"first-{number}", processors=4000, memory=4096, work=work)
    cell.run_for(40)
    assert cell.ended("first-19") == ("done", "")
    for number in range(8):
        cell.submit(f"then-{number}", processors=4000, memory=4096, work=work)
    cell.step()
    assert sum(len(tasks) for tasks in cell.running().values()) == 7
    assert cell.workers.overfilled() == 0
