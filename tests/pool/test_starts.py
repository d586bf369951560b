"""Starts that are refused, not sent, or left without an answer."""

import pytest

from papayapick.jobs import JobStatus
from papayapick.pool.workers.reports import (
    StartOutcome,
)
from tests.pool.owners import (
    ID,
    KEY,
    job,
    owner_of,
    place,
    report,
    store_job,
    waiting_tasks,
)


class StartingWorker:
    """Fake of a worker that starts every task it is ordered to."""

    is_refused = False

    def __init__(self):
        self.started = []

    def start(self, run, *rest):
        self.started.append(run)
        return StartOutcome.STARTED


def test_unanswered_start_keeps_its_capacity_until_it_is_known_not_to_run(host):
    """An unanswered start must not overcommit a worker or make a task run twice.

    The run may start until a stop is confirmed and a later report does not list it.
    Until then its capacity stays reserved and its task waits.
    """
    store_job(host, job())
    owner = owner_of(host)
    report(owner, "w2")
    report(owner, "w1")
    (run,) = place(owner)
    link = owner.links_by_worker[run.worker]
    room = owner.rooms.get(run.worker)
    owner.orders.note_start_outcome(link, run, StartOutcome.UNKNOWN)
    asked_at = host.clock.monotonic()
    host.clock.advance(0.1)
    owner.orders.note_stop_confirmed(run)
    report(owner, run.worker, asked_at=asked_at)
    assert run.name in room.runs
    assert waiting_tasks(owner) == 0
    host.clock.advance(0.1)
    report(owner, run.worker)
    assert run.name not in room.runs
    assert waiting_tasks(owner) == 1


def test_unanswered_start_is_found_in_a_report(host):
    store_job(host, job())
    owner = owner_of(host)
    report(owner, "w2")
    report(owner, "w1")
    (run,) = place(owner)
    owner.orders.note_start_outcome(
        owner.links_by_worker[run.worker], run, StartOutcome.UNKNOWN
    )
    report(owner, run.worker, runs=[(KEY, 1)])
    host.clock.advance(0.1)
    report(owner, run.worker, ends=[(KEY, 1, "done")])
    assert owner.job_registry.get(ID).status == JobStatus.COMPLETED


@pytest.mark.parametrize(
    "outcome",
    [
        StartOutcome.OUTDATED,
        StartOutcome.EXPIRED,
        StartOutcome.NO_ROOM,
        StartOutcome.REFUSED,
        StartOutcome.NOT_SENT,
        StartOutcome.TICKET_INVALID,
    ],
)
def test_task_of_a_refused_start_waits_again(host, outcome):
    store_job(host, job())
    owner = owner_of(host)
    report(owner, "w2")
    report(owner, "w1")
    (run,) = place(owner)
    owner.orders.note_start_outcome(owner.links_by_worker[run.worker], run, outcome)
    assert waiting_tasks(owner) == 1
    assert not owner.rooms.get(run.worker).runs


def test_start_whose_ticket_has_expired_is_not_sent(host):
    """A ticket can expire while its start waits for its record; workers refuse it."""
    store_job(host, job())
    owner = owner_of(host)
    report(owner, "w2")
    report(owner, "w1")
    with owner.lock:
        owner.decisions.place(host.clock.monotonic())
    (start,) = owner.decisions.take_unsent()
    start.usable_until = host.clock.monotonic() + 1.0
    host.clock.advance(1.1)
    owner.orders._start(owner.links_by_worker[start.run.worker], start)
    assert waiting_tasks(owner) == 1


def test_start_of_a_run_that_was_given_up_is_not_sent(host):
    """A task must not run twice if its worker restarts before the start is sent.

    While the start waits for its record or a thread, the worker crashes and comes back
    under the same id. The task is placed again, so only the second start may be sent.
    """
    store_job(host, job())
    owner = owner_of(host)
    report(owner, "w2")
    report(owner, "w1")
    with owner.lock:
        owner.decisions.place(host.clock.monotonic())
    (start,) = owner.decisions.take_unsent()
    link = owner.links_by_worker[start.run.worker]
    link.lease.note_clock(50.0)
    link.client = client = StartingWorker()
    owner.report_handler.note_restart(link, 2)
    (second,) = place(owner)
    assert second.attempt == 2
    owner.orders._start(link, start)
    assert client.started == []
    assert owner.job_registry.step_of(KEY).tasks[0].runs == [second]
