"""The slot allocator grants, queues and refuses requests, with a manual clock."""

import random

import pytest

from papayapick.clock import ManualClock
from papayapick.ledger import SlotLedger
from papayapick.placement.requests import HealthAware, InstanceHealth
from papayapick.placer.exceptions import SlotWaitExpired, WaitingQueueFull, WaitTooLong
from papayapick.placer.slots import SlotAllocator
from papayapick.wire.messages import SlotGrant, SlotRequest

SERVICE = "counts"


class Bench:
    def __init__(self, slots=1, instances=1):
        self.clock = ManualClock()
        self.ledger = SlotLedger()
        policy = HealthAware(InstanceHealth(self.clock), random.Random(1))
        self.allocator = SlotAllocator(
            "a.0", 1, self.ledger, policy, self.clock, random.Random(1)
        )
        for number in range(instances):
            self.ledger.add(f"i{number}", SERVICE, f"url{number}", slots, 64)
            self.ledger.open(f"i{number}")
        self.count = 0

    def request_slot(self, wait=1.0, caller="ana", limit=256, run=1.0):
        self.count += 1
        request = SlotRequest(
            shard="a.0",
            service=SERVICE,
            request_id=f"r{self.count}",
            wait_milliseconds=int(wait * 1000),
            run_milliseconds=int(run * 1000),
            caller=caller,
        )
        return self.allocator.request(request, limit)

    def run_for(self, seconds, times=1):
        """Grant, hold and release a slot some times, so that the drain rate is known.

        Each slot is held for ``seconds``.
        """
        for _ in range(times):
            grant = self.request_slot()
            self.clock.advance(seconds)
            self.allocator.release(grant.grant_id, "done", seconds)


def test_expired_head_does_not_block_the_requests_behind_it():
    """Guards against an expired request that blocks the queue.

    The next free slot must go to the request behind it, and the expired one must
    be refused at that moment and not at the next periodic check.
    """
    bench = Bench()
    first = bench.request_slot()
    short, long = bench.request_slot(wait=0.1), bench.request_slot(wait=5)
    bench.clock.advance(0.2)
    bench.allocator.release(first.grant_id)
    assert isinstance(long.result(0), SlotGrant)
    assert isinstance(short.exception(0), SlotWaitExpired)


def test_earliest_deadline_of_a_caller_goes_first():
    bench = Bench()
    first = bench.request_slot()
    long_wait, short_wait = bench.request_slot(wait=5), bench.request_slot(wait=1)
    bench.allocator.release(first.grant_id)
    assert short_wait.done()
    assert not long_wait.done()


def test_callers_take_turns():
    """Guards against a burst of one caller that starves the others.

    Served in the order of arrival, a single request of another caller would wait
    for the whole burst and miss its deadline.
    """
    bench = Bench()
    grant = bench.request_slot()
    burst = [bench.request_slot(wait=9, caller="flood") for _ in range(50)]
    single = bench.request_slot(wait=9, caller="ben")
    for _ in range(2):
        bench.allocator.release(grant.grant_id)
        done = [future for future in [*burst, single] if future.done()]
        grant = done[-1].result(0)
    assert single.done()


def test_full_queue_refuses_the_burst_and_not_the_others():
    """Guards against a burst that fills the queue, so that all others are refused.

    The last request of the caller with the most requests is evicted and refused
    at once.
    """
    bench = Bench()
    bench.request_slot()
    burst = [bench.request_slot(wait=9, caller="flood", limit=10) for _ in range(10)]
    other = bench.request_slot(wait=9, caller="ben", limit=10)
    assert not other.done()
    assert isinstance(burst[-1].exception(0), WaitingQueueFull)
    assert sum(future.done() for future in burst) == 1
    with pytest.raises(WaitingQueueFull):
        bench.request_slot(wait=9, caller="flood", limit=10)


def test_wait_that_would_pass_the_deadline_is_refused_on_arrival():
    """Guards against requests that wait although they can't be served in time.

    Under overload the queue is longer than the deadlines allow. The measured drain
    rate shows on arrival that a request would miss its deadline, and gives the
    delay for a retry.
    """
    bench = Bench()
    bench.run_for(0.1, times=20)
    bench.request_slot()
    waiting = [bench.request_slot(wait=1.0) for _ in range(10)]
    with pytest.raises(WaitTooLong) as caught:
        bench.request_slot(wait=1.0)
    assert not any(future.done() for future in waiting)
    assert 1.1 <= caught.value.retry_after <= 2.2
    bench.request_slot(wait=1.2)


