"""Upkeep of machines whose workers a new owner has not heard of yet."""

from types import SimpleNamespace

import pytest

from papayapick.placement.release.waves import Wave
from papayapick.platform.machines import UpkeepOutcome
from papayapick.pool.rounds.upkeep import UpkeepCoordinator
from papayapick.pool.takeover.reconciliation import PREDECESSOR_LEASE_SECONDS
from tests.pool.owners import (
    KEY,
    host_with_two_workers,
    job,
    owner_of,
    report,
    started_record,
    store_job,
)
from tests.pool.test_liveness import Machines
from tests.pool.upkeep_cell import KEY as WAVE_KEY
from tests.pool.upkeep_cell import Rows

EARLIER = (KEY._replace(job="0" * 16), 1, "done")


class OrderedMachines(Machines):
    """Note the machines whose upkeep is ordered."""

    def __init__(self, *workers):
        super().__init__(*workers)
        self.ordered = []

    def begin_upkeep(self, machine, wave, holder, token):
        self.ordered.append(machine)
        return UpkeepOutcome.BEGUN


@pytest.fixture
def upkeep():
    """Return the owner after a takeover, and its coordinator for a wave of w2."""
    host = host_with_two_workers()
    store_job(host, job(), started_record("w2"))
    owner = owner_of(host)
    report(owner, "w1")
    host.store = Rows()
    host.settings.upkeep_seconds, host.settings.host_name = 2.0, "h1"
    waves = {WAVE_KEY: Wave(7, ["m1"], 60.0, 1)}
    current = SimpleNamespace(pools={"pool"})
    host.configuration = SimpleNamespace(waves=waves, current=current)
    return owner, UpkeepCoordinator(owner, OrderedMachines("w1", "w2"))


def step(owner, coordinator, seconds=0.5):
    """Advance the time and the wave; return the machines ordered so far."""
    owner.host.clock.advance(seconds)
    owner.ownership_status.note_confirmed(owner.now())
    with owner.lock:
        owner.tick(owner.now())
    coordinator.step(owner.host.configuration.waves)
    return coordinator._machines.ordered


def test_upkeep_waits_for_the_first_report_of_a_worker(upkeep):
    """Guards against a second run of a task whose end upkeep makes unreadable."""
    owner, coordinator = upkeep
    assert step(owner, coordinator) == []
    report(owner, "w2", ends=[(KEY, 1, "done")])
    assert step(owner, coordinator) == ["m1"]
    assert owner.job_registry.get(KEY.job).is_final


def test_upkeep_waits_until_a_worker_has_listed_all_its_ends(upkeep):
    """Guards against the same if the end is not in the worker's first report."""
    owner, coordinator = upkeep
    report(owner, "w2", ends=[EARLIER], has_more_ends=True)
    assert step(owner, coordinator) == []
    report(owner, "w2", ends=[EARLIER, (KEY, 1, "done")])
    assert step(owner, coordinator) == ["m1"]


def test_upkeep_of_a_silent_worker_waits_for_earlier_leases_only(upkeep):
    """Guards against a wave that a worker without answers keeps open for ever."""
    owner, coordinator = upkeep
    owner.links_by_worker["w2"].failed_since = owner.now()
    assert step(owner, coordinator) == []
    step(owner, coordinator, PREDECESSOR_LEASE_SECONDS)
    assert step(owner, coordinator) == ["m1"]
