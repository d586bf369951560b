"""Waves of upkeep: limits on machines at once, deadlines, and lasting steps."""

import pytest

from papayapick.jobs import JobDocument, Step
from papayapick.ledger import Amounts
from papayapick.placement.release.waves import Wave, WaveRecord, choose_machines
from papayapick.platform.machines import Machine
from papayapick.pool.rounds.upkeep import WAVES_TABLE
from tests.pool.standins import QUEUE
from tests.pool.upkeep_cell import KEY, Cell


def test_wave_completes_in_time_within_its_limit_of_machines():
    cell = Cell()
    cell.run(0.5)
    assert cell.rows.value("status", "", KEY) == {"state": "running"}
    cell.run(20.0, tasks=4)
    assert cell.is_over
    assert (len(cell.machines.begun), cell.machines.max_in_upkeep) == (6, 2)
    # Short tasks ended by themselves.
    assert cell.load.interrupted_runs == []
    assert cell.load.stops == 0


def test_wave_with_a_close_deadline_stops_runs_and_completes_in_time():
    """Guards against missing a deadline of 20 s because tasks take an hour."""
    cell = Cell(length=3600.0, seconds=20.0)
    cell.load.submit_job(tasks=24)
    cell.load.run(1.0)
    began = cell.load.now
    cell.run(20.0)
    assert cell.is_over
    assert max(cell.machines.begun.values()) - began < 20.0
    assert cell.load.interrupted_runs == []


@pytest.mark.parametrize("limit", [1, 2])
def test_lasting_step_keeps_its_limit_of_unavailable_tasks(limit):
    """Guards against a service outage during upkeep.

    Each machine runs tasks of one lasting step, and half of the machines may have their
    upkeep at once. Without moving tasks one by one, up to half of them would be away.
    """
    cell = Cell(at_once=3, length=1.2)
    load = cell.load
    _make_endless(load)
    step = Step(6, Amounts(1000, 10), is_lasting=True, unavailable_limit=limit)
    document = JobDocument("a" * 16, "q", "pool", "t", [step], 0.0)
    load.owner.job_registry.add(document, QUEUE, load.now)
    load.run(3.0)
    assert _available(load) == 6
    max_unavailable = 0
    for _ in range(150):
        cell.upkeep.step(load.host.configuration.waves)
        _make_endless(load)
        max_unavailable = max(max_unavailable, 6 - _available(load))
        load.run(0.5)
    assert cell.is_over
    assert load.interrupted_runs == []
    assert max_unavailable <= limit


def _available(load):
    return sum(
        run.percent == 100 and run.stop_requested is None
        for room in load.owner.rooms
        for run in room.runs.values()
    )


def _make_endless(load):
    for worker in load.workers.values():
        worker.is_endless = True


def test_withdrawn_wave_makes_its_machines_available_again():
    cell = Cell(length=3600.0)
    cell.load.submit_job(tasks=24)
    cell.load.run(1.0)
    cell.run(1.0)
    assert sum(room.is_draining for room in cell.load.owner.rooms) == 2
    cell.load.host.configuration.waves = {}
    cell.run(1.0)
    assert not any(room.is_draining for room in cell.load.owner.rooms)
    assert cell.rows.value(WAVES_TABLE, "pool", KEY) is None


def test_machine_that_is_being_drained_stays_chosen():
    """Guards against draining two machines in turn, so that neither gets empty.

    While a machine is drained, the loads change and another one has less to move. If
    that one were chosen instead, the first would accept new tasks again.
    """
    machines = {name: Machine(name, "pool", True, "w" + name) for name in ("a", "b")}
    wave, record = Wave(1, ["a", "b"], 60.0, 1), WaveRecord(0.0)

    def choose(loads, draining=()):
        return choose_machines(wave, record, machines, bool, loads, draining)

    assert choose({"wa": 1000, "wb": 2000}) == ["a"]
    assert choose({"wa": 1000, "wb": 0}, draining={"wa"}) == ["a"]
