"""Give out slots and refuse in time, with the clock in the test's hand."""

import random

import pytest

from papayapick.clock import ManualClock
from papayapick.ledger import SlotLedger
from papayapick.placement import HealthAware, InstanceHealth
from papayapick.placer.exceptions import SlotWaitExpired, WaitingQueueFull, WaitTooLong
from papayapick.placer.slots import SlotAllocator
from papayapick.wire.messages import SlotGrant, SlotRequest

SERVICE = "counts"


class Bench:
    def __init__(self, slots=1, instances=1):
        self.clock = ManualClock()
        self.ledger = SlotLedger()
        policy = HealthAware(InstanceHealth(self.clock), random.Random(1))
        self.desk = SlotAllocator(
            "a.0", 1, self.ledger, policy, self.clock, random.Random(1)
        )
        for number in range(instances):
            self.ledger.add(f"i{number}", SERVICE, f"url{number}", slots, 64)
            self.ledger.open(f"i{number}")
        self.count = 0

    def ask(self, wait=1.0, caller="ana", limit=256, run=1.0):
        self.count += 1
        wanted = SlotRequest(
            shard="a.0",
            service=SERVICE,
            request_id=f"r{self.count}",
            wait_milliseconds=int(wait * 1000),
            run_milliseconds=int(run * 1000),
            caller=caller,
        )
        return self.desk.request(wanted, limit)

    def run_for(self, seconds, times=1):
        """Grant, hold and release, so that the drain rate is known."""
        for _ in range(times):
            grant = self.ask()
            self.clock.advance(seconds)
            self.desk.release(grant.grant_id, "done", seconds)


def test_expired_head_does_not_block_those_behind():
    """A request with a short deadline is first in line and its time runs out.

    The slot that comes free next must go to the one behind it, and the first
    must hear of its end at that moment, not at the next sweep.
    """
    bench = Bench()
    first = bench.ask()
    short, long = bench.ask(wait=0.1), bench.ask(wait=5)
    bench.clock.advance(0.2)
    bench.desk.release(first.grant_id)
    assert isinstance(long.result(0), SlotGrant)
    assert isinstance(short.exception(0), SlotWaitExpired)


def test_earliest_deadline_of_a_caller_goes_first():
    bench = Bench()
    first = bench.ask()
    patient, hasty = bench.ask(wait=5), bench.ask(wait=1)
    bench.desk.release(first.grant_id)
    assert hasty.done()
    assert not patient.done()


def test_callers_take_turns():
    """One caller sends a flood; another's single request waits behind it all.

    By arrival it would wait for the whole flood, and miss its deadline.
    """
    bench = Bench()
    grant = bench.ask()
    flood = [bench.ask(wait=9, caller="flood") for _ in range(50)]
    single = bench.ask(wait=9, caller="ben")
    for _ in range(2):
        bench.desk.release(grant.grant_id)
        done = [found for found in [*flood, single] if found.done()]
        grant = done[-1].result(0)
    assert single.done()


def test_full_queue_refuses_the_flood_and_not_the_others():
    """A flood fills the queue; then every other caller is refused.

    The last request of the longest line makes room, and hears so at once.
    """
    bench = Bench()
    bench.ask()
    flood = [bench.ask(wait=9, caller="flood", limit=10) for _ in range(10)]
    other = bench.ask(wait=9, caller="ben", limit=10)
    assert not other.done()
    assert isinstance(flood[-1].exception(0), WaitingQueueFull)
    assert sum(found.done() for found in flood) == 1
    with pytest.raises(WaitingQueueFull):
        bench.ask(wait=9, caller="flood", limit=10)


def test_wait_that_would_pass_the_deadline_is_refused_on_arrival():
    """At opening time requests queue for longer than their deadlines.

    Each would wait in vain and hold its caller up; the measured rate tells on
    arrival, and when to come back.
    """
    bench = Bench()
    bench.run_for(0.1, times=20)
    bench.ask()
    waiting = [bench.ask(wait=1.0) for _ in range(10)]
    with pytest.raises(WaitTooLong) as caught:
        bench.ask(wait=1.0)
    assert not any(found.done() for found in waiting)
    assert 1.1 <= caught.value.retry_after <= 2.2
    bench.ask(wait=1.2)


