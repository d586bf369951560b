"""Contract of the platform's list of machines, and of upkeep orders."""

import pytest

from papayapick.platform.exceptions import CallFailed
from papayapick.platform.machines import MachineClient, UpkeepOutcome


def test_machines_are_read_page_by_page(cluster, pool):
    names = [f"w{number}" for number in range(7)]
    for name in names:
        cluster.add_worker(name)
    found = MachineClient(cluster.address, pool).fetch()
    assert [(one.name, one.worker, one.is_up) for one in found] == [
        (f"m-{name}", name, True) for name in names
    ]


def test_machine_that_is_down_names_no_worker(cluster, pool):
    cluster.add_worker("w1")
    cluster.crash("w1")
    (found,) = MachineClient(cluster.address, pool).fetch()
    assert (found.worker, found.is_up, found.pool) == ("", False, "pool-1")


@pytest.mark.parametrize(
    "answer",
    [
        ("503 Service Unavailable", {}),
        ("200 OK", {}),
        ("200 OK", {"machines": [7]}),
        ("200 OK", {"machines": [{"machine": "m"}]}),
        ("200 OK", {"machines": [], "next_token": "again"}),
        ("200 OK", []),
    ],
)
def test_incomplete_list_of_machines_raises(cluster, pool, monkeypatch, answer):
    """Guard against tasks that run twice as an unreachable worker counts as gone.

    The page that lists the worker was missing, invalid, or refused by an overloaded
    service. Its absence from the other pages does not prove that it is gone.
    """
    monkeypatch.setattr(cluster.machines, "list", lambda query: answer)
    with pytest.raises(CallFailed):
        MachineClient(cluster.address, pool).fetch()


def test_repeated_upkeep_order_is_answered_but_begins_once(cluster, pool):
    cluster.add_worker("w1")
    cluster.request_wave(7, ["w1"])
    machines = MachineClient(cluster.address, pool)
    assert machines.begin_upkeep("m-w1", 7, "h1", 3) == UpkeepOutcome.BEGUN
    (found,) = machines.fetch()
    assert (found.is_up, found.is_in_upkeep, found.worker) == (False, True, "")
    assert machines.begin_upkeep("m-w1", 7, "h1", 3) == UpkeepOutcome.BEGUN
    assert cluster.machines.orders == [("m-w1", 7, "h1", 3)]


@pytest.mark.parametrize(
    ("machine", "wave", "epoch", "outcome"),
    [
        ("m-w1", 7, 2, UpkeepOutcome.FENCED),
        ("m-w1", 8, 4, UpkeepOutcome.NOT_IN_WAVE),
        ("m-w2", 7, 4, UpkeepOutcome.BUSY),
        ("m-w9", 7, 4, UpkeepOutcome.NO_MACHINE),
    ],
)
def test_refused_upkeep_returns_the_outcome_of_its_reason(
    cluster, pool, machine, wave, epoch, outcome
):
    cluster.add_worker("w1")
    cluster.add_worker("w2")
    cluster.crash("w2")
    cluster.request_wave(7, ["w1", "w2"])
    machines = MachineClient(cluster.address, pool)
    # An order of a newer owner raises the machine's fencing token.
    machines.begin_upkeep("m-w1", 99, "h2", 3)
    assert machines.begin_upkeep(machine, wave, "h1", epoch) == outcome


@pytest.mark.parametrize(
    ("answer", "outcome"),
    [
        (None, UpkeepOutcome.UNKNOWN),
        (("503 Service Unavailable", {}), UpkeepOutcome.REFUSED),
        (("429 Too Many Requests", {}), UpkeepOutcome.REFUSED),
        (("409 Conflict", {}), UpkeepOutcome.UNKNOWN),
    ],
)
def test_upkeep_without_a_clear_answer(cluster, pool, monkeypatch, answer, outcome):
    monkeypatch.setattr(cluster.machines, "begin_upkeep", lambda body, environ: answer)
    machines = MachineClient(cluster.address, pool)
    assert machines.begin_upkeep("m-w1", 7, "h1", 3) == outcome
