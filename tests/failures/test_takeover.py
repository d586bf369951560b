"""Takeovers of shards: one owner per epoch, and no host above its capacity."""

import threading
from concurrent.futures import ThreadPoolExecutor

import pytest

from papayapick.clients import PlatformError, StaleEpoch, WorkerClient
from papayapick.ledger import Amounts
from papayapick.ownership import read_shard
from tests.failures.simulation import (
    DOWN,
    LATE,
    LOST,
    ONCE,
    SHARD,
    Cell,
    SimulatedPlacer,
)

DEMAND = {"processors": 9000, "memory": 1024, "accelerators": 0}


@pytest.fixture
def cell():
    with Cell() as cell:
        yield cell


def add_placer(cell, name):
    placer = SimulatedPlacer(cell, name)
    cell.lives.append(placer)
    return placer


def entry_of(placer, kind):
    return next(
        entry
        for entry in placer.process.peers.entries
        if entry.kind == kind and entry.name in placer.shard.entries
    )


def test_one_of_many_takeovers_wins(cell):
    """Six placers detect a dead owner at the same time and all claim its shard."""
    lives = [add_placer(cell, f"placer-{number}") for number in range(6)]
    row = read_shard(lives[0].process.table, SHARD)
    together = threading.Barrier(len(lives))

    def take(placer):
        together.wait()
        return placer.owner.take_over(row)

    with ThreadPoolExecutor(len(lives)) as executor:
        taken = [shard for shard in executor.map(take, lives) if shard is not None]
    assert [shard.epoch for shard in taken] == [1]


def test_one_process_takes_over_a_shard_once(cell):
    """A handover and a poll of the table coincide in one placer.

    Both found the shard without an owner. Two journals at one epoch would write the
    same segments, and each would assume that the other belongs to a newer owner.
    """
    placer = add_placer(cell, "placer-1")
    row = read_shard(placer.process.table, SHARD)
    cell.platform.board.set("objects", "down")
    with ThreadPoolExecutor(8) as executor:
        taken = list(executor.map(lambda _: placer.owner.take_over(row), range(8)))
    assert len([shard for shard in taken if shard is not None]) == 1
    assert len(placer.owner.shards) == 1


@pytest.mark.parametrize("fault", [DOWN, LOST, LATE])
@pytest.mark.parametrize("second", [None, DOWN, LOST, LATE])
def test_claim_whose_answer_is_lost_gives_one_owner(cell, fault, second):
    """The table's answer to a claim is lost while another placer claims as well.

    At most one placer may serve the shard at any epoch, and the last claim must be
    that of a placer that serves.
    """
    lives = [add_placer(cell, f"placer-{number}") for number in range(2)]
    lives[0].pool.arm({1: fault, 2: second})
    served = []
    for _ in range(3):
        for placer in lives:
            try:
                row = read_shard(placer.process.table, SHARD)
                shard = placer.owner.take_over(row)
            except PlatformError:
                continue
            served += [shard] if shard is not None else []
    epochs = [shard.epoch for shard in served]
    assert len(set(epochs)) == len(epochs) >= 1
    last = read_shard(lives[1].process.table, SHARD)
    assert last.epoch == max(epochs)


def test_claim_is_resumed_after_the_store_failed(cell):
    """The object store fails after the claim, before the journal is read.

    The shard was claimed again at each poll, and each claim fences every host again.
    """
    before = cell.start("placer-1")
    for number in range(70):
        before.submit(ONCE, key=f"k{number}", wait=0)
        before.settle()
    before.shard.journal.compact(before.process.objects, records_of(before))
    before.end()
    placer = add_placer(cell, "placer-2")
    cell.platform.board.set("objects", "down")
    for _ in range(5):
        with pytest.raises(PlatformError):
            placer.owner.take_over(read_shard(placer.process.table, SHARD))
    cell.platform.board.clear("objects")
    shard = placer.owner.take_over(read_shard(placer.process.table, SHARD))
    assert shard.epoch == before.shard.epoch + 1
    assert len(shard.work_index) == 70


class SubmittingReconciler:
    """Let a request arrive while the hosts of a shard that is served are fenced."""

    def __init__(self, placer):
        self._placer = placer
        self.add_listed = placer.reconciler.add_listed

    def refresh(self, shard, entries, shards_per_zone):
        self._placer.shard = shard
        self._placer.submit(ONCE, wait=0)
        self._placer.settle()
        self._placer.reconciler.refresh(shard, entries, shards_per_zone)


def test_request_accepted_while_hosts_are_fenced_is_queued_once(cell):
    """Guards against a request that may run once only and is sent by two threads."""
    placer = add_placer(cell, "placer-1")
    placer.owner._host_reconciler = SubmittingReconciler(placer)
    placer.take_shard(SHARD, {})
    _, item = placer.dispatcher.take(0)
    assert item.request_id == f"{SHARD}.k1"
    assert placer.dispatcher.take(0) is None


def records_of(placer):
    return [one for item in placer.shard.work_index.items for one in item.records()]


def test_worker_that_cannot_be_reached_counts_as_full(cell):
    """A worker runs tasks of a dead owner and does not answer its successor.

    If it counted as empty, it would be overfilled. It stays closed until it answers,
    and its running tasks are then subtracted from its capacity.
    """
    first = cell.start("placer-1")
    worker = entry_of(first, "worker")
    client = WorkerClient(first.pool)
    client.start(worker, first.shard.epoch, "t.1", DEMAND, 1e6, {"run_seconds": 1e6})
    first.end()
    cell.platform.board.set(worker.name, "down")
    placer = cell.start("placer-2")
    hosts = placer.shard.hosts
    assert not hosts.is_open(worker.name)
    assert hosts.free(worker.name).processors == 0
    cell.platform.board.clear(worker.name)
    placer.refresh()
    assert hosts.is_open(worker.name)
    assert hosts.free(worker.name) == hosts.capacity(
        worker.name
    ) - Amounts.from_mapping(DEMAND)


def test_owner_that_resumes_after_a_takeover_starts_nothing(cell):
    """A placer is frozen between its check and its send, and resumes too late.

    Its successor has fenced the worker and the instance, so both refuse calls under
    the old epoch, and the table refuses the writes of its journal.
    """
    frozen = cell.start("placer-1")
    frozen.submit(ONCE)
    frozen.settle()
    worker, instance = entry_of(frozen, "worker"), entry_of(frozen, "instance")
    successor = cell.start("placer-2")
    client = WorkerClient(frozen.pool)
    with pytest.raises(StaleEpoch):
        client.start(worker, frozen.shard.epoch, "t.1", DEMAND, 1e6, {})
    with pytest.raises(StaleEpoch):
        frozen.instances.call(instance.url, "r1", frozen.shard.epoch, b"1", 1.0)
    frozen.run_next()
    successor.run_all()
    assert cell.runs(f"{SHARD}.k1") == 1
    assert cell.runs("r1") == 0
    assert not cell.platform.workers.running()[worker.name]
    assert frozen.owner.shards == []


def test_slots_in_use_are_counted_by_the_next_owner(cell):
    """Calls continue when their placer dies; the next owner counts their slots."""
    first = cell.start("placer-1")
    instance = entry_of(first, "instance")
    standin = cell.platform.instances._instances[instance.name]
    standin.running.update({f"r{number}": 1 for number in range(8)})
    first.end()
    placer = cell.start("placer-2")
    busy = placer.shard.slot_allocator.with_ledger(
        lambda ledger: ledger.busy(instance.name)
    )
    assert busy == 8
