import threading

import pytest

from papayapick.clients import StaleEpoch, WorkerUnreachable
from papayapick.journal import JournalFenced, Started
from papayapick.ledger import Amounts, HostFull
from papayapick.ownership import OwnershipUnconfirmed
from papayapick.placer.exceptions import SlotWaitExpired
from papayapick.wire.messages import SlotRequest
from tests.ownership.small_cell import CAPACITY, SmallCell

WHOLE = Amounts.from_mapping(CAPACITY)


@pytest.fixture
def cell():
    with SmallCell() as found:
        yield found


def test_an_owner_paused_between_check_and_send_starts_nothing(cell):
    """A checks its ledger and is paused, B takes over and fills the worker, A
    resumes and sends its start. Without the fence the host would run both tasks.
    """
    earlier = cell.take_over("placer-a")
    earlier.hosts.reserve("worker-1", "late", WHOLE)
    newer = cell.take_over("placer-b")
    newer.hosts.reserve("worker-1", "first", WHOLE)
    cell.start(newer, "first", CAPACITY)
    with pytest.raises(StaleEpoch):
        cell.start(earlier, "late", CAPACITY)
    assert cell.platform.workers.running() == {"worker-1": ["first"]}
    assert cell.platform.workers.overfilled() == 0


def test_a_start_that_arrived_before_the_fence_is_counted(cell):
    """A's start reaches the worker just before B's fence. Without the inventory
    B's ledger would be empty, and B would fill the worker a second time.
    """
    earlier = cell.take_over("placer-a")
    cell.start(earlier, "first", CAPACITY)
    newer = cell.take_over("placer-b")
    with pytest.raises(HostFull):
        newer.hosts.reserve("worker-1", "second", Amounts(processors=1))


def test_a_worker_is_fenced_before_its_inventory_is_used(cell):
    """The worker is unreachable during the takeover. If it were opened without a
    fence, it would run starts of the earlier and of the new owner together.
    """
    earlier = cell.take_over("placer-a")
    cell.platform.board.set("worker-1", "down")
    newer = cell.take_over("placer-b")
    assert newer.hosts.best_fit(Amounts(processors=1)) is None
    cell.platform.board.clear("worker-1")
    cell.start(earlier, "first", CAPACITY)
    cell.refresh(newer)
    assert newer.hosts.is_open("worker-1")
    assert newer.hosts.free("worker-1") == Amounts()


def test_an_unanswered_start_is_reserved_before_it_is_sent(cell):
    """The answer to a start is lost. The capacity stays reserved, so that no second
    task of the same size is sent to a host that runs the first.
    """
    shard = cell.take_over("placer-a")
    shard.hosts.reserve("worker-1", "first", WHOLE)
    cell.platform.board.set("worker-1", "lose_answers", 1)
    with pytest.raises(WorkerUnreachable):
        cell.start(shard, "first", CAPACITY)
    with pytest.raises(HostFull):
        shard.hosts.reserve("worker-1", "second", Amounts(processors=1))
    assert cell.platform.workers.running() == {"worker-1": ["first"]}


def test_an_earlier_owner_can_journal_nothing(cell):
    """A is paused, B takes over, A resumes and accepts work in its own journal.
    Without the condition on the epoch B would not know of the work, and it would
    be lost.
    """
    earlier = cell.take_over("placer-a")
    cell.take_over("placer-b")
    entry = earlier.journal.append(Started("r", 1, [], 0.0))
    earlier.journal.write_segment()
    with pytest.raises(JournalFenced):
        entry.written.result(0)
    assert earlier.is_closed


def test_an_owner_decides_nothing_after_a_pause_until_confirmed(cell):
    """A placer is paused for longer than allowed and still considers itself the
    owner of its shard. A grant issued now could be for a slot that a newer owner
    has granted already.
    """
    shard = cell.take_over("placer-a")
    shard.check_serving()
    cell.clock.advance(5)
    with pytest.raises(OwnershipUnconfirmed):
        shard.check_serving()
    shard.confirm(shard._pauses.count())
    shard.check_serving()


def test_a_grant_of_an_earlier_owner_is_refused_by_the_instance(cell):
    """A gateway is paused with A's grant; B takes over, finds the slot free and
    grants it again. Without the fence one slot would run two calls.
    """
    earlier = cell.take_over("placer-a")
    newer = cell.take_over("placer-b")
    assert cell.call(newer, "first") == 200
    assert cell.call(earlier, "late") == 409
    assert cell.platform.instances.runs() == {"first": 1}


def test_a_call_that_runs_during_the_takeover_keeps_its_slot(cell):
    """A gateway's call runs under A's grant when B takes over. Without the
    inventory B would grant the only slot to a second call.
    """
    earlier = cell.take_over("placer-a")
    cell.platform.board.set("counts-1", "freeze")
    running = cell.executor.submit(cell.call, earlier, "first")
    while cell.platform.instances.state("counts-1", "first")[0] != 200:
        threading.Event().wait(0.005)
    newer = cell.take_over("placer-b")
    assert newer.slot_allocator.held_count() == 1
    with pytest.raises(SlotWaitExpired):
        newer.slot_allocator.request(
            SlotRequest(service="counts", wait_milliseconds=0, run_milliseconds=10), 8
        )
    cell.platform.board.clear("counts-1")
    assert running.result() == 200


def test_an_unlisted_host_gets_no_work_until_it_is_listed_again():
    """A worker and a backend server fail and are removed from the host list. Work
    sent to them would wait for timeouts. Once they are listed again, they are
    fenced, inventoried and used as before.
    """
    with SmallCell() as cell:
        shard = cell.take_over("placer-a")
        listed, cell.entries = cell.entries, []
        cell.refresh(shard)
        assert not shard.hosts.is_open("worker-1")
        assert shard.slot_allocator.loads()[0].free_slots == 0
        cell.entries = listed
        cell.refresh(shard)
        assert shard.hosts.is_open("worker-1")
        assert shard.slot_allocator.loads()[0].free_slots == 1