def test_retry_after_is_spread():
    """Guards against callers refused together that retry together."""
    bench = Bench()
    bench.run_for(0.1, times=20)
    bench.request_slot()
    moments = set()
    for _ in range(20):
        with pytest.raises(SlotWaitExpired) as caught:
            bench.request_slot(wait=0)
        moments.add(round(caught.value.retry_after, 3))
    assert len(moments) > 10


def test_slower_drain_refuses_requests_that_can_not_be_served_in_time():
    """Guards against requests that wait although they can't be served any more.

    When a third of the servers fail while requests wait, the last requests are
    refused as soon as the drain rate has dropped and not at their deadline.
    """
    bench = Bench()
    bench.run_for(0.01, times=20)
    grant = bench.request_slot()
    waiting = [bench.request_slot(wait=2.0) for _ in range(100)]
    for _ in range(20):
        bench.clock.advance(0.05)
        bench.allocator.release(grant.grant_id)
        grant = next(future for future in waiting if future.done()).result(0)
        waiting = [future for future in waiting if not future.done()]
    bench.allocator.expire()
    refused = [future for future in waiting if future.done()]
    assert 40 < len(refused) < 60
    assert all(isinstance(future.exception(0), SlotWaitExpired) for future in refused)


def test_slot_in_doubt_is_held_until_the_server_reports_the_end():
    """Guards against two requests on a backend server with one slot.

    The gateway stops waiting for an unresponsive backend server while the call
    still runs. The slot is freed when the server no longer reports the request.
    """
    bench = Bench()
    grant = bench.request_slot()
    later = bench.request_slot(wait=9)
    bench.allocator.release(grant.grant_id, "unknown", 0.5)
    assert not later.done()
    assert bench.allocator.in_doubt_instances() == ["i0"]
    bench.allocator.reconcile("i0", ["r1"])
    assert not later.done()
    bench.allocator.reconcile("i0", [])
    assert isinstance(later.result(0), SlotGrant)


def test_lost_release_is_found_after_the_run_bound():
    """Guards against slots that stay taken after a gateway died during a call.

    After the upper bound of the run, the backend server is queried; the slot is
    freed only according to its report.
    """
    bench = Bench()
    bench.request_slot(run=1.0)
    bench.clock.advance(1.9)
    assert bench.allocator.in_doubt_instances() == []
    bench.clock.advance(0.2)
    assert bench.allocator.in_doubt_instances() == ["i0"]
    bench.allocator.reconcile("i0", ["r1"])
    assert bench.allocator.held_count() == 1
    bench.allocator.reconcile("i0", ["another"])
    assert bench.allocator.held_count() == 0


def test_leaving_server_gets_no_more_slots():
    """Guards against work on a backend server that has announced that it leaves.

    The server announces it in an answer while the host list still shows it as
    live. Work sent until the list is updated would be lost.
    """
    bench = Bench(slots=2, instances=2)
    first = bench.request_slot()
    bench.allocator.release(first.grant_id, "leaving", 0.01)
    others = [bench.request_slot() for _ in range(2)]
    assert first.instance not in {grant.instance for grant in others}
    assert not bench.ledger.is_open(first.instance)


def test_own_calls_are_not_counted_twice_when_an_instance_returns():
    """Guards against a slot that is lost when an instance returns from leaving.

    The instance reports a call of this owner that still runs. If that call were
    counted again, its slot would never be freed.
    """
    bench = Bench()
    grant = bench.request_slot()
    bench.allocator.restore("i0", ["r1", "stranger"])
    assert bench.allocator.held_count() == 2
    bench.allocator.release(grant.grant_id)
    assert bench.ledger.busy("i0") == 1


def test_call_in_transit_is_not_regarded_as_ended():
    """Guards against a slot that is granted twice.

    A backend server is queried about an old call while a new one is in transit.
    It does not report the new call yet, whose slot must stay taken.
    """
    bench = Bench(slots=2)
    old = bench.request_slot()
    bench.allocator.release(old.grant_id, "unknown", 0.1)
    bench.request_slot()
    bench.allocator.reconcile("i0", [])
    assert bench.allocator.held_count() == 1