def test_retry_after_is_spread():
    """Callers refused in one moment come back in one moment and are refused."""
    bench = Bench()
    bench.run_for(0.1, times=20)
    bench.ask()
    moments = set()
    for _ in range(20):
        with pytest.raises(SlotWaitExpired) as caught:
            bench.ask(wait=0)
        moments.add(round(caught.value.retry_after, 3))
    assert len(moments) > 10


def test_slower_drain_refuses_those_who_can_not_be_served_any_more():
    """A third of the servers go while requests wait; the last would wait in vain.

    They hear it as soon as the slower rate shows, not at their deadline.
    """
    bench = Bench()
    bench.run_for(0.01, times=20)
    grant = bench.ask()
    waiting = [bench.ask(wait=2.0) for _ in range(100)]
    for _ in range(20):
        bench.clock.advance(0.05)
        bench.desk.release(grant.grant_id)
        grant = next(found for found in waiting if found.done()).result(0)
        waiting = [found for found in waiting if not found.done()]
    bench.desk.expire()
    refused = [found for found in waiting if found.done()]
    assert 40 < len(refused) < 60
    assert all(isinstance(found.exception(0), SlotWaitExpired) for found in refused)


def test_unknown_end_keeps_the_slot_until_the_server_speaks():
    """The gateway stops waiting for a silent backend server; the call runs on.

    A slot given out again then would put two requests on a server with one
    slot. It comes back when the server no longer names the request.
    """
    bench = Bench()
    grant = bench.ask()
    later = bench.ask(wait=9)
    bench.desk.release(grant.grant_id, "unknown", 0.5)
    assert not later.done()
    assert bench.desk.in_doubt_instances() == ["i0"]
    bench.desk.reconcile("i0", ["r1"])
    assert not later.done()
    bench.desk.reconcile("i0", [])
    assert isinstance(later.result(0), SlotGrant)


def test_lost_release_is_found_after_the_run_bound():
    """A gateway dies in mid-call; its slot would be lost for ever.

    Past the bound of the run the server is asked, and only its word counts.
    """
    bench = Bench()
    bench.ask(run=1.0)
    bench.clock.advance(1.9)
    assert bench.desk.in_doubt_instances() == []
    bench.clock.advance(0.2)
    assert bench.desk.in_doubt_instances() == ["i0"]
    bench.desk.reconcile("i0", ["r1"])
    assert bench.desk.held_count() == 1
    bench.desk.reconcile("i0", ["another"])
    assert bench.desk.held_count() == 0


def test_leaving_server_gets_no_more_slots():
    """A backend server says in an answer that it leaves; the list still has it.

    Work sent to it until the list catches up would be lost with it.
    """
    bench = Bench(slots=2, instances=2)
    first = bench.ask()
    bench.desk.release(first.grant_id, "leaving", 0.01)
    others = [bench.ask() for _ in range(2)]
    assert first.instance not in {found.instance for found in others}
    assert not bench.ledger.is_open(first.instance)


def test_own_calls_are_not_counted_twice_when_an_instance_returns():
    """An instance leaves and comes back while a call of this owner runs there.

    Its inventory names that call; counted again, the slot would be lost.
    """
    bench = Bench()
    grant = bench.ask()
    bench.desk.restore("i0", ["r1", "stranger"])
    assert bench.desk.held_count() == 2
    bench.desk.release(grant.grant_id)
    assert bench.ledger.busy("i0") == 1


def test_call_that_is_on_its_way_is_not_taken_for_ended():
    """A server is asked about an old call while a new one is on its way to it.

    It does not name the new one yet; its slot given out again would be used
    twice.
    """
    bench = Bench(slots=2)
    old = bench.ask()
    bench.desk.release(old.grant_id, "unknown", 0.1)
    bench.ask()
    bench.desk.reconcile("i0", [])
    assert bench.desk.held_count() == 1
