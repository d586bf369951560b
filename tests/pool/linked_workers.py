"""Workers that answer from a script, and links to them."""

import pytest

from papayapick.clock import ManualClock
from papayapick.ledger import Amounts
from papayapick.platform.exceptions import WorkerSilent
from papayapick.pool.workers.link_threads import LinkLoop
from papayapick.pool.workers.links import WorkerLink
from papayapick.pool.workers.reports import (
    Registration,
    StartOutcome,
    WorkerReport,
)
from tests.pool.owners import job, owner_with

MAX_LEASE_SECONDS = 6.0


class Client:
    """Answer renewals from a script, and record their leases and acknowledgements."""

    is_refused = False

    def __init__(self, clock):
        self.clock = clock
        self.leases = []
        self.acknowledged = []
        self.answers = []
        self.calls_left = 0

    def renew(self, epoch, acknowledged, lease_end=None, wait_seconds=0.0, **options):
        if not self.calls_left:
            raise CallsUsedUp
        self.calls_left -= 1
        self.leases.append(lease_end)
        self.acknowledged.append(acknowledged)
        answer = self.answers.pop(0) if self.answers else report_at(self.clock)
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

    def has_runs(self, link):
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


def report_at(clock, born=1):
    return WorkerReport(clock.monotonic() + 1000, born, [], [])


class NonBlockingClock(ManualClock):
    """Advance the time instead of waiting."""

    def wait(self, event, seconds):
        self.advance(seconds)
        return event.is_set()


def make_link(client, clock, listener):
    registration = Registration("w1", "pool", "a:1", "zone", Amounts(1000, 1000))
    return WorkerLink(registration, client, 3, clock, listener, MAX_LEASE_SECONDS)


class CallsUsedUp(BaseException):
    """Raise to end the link's endless loop."""


def run_link(link, calls):
    """Let the link make some calls and process their answers."""
    link.client.calls_left = calls
    with pytest.raises(CallsUsedUp):
        LinkLoop(link._clock, link).run()


class SlowWorker:
    """Simulate a worker that executes calls late, also after a restart."""

    is_refused = False

    def __init__(self, clock):
        self._clock = clock
        self.born = 1
        self.ends = []
        self.runs = []
        self.is_late = False
        self._late_acknowledgement = 0

    def renew(self, epoch, acknowledged, lease_end=None, wait_seconds=0.0, **options):
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


def run_orders(owner):
    """Send the stops that were submitted."""
    executor = owner.orders._stop_executor
    tasks, executor.tasks = executor.tasks, []
    for step, args in tasks:
        step(*args)


def restarting_owner():
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
