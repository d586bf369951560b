"""Polling workers: leases, acknowledgements and restarts."""

import pytest

from papayapick.clock import ManualClock
from papayapick.ledger import Amounts
from papayapick.platform.exceptions import CallFailed, WorkerSilent
from papayapick.pool.workers.leases import LEASE_SECONDS
from papayapick.pool.workers.links import WorkerLink
from papayapick.pool.workers.reports import (
    Registration,
)
from tests.pool.linked_workers import (
    MAX_LEASE_SECONDS,
    Client,
    Listener,
    NonBlockingClock,
    make_link,
    report_at,
    run_link,
)

OTHER_INSTANCE = 421
FENCED = 409
# By which a call without an answer may be executed late.
LATE_SECONDS = 12.0


@pytest.fixture
def clock():
    return NonBlockingClock(100.0)


@pytest.fixture
def link(clock):
    return make_link(Client(clock), clock, Listener())


def test_lease_of_a_silent_worker_expires(clock, link):
    """Guards against a lasting task that is never rescheduled.

    Its worker is gone. If each call to it, one every 0.2 s, counts as a renewal that
    may have arrived, the lease never expires.
    """
    run_link(link, 2)
    link.client.answers = [WorkerSilent(worker="w1") for _ in range(60)]
    granted_until = link.lease.lapse_at
    run_link(link, 60)
    assert link.is_silent
    # One call may have been in progress when the worker left.
    assert link.lease.lapse_at <= granted_until + LEASE_SECONDS
    assert clock.monotonic() > link.lease.lapse_at


def test_lease_after_a_restart_may_be_the_longest(clock, link):
    """Guards against a task that runs twice after a restart of its worker.

    The restarted worker executes a call that was sent to its previous incarnation
    seconds before. The call's lease ends at a time on the clock of that one, so that
    the new one holds the longest lease that there is. If the worker is then cut off,
    its tasks run for longer than the owner's own leases.
    """
    run_link(link, 2)
    granted_at = clock.monotonic()
    link.client.answers = [WorkerSilent(worker="w1"), report_at(clock, born=2)]
    run_link(link, 2)
    assert link.born == 2
    assert link.lease.lapse_at >= granted_at + LATE_SECONDS + MAX_LEASE_SECONDS / 0.98


def test_lease_without_a_restart_ends_as_granted(clock, link):
    run_link(link, 3)
    assert link.lease.lapse_at <= clock.monotonic() + LEASE_SECONDS / 0.98 + 0.2


def test_worker_that_answers_again_is_granted_a_lease(clock, link):
    run_link(link, 2)
    link.client.answers = [WorkerSilent(worker="w1")]
    run_link(link, 3)
    assert not link.is_silent
    assert link.client.leases[-1] is not None


def test_calls_to_a_silent_worker_acknowledge_nothing(link):
    """Guards against a restarted worker that discards ends which nobody has read.

    Calls without an answer may be executed seconds later, after the restart. They must
    not acknowledge the ends of the previous incarnation.
    """
    run_link(link, 1)
    link.processed = link.acknowledged = 57
    link.client.answers = [WorkerSilent(worker="w1") for _ in range(3)]
    run_link(link, 5)
    assert link.client.acknowledged == [0, 57, 0, 0, 0, 57]


def test_refresh_acknowledges_nothing(link):
    """Guards against a restarted worker that discards ends which nobody has read.

    A restarted worker may answer a stop before the link knows of the restart. The
    refresh after the stop must not acknowledge ends of the previous incarnation.
    """
    run_link(link, 1)
    link.processed = link.acknowledged = 57
    link.client.calls_left = 1
    link.refresh()
    assert link.client.acknowledged[-1] == 0


def test_first_call_grants_no_lease_as_the_clock_is_unknown(link):
    run_link(link, 1)
    assert link.client.leases == [None]


def test_lapse_time_covers_a_worker_with_a_slow_clock(clock, link):
    run_link(link, 1)
    end = link.lease.grant()
    read_at = clock.monotonic()
    # The worker's clock runs at 98% of real time.
    reached = read_at + (end - (1000 + read_at)) / 0.98
    assert link.lease.lapse_at >= reached


def test_restart_under_the_same_id_resets_the_numbers_of_ends(clock, link):
    """Guards against a task that seems to run for ever on a restarted worker.

    If the worker restarts between two calls, none fails. Only its ``born`` changes, and
    its ends are numbered from 1 again.
    """
    run_link(link, 1)
    link.processed = link.acknowledged = 7
    link.client.answers = [report_at(clock, born=2)]
    run_link(link, 2)
    assert "rebirth" in link._listener.events
    assert link.processed == link.acknowledged == 0


@pytest.mark.parametrize(
    ("status", "event"), [(FENCED, "fenced"), (OTHER_INSTANCE, "rebirth")]
)
def test_refused_renewal(link, status, event):
    link.client.answers = [CallFailed(address="w1", status=status)]
    run_link(link, 1)
    assert event in link._listener.events


def test_acknowledgement_of_a_previous_incarnation_is_ignored():
    """Guards against finished tasks that run again after a restart of a worker.

    The worker restarts while a commit is in progress that covers 57 ends of its
    previous incarnation. Acknowledged to the new one, which numbers its ends from 1,
    the commit makes it discard each end at once. If the store is unavailable, the ends
    aren't recorded either, and after a power loss of all hosts their tasks run again.
    """
    clock = ManualClock()
    registration = Registration("w1", "pool", "a:1", "z", Amounts(4000, 4096))
    link = WorkerLink(
        registration, Client(clock), 1, clock, Listener(), MAX_LEASE_SECONDS
    )
    link.begin_incarnation(1)
    link.processed = 57
    number, born = link.processed, link.born
    link.begin_incarnation(2)
    link.acknowledge(number, born)
    assert (link.processed, link.acknowledged) == (0, 0)
    link.acknowledge(3, 2)
    assert link.acknowledged == 3


def test_restart_is_the_time_by_which_the_worker_had_begun(clock, link):
    """Guards against a list of machines that is older than a restarted worker."""
    run_link(link, 1)
    first = link.incarnation_since
    clock.advance(10.0)
    run_link(link, 1)
    assert link.incarnation_since == first
    link.client.answers = [report_at(clock, born=2)]
    run_link(link, 1)
    assert link.incarnation_since == clock.monotonic()
