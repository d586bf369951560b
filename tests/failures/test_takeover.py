"""Shards change hands: one owner at an epoch, and no host over what it holds."""

import threading
from concurrent.futures import ThreadPoolExecutor

import pytest

from papayapick.clients import PlatformError, StaleEpoch, WorkerClient
from papayapick.ledger import Amounts
from papayapick.ownership import read_shard
from tests.failures.lives import DOWN, LATE, LOST, ONCE, SHARD, Cell, Life

DEMAND = {"processors": 9000, "memory": 1024, "accelerators": 0}


@pytest.fixture
def cell():
    with Cell() as cell:
        yield cell


def add_life(cell, name):
    life = Life(cell, name)
    cell.lives.append(life)
    return life


def entry_of(life, kind):
    return next(
        entry
        for entry in life.process.peers.entries
        if entry.kind == kind and entry.name in life.shard.entries
    )


def test_one_of_many_takeovers_wins(cell):
    """Six placers see a dead owner at the same moment and all claim its shard."""
    lives = [add_life(cell, f"placer-{number}") for number in range(6)]
    row = read_shard(lives[0].process.table, SHARD)
    together = threading.Barrier(len(lives))

    def take(life):
        together.wait()
        return life.owner.take_over(row)

    with ThreadPoolExecutor(len(lives)) as executor:
        taken = [shard for shard in executor.map(take, lives) if shard is not None]
    assert [shard.epoch for shard in taken] == [1]


def test_one_process_takes_a_shard_once(cell):
    """A handover and the look at the table meet in one placer.

    Both found the shard free; two journals at one epoch would write the same
    segments, and each would take the other for a newer owner.
    """
    life = add_life(cell, "placer-1")
    row = read_shard(life.process.table, SHARD)
    cell.platform.board.set("objects", "down")
    with ThreadPoolExecutor(8) as executor:
        taken = list(executor.map(lambda _: life.owner.take_over(row), range(8)))
    assert len([shard for shard in taken if shard is not None]) == 1
    assert len(life.owner.shards) == 1


@pytest.mark.parametrize("fault", [DOWN, LOST, LATE])
@pytest.mark.parametrize("second", [None, DOWN, LOST, LATE])
def test_claim_whose_answer_is_lost_gives_one_owner(cell, fault, second):
    """The table's answer to a claim is lost, while another placer claims too.

    At any epoch one placer at most may serve the shard, and its journal takes
    what it writes.
    """
    lives = [add_life(cell, f"placer-{number}") for number in range(2)]
    lives[0].pool.arm({1: fault, 2: second})
    served = []
    for _ in range(3):
        for life in lives:
            try:
                row = read_shard(life.process.table, SHARD)
                shard = life.owner.take_over(row)
            except PlatformError:
                continue
            served += [shard] if shard is not None else []
    epochs = [shard.epoch for shard in served]
    assert len(set(epochs)) == len(epochs) >= 1
    last = read_shard(lives[1].process.table, SHARD)
    assert last.epoch == max(epochs)


def test_claim_is_gone_on_with_after_the_store_failed(cell):
    """The object store fails between the claim and the reading of the journal.

    The shard was claimed again at each look, which fences every host again.
    """
    before = cell.start("placer-1")
    for number in range(70):
        before.submit(ONCE, key=f"k{number}", wait=0)
        before.settle()
    before.shard.journal.compact(before.process.objects, records_of(before))
    before.end()
    life = add_life(cell, "placer-2")
    cell.platform.board.set("objects", "down")
    for _ in range(5):
        with pytest.raises(PlatformError):
            life.owner.take_over(read_shard(life.process.table, SHARD))
    cell.platform.board.clear("objects")
    shard = life.owner.take_over(read_shard(life.process.table, SHARD))
    assert shard.epoch == before.shard.epoch + 1
    assert len(shard.work_index) == 70


def records_of(life):
    return [one for item in life.shard.work_index.items for one in item.records()]


def test_worker_that_cannot_be_reached_counts_as_full(cell):
    """A worker runs tasks of a dead owner and does not answer its successor.

    Taken for empty it would get more than it holds. It stays closed until it
    answers, and then counts what it runs.
    """
    first = cell.start("placer-1")
    worker = entry_of(first, "worker")
    client = WorkerClient(first.pool)
    client.start(worker, first.shard.epoch, "t.1", DEMAND, 1e6, {"run_seconds": 1e6})
    first.end()
    cell.platform.board.set(worker.name, "down")
    life = cell.start("placer-2")
    hosts = life.shard.hosts
    assert not hosts.is_open(worker.name)
    assert hosts.free(worker.name).processors == 0
    cell.platform.board.clear(worker.name)
    life.refresh()
    assert hosts.is_open(worker.name)
    assert hosts.free(worker.name) == hosts.capacity(
        worker.name
    ) - Amounts.from_mapping(DEMAND)


def test_owner_that_wakes_after_a_takeover_starts_nothing(cell):
    """A placer is frozen between its check and its send, and wakes too late.

    Its successor has filled the worker and the instance; what it sends under
    its old epoch is refused by both, and its journal by the table.
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
    """Calls run on when their placer dies; the next owner counts their slots."""
    first = cell.start("placer-1")
    instance = entry_of(first, "instance")
    standin = cell.platform.instances._instances[instance.name]
    standin.running.update({f"r{number}": 1 for number in range(8)})
    first.end()
    life = cell.start("placer-2")
    busy = life.shard.slot_allocator.with_ledger(
        lambda ledger: ledger.busy(instance.name)
    )
    assert busy == 8
