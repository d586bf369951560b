"""Polling workers: leases, acknowledgements and restarts."""

import pytest

from papayapick.clock import ManualClock
from papayapick.jobs import JobStatus, TaskKey
from papayapick.ledger import Amounts
from papayapick.platform.exceptions import CallFailed, WorkerSilent
from papayapick.pool.workers.leases import LEASE_SECONDS
from papayapick.pool.workers.link_threads import LinkLoop
from papayapick.pool.workers.links import WorkerLink
from papayapick.pool.workers.reports import (
    EndReport,
    Registration,
    RunReport,
    StartOutcome,
    WorkerReport,
)
from tests.pool.owners import ID, KEY, job, owner_with, place, waiting_tasks

OTHER_INSTANCE = 421
FENCED = 409
MAX_LEASE_SECONDS = 6.0
# By which a call without an answer may be executed late.
LATE_SECONDS = 12.0


class Client:
    """Answer renewals from a script, and record their leases and acknowledgements."""

    def __init__(self, clock):
        self.clock = clock
        self.leases = []
        self.acknowledged = []
        self.answers = []
        self.calls_left = 0

    def renew(self, epoch, acknowledged, lease_end=None, wait_seconds=0.0):
        if not self.calls_left:
            raise _CallsUsedUp
        self.calls_left -= 1
        self.leases.append(lease_end)
        self.acknowledged.append(acknowledged)
        answer = self.answers.pop(0) if self.answers else _report(self.clock)
        if isinstance(answer, Exception):
            raise answer
        return answer


class Listener:
    """Record what a link reports."""

    def __init__(self):
        self.events = []

    def may_act(self):
        return True

    def may_have_stalled_run(self, link):
        return False

    def needs_pacing(self, link):
        return False

    def note_report(self, link, report, asked_at):
        self.events.append("report")

    def note_silence(self, link):
        self.events.append("silence")

    def note_restart(self, link, born, listed=frozenset(), requested_at=None):
        link.begin_incarnation(born)
        self.events.append("rebirth")

    def note_fenced(self, link):
        self.events.append("fenced")


def _report(clock, born=1):
    return WorkerReport(clock.monotonic() + 1000, born, [], [])


class _NonBlockingClock(ManualClock):
    """Advance the time instead of waiting."""

    def wait(self, event, seconds):
        self.advance(seconds)
        return event.is_set()


@pytest.fixture
def clock():
    return _NonBlockingClock(100.0)


def _make_link(client, clock, listener):
    registration = Registration("w1", "pool", "a:1", "zone", Amounts(1000, 1000))
    return WorkerLink(registration, client, 3, clock, listener, MAX_LEASE_SECONDS)


@pytest.fixture
def link(clock):
    return _make_link(Client(clock), clock, Listener())


class _CallsUsedUp(Exception):
    """Raise to end the link's endless loop."""


def _run(link, calls):
    """Let the link make some calls and process their answers."""
    link.client.calls_left = calls
    with pytest.raises(_CallsUsedUp):
        LinkLoop(link._clock, link).run()


def test_lease_of_a_silent_worker_expires(clock, link):
    """Guards against a lasting task that is never rescheduled.

    Its worker is gone. If each call to it, one every 0.2 s, counts as a renewal that
    may have arrived, the lease never expires.
    """
    _run(link, 2)
    link.client.answers = [WorkerSilent(worker="w1") for _ in range(60)]
    granted_until = link.lease.lapse_at
    _run(link, 60)
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
    _run(link, 2)
    granted_at = clock.monotonic()
    link.client.answers = [WorkerSilent(worker="w1"), _report(clock, born=2)]
    _run(link, 2)
    assert link.born == 2
    assert link.lease.lapse_at >= granted_at + LATE_SECONDS + MAX_LEASE_SECONDS / 0.98


def test_lease_without_a_restart_ends_as_granted(clock, link):
    _run(link, 3)
    assert link.lease.lapse_at <= clock.monotonic() + LEASE_SECONDS / 0.98 + 0.2


def test_worker_that_answers_again_is_granted_a_lease(clock, link):
    _run(link, 2)
    link.client.answers = [WorkerSilent(worker="w1")]
    _run(link, 3)
    assert not link.is_silent
    assert link.client.leases[-1] is not None


def test_calls_to_a_silent_worker_acknowledge_nothing(link):
    """Guards against a restarted worker that discards ends which nobody has read.

    Calls without an answer may be executed seconds later, after the restart. They must
    not acknowledge the ends of the previous incarnation.
    """
    _run(link, 1)
    link.processed = link.acknowledged = 57
    link.client.answers = [WorkerSilent(worker="w1") for _ in range(3)]
    _run(link, 5)
    assert link.client.acknowledged == [0, 57, 0, 0, 0, 57]


def test_refresh_acknowledges_nothing(link):
    """Guards against a restarted worker that discards ends which nobody has read.

    A restarted worker may answer a stop before the link knows of the restart. The
    refresh after the stop must not acknowledge ends of the previous incarnation.
    """
    _run(link, 1)
    link.processed = link.acknowledged = 57
    link.client.calls_left = 1
    link.refresh()
    assert link.client.acknowledged[-1] == 0


