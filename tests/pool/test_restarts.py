"""Workers that restart under their id."""

import pytest

from papayapick.jobs import JobStatus, TaskKey
from papayapick.platform.exceptions import WorkerSilent
from papayapick.pool.workers.reports import (
    EndReport,
    RunReport,
    WorkerReport,
)
from tests.pool.linked_workers import (
    NonBlockingClock,
    RestartingWorker,
    SlowWorker,
    restarting_owner,
    run_orders,
)
from tests.pool.owners import ID, KEY, job, owner_with, place, waiting_tasks


@pytest.fixture
def restarting():
    return restarting_owner()


def test_run_whose_end_a_delayed_call_discarded_is_placed_again():
    """Guards against a task that is stuck, as its run ended and the end was discarded.

    A call without an answer acknowledges 57 ends of one incarnation of a worker. It is
    executed by the next one, which numbers its ends from 1 again.
    """
    host, owner = owner_with(job())
    link = owner.links_by_worker["w1"]
    link.client = worker = SlowWorker(host.clock)
    owner.rooms.get("w2").is_open = False
    link._poll()
    link.processed = link.acknowledged = 57
    worker.is_late = True
    with pytest.raises(WorkerSilent):
        link._poll()
    worker.restart()
    link._poll()
    with owner.lock:
        owner.decisions.place(host.clock.monotonic())
    (start,) = owner.decisions.take_unsent()
    owner.orders._start(link, start)
    worker.ends = [EndReport(1, KEY, 1, "failed")]
    worker.execute_late()
    host.clock.advance(0.1)
    link._poll()
    assert waiting_tasks(owner) == 1


def test_report_of_a_previous_incarnation_is_ignored():
    """Guards against a task that is stuck, as its end counts as processed already.

    A report requested after a stop waits for the lock while the link detects a restart
    of the worker. It lists 57 ends; the new incarnation numbers its own from 1.
    """
    host, owner = owner_with(job())
    owner.rooms.get("w2").is_open = False
    link = owner.links_by_worker["w1"]
    now = host.clock.monotonic()
    owner.report_handler.note_restart(link, 2)
    other = TaskKey("0" * 16, 0, 0, 0)
    ends = [EndReport(number, other, 1, "done") for number in range(1, 58)]
    owner.report_handler.note_report(link, WorkerReport(50.0, 1, [], ends), now)
    (run,) = place(owner)
    ends = [EndReport(1, KEY, run.attempt, "done")]
    owner.report_handler.note_report(link, WorkerReport(50.0, 2, [], ends), now)
    assert owner.job_registry.get(ID).status == JobStatus.COMPLETED


class ImmediatePlacement:
    """Replace the owner's wake-up event; place tasks each time that it is set."""

    def __init__(self, owner):
        self._owner = owner
        self.placed = []

    def set(self):
        self.placed += place(self._owner)


@pytest.mark.parametrize("has_ended", [False, True])
def test_run_started_by_a_new_incarnation_is_not_placed_again(has_ended):
    """Guards against a task that runs twice after its worker restarted.

    The restarted worker executes the start order. If the link gives up all runs of the
    worker before it applies the report that lists this one, the task is placed on
    another worker in between.
    """
    host, owner = owner_with(job())
    link = owner.links_by_worker["w1"]
    link.client = worker = SlowWorker(host.clock)
    link._poll()
    owner.rooms.get("w2").is_open = False
    (run,) = place(owner)
    owner.rooms.get("w2").is_open = True
    worker.restart()
    if has_ended:
        worker.ends = [EndReport(1, *run.name, "done")]
    else:
        worker.runs = [RunReport(*run.name)]
    owner._wakeup = placement = ImmediatePlacement(owner)
    link._clock = host.clock = NonBlockingClock(host.clock.monotonic())
    link._poll()
    assert placement.placed == []
    assert owner.job_registry.step_of(KEY).tasks[0].is_done == has_ended


def test_unanswered_start_is_stopped_at_the_new_incarnation_first(restarting):
    """Guards against a task that runs twice as its order is executed after a restart.

    The order gets no answer, nor does its stop, and the worker restarts under its id.
    """
    owner, link, start = restarting
    owner.orders._start(link, start)
    run_orders(owner)
    link.client.restart()
    owner.host.clock.advance(0.1)
    link._poll()
    assert waiting_tasks(owner) == 0
    owner.host.clock.advance(0.1)
    run_orders(owner)
    assert link.client.stops == [start.run.name]
    assert waiting_tasks(owner) == 1


