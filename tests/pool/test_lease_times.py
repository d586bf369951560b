"""Leases that are granted while other threads go on, or the process does not."""

import pytest

from papayapick.clock import ManualClock
from papayapick.pool.workers.leases import LEASE_SECONDS
from papayapick.pool.workers.reports import (
    WorkerReport,
)
from tests.pool.linked_workers import (
    Client,
    Listener,
    NonBlockingClock,
    make_link,
    restarting_owner,
)


@pytest.fixture
def clock():
    return NonBlockingClock(100.0)


class InterruptingClock(ManualClock):
    """Run a call, as another thread might, whenever the time is read."""

    def __init__(self, now):
        super().__init__(now)
        self.interrupt = None

    def monotonic(self):
        interrupt, self.interrupt = self.interrupt, None
        if interrupt is not None:
            interrupt()
        return super().monotonic()


def _lease_ends_at(end, shown, read_at):
    """Return when a lease ends at the latest, by a clock that is 2% slow."""
    return read_at + (end - shown) / 0.98


def test_lease_granted_while_the_clock_is_read_ends_as_counted():
    """Guards against a run that outlives the lease that its owner counts.

    A start is sent between the two lines that take over a worker's clock, and the
    worker is then cut off.
    """
    clock = InterruptingClock(100.0)
    client = Client(clock)
    link = make_link(client, clock, Listener())
    client.calls_left = 2
    link._poll()
    clock.advance(4.0)
    granted = []

    def answer_late(*args, **options):
        clock.interrupt = lambda: granted.append(link.lease.grant())
        return WorkerReport(clock._now + 1000, 1, [], [])

    client.renew = answer_late
    link._poll()
    (end,) = granted
    true_end = _lease_ends_at(end, clock._now + 1000, clock._now)
    assert link.lease.lapse_at >= true_end


class SlowPermission(Listener):
    """Permit to act, and be suspended right afterwards."""

    def __init__(self, clock, seconds):
        super().__init__()
        self._clock = clock
        self._seconds = seconds

    def may_act(self):
        self._clock.advance(self._seconds)
        return True


def test_lease_counts_from_before_the_owner_was_asked_whether_it_may_act(clock):
    """Guards against a lease beyond the one that a successor waits for.

    The process is suspended between the look whether it still owns the pool and the
    renewal. A successor, which can't reach the worker, waits for the longest lease that
    its predecessor could have granted by then.
    """
    client = Client(clock)
    link = make_link(client, clock, Listener())
    client.calls_left = 2
    link.poll_once()
    asked_at = clock.monotonic()
    link._listener = SlowPermission(clock, 5.0)
    link.poll_once()
    latest = 1000 + asked_at + LEASE_SECONDS
    assert client.leases[-1] == pytest.approx(latest)


def test_start_grants_its_lease_from_before_the_owner_was_asked():
    """Guards against a lease beyond the one that a successor waits for."""
    owner, link, start = restarting_owner()
    leases = []
    link.client.start = lambda run, payload, end, *rest: leases.append(end)
    asked_at = owner.host.clock.monotonic()
    may_act = owner.ownership_status.is_confirmed

    class Status:
        def is_confirmed(self):
            found = may_act()
            owner.host.clock.advance(5.0)
            return found

    owner.ownership_status = Status()
    owner.orders._start(link, start)
    shown = link.lease.reading.shown + asked_at - link.lease.reading.read_at
    assert leases == [pytest.approx(shown + LEASE_SECONDS)]
