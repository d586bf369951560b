"""Sizes follow what tasks use, never below proof and never above the host."""

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


def seen(ledger, *used):
    policy = ObservedQuantile(ledger)
    for one in used:
        policy.observe("kind", one)
    return policy


def test_what_is_declared_stands_until_enough_was_seen():
    policy = seen(ledger_of(Amounts(16000, 65536)), *[Amounts(500, 500)] * 19)
    assert policy.estimate("kind", DECLARED) == DECLARED
    policy.observe("kind", Amounts(500, 500))
    assert policy.estimate("kind", DECLARED) == Amounts(550, 550)
    assert policy.estimate("other", DECLARED) == DECLARED


def test_one_in_ten_that_uses_much_counts():
    """A tenth of the tasks slow all others down: the mean looks harmless."""
    used = [Amounts(500, 500)] * 18 + [Amounts(3000, 4000)] * 2
    policy = seen(ledger_of(Amounts(16000, 65536)), *used)
    assert policy.estimate("kind", DECLARED) == Amounts(3300, 4400)


def test_a_changed_program_is_followed():
    used = [Amounts(500, 500)] * 200 + [Amounts(2000, 2000)] * 30
    policy = seen(ledger_of(Amounts(16000, 65536)), *used)
    assert policy.estimate("kind", DECLARED) == Amounts(2200, 2200)


@pytest.mark.parametrize(
    ("capacities", "accelerators", "expected"),
    [
        ([Amounts(8000, 16384)], 0, Amounts(8000, 16384)),
        ([Amounts(8000, 16384), Amounts(9000, 1024, 4)], 2, Amounts(9000, 1024, 2)),
    ],
)
def test_an_estimate_above_every_host_is_cut(capacities, accelerators, expected):
    """A job that was accepted never runs: its estimate outgrew all hosts."""
    policy = seen(ledger_of(*capacities), *[Amounts(12000, 30000)] * 20)
    declared = Amounts(4000, 1024, accelerators)
    assert policy.estimate("kind", declared) == expected


def test_room_that_a_task_is_proved_to_use_is_given_to_no_other():
    """A host is given more than it holds, as one task uses four times its size.

    Its use is reported after the start; from then on the ledger counts it.
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


def test_jobs_that_use_a_quarter_of_their_size_are_packed_by_their_use():
    """A worker idles as all jobs declare four times what they use."""
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