def test_stop_that_an_earlier_incarnation_confirmed_is_sent_again(restarting):
    """Guards against an order that is executed after its stop was forgotten."""
    owner, link, start = restarting
    owner.orders._start(link, start)
    owner.orders.note_stop_confirmed(start.run)
    link.client.restart()
    owner.host.clock.advance(0.1)
    link._poll()
    assert waiting_tasks(owner) == 0
    run_orders(owner)
    assert link.client.stops == [start.run.name]


def test_run_that_starts_while_the_report_of_a_restart_is_applied_is_kept(restarting):
    """Guards against a second run, as a start overtook the report of a restart.

    The thread that polls is delayed between the answer and the owner's lock. The new
    incarnation confirms a start meanwhile, which its report can't list.
    """
    owner, link, start = restarting
    link.client.restart()
    link.client.on_renew = lambda: owner.orders._start(link, start)
    link._poll()
    assert waiting_tasks(owner) == 0
    link.client.on_renew = lambda: None
    link.client.runs = [RunReport(*start.run.name)]
    owner.host.clock.advance(0.1)
    link._poll()
    assert owner.job_registry.step_of(KEY).tasks[0].runs == [start.run]


def test_call_to_an_earlier_incarnation_repeats_no_acknowledgement():
    """Guards against a second run of a task whose end was discarded unread.

    The worker has answered the call that acknowledges 57 ends. A later call gets no
    answer, and the worker carries it out after it has restarted under its id, when a
    run has ended as done.
    """
    host, owner = owner_with(job())
    link = owner.links_by_worker["w1"]
    link.client = worker = SlowWorker(host.clock)
    owner.rooms.get("w2").is_open = False
    link._poll()
    link.processed = link.acknowledged = 57
    link._poll()
    worker.is_late = True
    with pytest.raises(WorkerSilent):
        link._poll()
    worker.restart()
    link._poll()
    (run,) = place(owner)
    worker.ends = [EndReport(1, *run.name, "done")]
    worker.execute_late()
    host.clock.advance(0.1)
    link._poll()
    assert owner.job_registry.get(ID).status == JobStatus.COMPLETED


def test_unanswered_start_outlives_the_lease_of_a_silent_worker(restarting):
    """Guards against a second run, as a start is executed after a restart unseen.

    The worker is silent until its lease is over, and may begin anew meanwhile. On its
    new clock the end of the lease that the late order names is far away.
    """
    owner, link, start = restarting
    owner.orders._start(link, start)
    link.client.is_late = True
    link.poll_once()
    _tick_after(owner, link.lease.lapse_at - owner.now() + 0.2)
    assert waiting_tasks(owner) == 0
    _tick_after(owner, 12.0)
    assert waiting_tasks(owner) == 1


def _tick_after(owner, seconds):
    owner.host.clock.advance(seconds)
    owner.ownership_status.note_confirmed(owner.now())
    with owner.lock:
        owner.loop.tick(owner.now())


class LateConfirmation(RestartingWorker):
    """Restart after a stop was confirmed, before its answer arrives."""

    def __init__(self, clock, link):
        super().__init__(clock)
        self._link = link

    def stop(self, key, attempt, epoch):
        if self.born > 1:
            super().stop(key, attempt, epoch)
            return
        self.restart()
        self._link._poll()


def test_stop_confirmed_by_an_earlier_incarnation_does_not_bind_the_next(restarting):
    """Guards against a second run, as a stop counts that the worker has forgotten.

    The link finds the restart before the answer to the stop arrives. A report of the
    new incarnation then showed that the run never started, and a late order started it.
    """
    owner, link, start = restarting
    link.client = LateConfirmation(owner.host.clock, link)
    owner.orders._start(link, start)
    run_orders(owner)
    assert waiting_tasks(owner) == 0
    _tick_after(owner, 0.5)
    run_orders(owner)
    assert link.client.stops == [start.run.name]
    assert waiting_tasks(owner) == 1