def test_first_call_grants_no_lease_as_the_clock_is_unknown(link):
    _run(link, 1)
    assert link.client.leases == [None]


def test_lapse_time_covers_a_worker_with_a_slow_clock(clock, link):
    _run(link, 1)
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
    _run(link, 1)
    link.processed = link.acknowledged = 7
    link.client.answers = [_report(clock, born=2)]
    _run(link, 2)
    assert "rebirth" in link._listener.events
    assert link.processed == link.acknowledged == 0


@pytest.mark.parametrize(
    ("status", "event"), [(FENCED, "fenced"), (OTHER_INSTANCE, "rebirth")]
)
def test_refused_renewal(link, status, event):
    link.client.answers = [CallFailed(address="w1", status=status)]
    _run(link, 1)
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


class SlowWorker:
    """Simulate a worker that executes calls late, also after a restart."""

    def __init__(self, clock):
        self._clock = clock
        self.born = 1
        self.ends = []
        self.runs = []
        self.is_late = False
        self._late_acknowledgement = 0

    def renew(self, epoch, acknowledged, lease_end=None, wait_seconds=0.0):
        if self.is_late:
            self._late_acknowledgement = max(self._late_acknowledgement, acknowledged)
            raise WorkerSilent(worker="w1")
        self._discard_ends(acknowledged)
        clock = self._clock.monotonic()
        return WorkerReport(clock, self.born, list(self.runs), list(self.ends))

    def start(self, run, *rest):
        return StartOutcome.STARTED

    def restart(self):
        self.born += 1
        self.ends = []
        self.is_late = False

    def execute_late(self):
        self._discard_ends(self._late_acknowledgement)

    def _discard_ends(self, acknowledged):
        self.ends = [end for end in self.ends if end.number > acknowledged]


def test_restart_is_the_time_by_which_the_worker_had_begun(clock, link):
    """Guards against a list of machines that is older than a restarted worker."""
    _run(link, 1)
    first = link.incarnation_since
    clock.advance(10.0)
    _run(link, 1)
    assert link.incarnation_since == first
    link.client.answers = [_report(clock, born=2)]
    _run(link, 1)
    assert link.incarnation_since == clock.monotonic()


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
    link._clock = host.clock = _NonBlockingClock(host.clock.monotonic())
    link._poll()
    assert placement.placed == []
    assert owner.job_registry.step_of(KEY).tasks[0].is_done == has_ended


class RestartingWorker(SlowWorker):
    """Give no answer to orders until it has restarted."""

    def __init__(self, clock):
        super().__init__(clock)
        self.stops = []
        self.on_renew = lambda: None

    def renew(self, *args, **options):
        report = super().renew(*args, **options)
        self.on_renew()
        return report

    def start(self, run, *rest):
        return StartOutcome.UNKNOWN if self.born == 1 else StartOutcome.STARTED

    def stop(self, key, attempt, epoch):
        if self.born == 1:
            raise WorkerSilent(worker="w1")
        self.stops.append((key, attempt))


def _run_orders(owner):
    """Send the stops that were submitted."""
    executor = owner.orders._stop_executor
    tasks, executor.tasks = executor.tasks, []
    for step, args in tasks:
        step(*args)


@pytest.fixture
def restarting():
    """Return an owner, its link to a worker, and a start that was not sent yet."""
    host, owner = owner_with(job())
    owner.rooms.get("w2").is_open = False
    link = owner.links_by_worker["w1"]
    link.client = RestartingWorker(host.clock)
    link._poll()
    with owner.lock:
        owner.decisions.place(host.clock.monotonic())
    (start,) = owner.decisions.take_unsent()
    host.clock.advance(0.1)
    return owner, link, start


def test_unanswered_start_is_stopped_at_the_new_incarnation_first(restarting):
    """Guards against a task that runs twice as its order is executed after a restart.

    The order gets no answer, nor does its stop, and the worker restarts under its id.
    """
    owner, link, start = restarting
    owner.orders._start(link, start)
    _run_orders(owner)
    link.client.restart()
    owner.host.clock.advance(0.1)
    link._poll()
    assert waiting_tasks(owner) == 0
    owner.host.clock.advance(0.1)
    _run_orders(owner)
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
    _run_orders(owner)
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
    link = _make_link(client, clock, Listener())
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
    link = _make_link(client, clock, Listener())
    client.calls_left = 2
    link.poll_once()
    asked_at = clock.monotonic()
    link._listener = SlowPermission(clock, 5.0)
    link.poll_once()
    latest = 1000 + asked_at + LEASE_SECONDS
    assert client.leases[-1] == pytest.approx(latest)


def test_start_grants_its_lease_from_before_the_owner_was_asked(restarting):
    """Guards against a lease beyond the one that a successor waits for."""
    owner, link, start = restarting
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
