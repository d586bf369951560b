"""A worker that accepts no connection for orders gets no new tasks."""

import pytest

from papayapick.jobs.runs import Run, RunPhase
from papayapick.ledger.amounts import Amounts
from papayapick.platform.exceptions import WorkerSilent
from papayapick.pool.workers.poll_times import poll_seconds
from papayapick.pool.workers.reports import StartOutcome
from tests.pool.owners import KEY, owner_of, register, report
from tests.pool.standins import Host

REFUSED_SECONDS = 1.0


class RefusingClient:
    """Answer no order while it refuses connections."""

    is_refused = True

    def start(self, run, *rest):
        return StartOutcome.UNKNOWN if self.is_refused else StartOutcome.STARTED

    def stop(self, key, attempt, epoch):
        if self.is_refused:
            raise WorkerSilent(worker="w1")


@pytest.fixture
def owner():
    host = Host()
    register(host, "w1")
    found = owner_of(host)
    report(found, "w1")
    found.ownership_status.note_confirmed(found.now())
    found.links_by_worker["w1"].client = RefusingClient()
    return found


@pytest.fixture
def run(owner):
    """A run whose start was refused, and whose stop is to be sent."""
    run = Run(KEY, 1, "w1", Amounts(10, 1), RunPhase.STOPPING, owner.now())
    owner.rooms.get("w1").reserve(run)
    return run


def send_stop(owner, run):
    owner.orders._stop(owner.links_by_worker["w1"], run)


def test_worker_that_refuses_orders_gets_no_new_tasks(owner, run):
    """Guards against tasks that wait on a worker of which only the polls are sound."""
    room = owner.rooms.get("w1")
    assert room.is_open
    send_stop(owner, run)
    assert not room.is_open
    report(owner, "w1")
    assert not room.is_open


def test_worker_gets_tasks_again_once_an_order_is_answered(owner, run):
    """Guards against workers that stay unused after they had too many connections."""
    link, room = owner.links_by_worker["w1"], owner.rooms.get("w1")
    send_stop(owner, run)
    link.client.is_refused = False
    # No list of runs is requested then.
    run.was_listed = True
    send_stop(owner, run)
    assert room.is_open


def test_worker_without_further_orders_is_tried_again(owner, run):
    """Guards against a worker that stays closed as no order is left to find out."""
    room = owner.rooms.get("w1")
    send_stop(owner, run)
    owner.host.clock.advance(REFUSED_SECONDS)
    report(owner, "w1")
    assert room.is_open


def test_unanswered_order_alone_closes_no_worker(owner, run):
    """Guards against workers without tasks after a single lost order."""

    class Silent(RefusingClient):
        is_refused = False

        def stop(self, key, attempt, epoch):
            raise WorkerSilent(worker="w1")

    owner.links_by_worker["w1"].client = Silent()
    send_stop(owner, run)
    assert owner.rooms.get("w1").is_open


def test_polls_are_short_while_orders_share_their_connection(owner):
    """Guards against orders that wait for a poll longer than they may take."""
    link, handler = owner.links_by_worker["w1"], owner.report_handler
    link.lease.note_clock(1.0)
    shared = poll_seconds(link, handler)
    link.client.is_refused = False
    assert shared <= 0.1 < poll_seconds(link, handler)
