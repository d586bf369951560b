"""Keeping in touch with workers."""

import pytest

from papayapick.clock import ManualClock
from papayapick.jobs import JobStatus, TaskKey
from papayapick.ledger import Amounts
from papayapick.platform.exceptions import CheckFailed, WorkerSilent
from papayapick.pool.links import LEASE_SECONDS, WorkerLink
from papayapick.pool.reports import (
    EndReport,
    Registration,
    RunReport,
    StartOutcome,
    WorkerReport,
)
from tests.pool.owners import ID, KEY, job, owner_with, place, waiting_tasks

OTHER_LIFE = 421
FENCED = 409


class Client:
    """Answer renewals by a script; note the lease that each asked for."""

    def __init__(self, clock):
        self.clock = clock
        self.leases = []
        self.acknowledged = []
        self.answers = []
        self.calls_left = 0

    def renew(self, epoch, acknowledged, lease_end=None, wait_seconds=0.0):
        if not self.calls_left:
            raise _EnoughCalls
        self.calls_left -= 1
        self.leases.append(lease_end)
        self.acknowledged.append(acknowledged)
        answer = self.answers.pop(0) if self.answers else _report(self.clock)
        if isinstance(answer, Exception):
            raise answer
        return answer


class Listener:
    def __init__(self):
        self.events = []

    def may_act(self):
        return True

    def is_doubtful(self, link):
        return False

    def is_paced(self, link):
        return False

    def note_report(self, link, report, asked_at):
        self.events.append("report")

    def note_silence(self, link):
        self.events.append("silence")

    def note_rebirth(self, link, born, listed=frozenset()):
        link.begin_life(born)
        self.events.append("rebirth")

    def note_fenced(self, link):
        self.events.append("fenced")


def _report(clock, born=1):
    return WorkerReport(clock.monotonic() + 1000, born, [], [])


class _NoWait(ManualClock):
    """Advance instead of waiting."""

    def wait(self, event, seconds):
        self.advance(seconds)
        return event.is_set()


@pytest.fixture
def clock():
    return _NoWait(100.0)


@pytest.fixture
def link(clock):
    registration = Registration("w1", "pool", "a:1", "zone", Amounts(1000, 1000))
    return WorkerLink(registration, Client(clock), 3, clock, Listener())


class _EnoughCalls(Exception):
    """End the link's endless task."""


def _run(link, calls):
    """Let the link make so many calls and take in their answers."""
    link.client.calls_left = calls
    with pytest.raises(_EnoughCalls):
        link.run()


def test_lease_of_a_silent_worker_runs_out(clock, link):
    """A caller sees a lasting task that is down for good.

    Its worker left while the owner renewed the lease. The owner asked the dead
    worker again every 0.2 s and counted each call as a renewal that might have
    arrived, so the lease never was over and the task was never placed again.
    """
    _run(link, 2)
    link.client.answers = [WorkerSilent(worker="w1") for _ in range(60)]
    given_until = link.lapse_at
    _run(link, 60)
    assert link.is_silent
    # One call may have been under way as the worker left.
    assert link.lapse_at <= given_until + LEASE_SECONDS
    assert clock.monotonic() > link.lapse_at


def test_worker_that_is_back_is_given_a_lease_again(clock, link):
    _run(link, 2)
    link.client.answers = [WorkerSilent(worker="w1")]
    _run(link, 3)
    assert not link.is_silent
    assert link.client.leases[-1] is not None


def test_silent_worker_is_told_to_forget_nothing(link):
    """The next life of a worker forgets ends that nobody has read.

    It crashed and is back under its id. Calls without an answer may be carried out
    seconds later; those of its silence acknowledged the ends of the life before.
    """
    _run(link, 1)
    link.processed = link.acknowledged = 57
    link.client.answers = [WorkerSilent(worker="w1") for _ in range(3)]
    _run(link, 5)
    assert link.client.acknowledged == [0, 57, 0, 0, 0, 57]


def test_look_beside_the_waiting_call_has_nothing_forgotten(link):
    """The next life of a worker forgets ends that nobody has read.

    A stop was answered by it before the link knew of it. The look after the stop
    acknowledged the ends of the life before, and its answer counts for nothing.
    """
    _run(link, 1)
    link.processed = link.acknowledged = 57
    link.client.calls_left = 1
    link.look_again()
    assert link.client.acknowledged[-1] == 0


def test_first_look_gives_no_lease_for_want_of_a_clock(link):
    _run(link, 1)
    assert link.client.leases == [None]


def test_lapse_covers_a_worker_whose_clock_is_slow(clock, link):
    _run(link, 1)
    end = link.lease_end()
    read_at = clock.monotonic()
    # At 98% of real time the worker's clock reaches the end only then.
    reached = read_at + (end - (1000 + read_at)) / 0.98
    assert link.lapse_at >= reached


def test_worker_born_again_under_its_id_starts_anew(clock, link):
    """A caller's task would seem to run for ever on a worker that restarted.

    The worker crashed and came back under its id between two looks, so no call
    failed. Only its time of birth tells; its ends are numbered from 1 again.
    """
    _run(link, 1)
    link.processed = link.acknowledged = 7
    link.client.answers = [_report(clock, born=2)]
    _run(link, 2)
    assert "rebirth" in link._listener.events
    assert link.processed == link.acknowledged == 0


@pytest.mark.parametrize(
    ("status", "event"), [(FENCED, "fenced"), (OTHER_LIFE, "rebirth")]
)
def test_refused_renewal(link, status, event):
    link.client.answers = [CheckFailed(address="w1", status=status)]
    _run(link, 1)
    assert event in link._listener.events


def test_acknowledgement_of_the_life_before_reaches_no_later_one():
    """A worker crashes and is back under its id while a commit is on its way.

    The commit acknowledged 57 ends of the life before. Taken for the new one, whose
    ends are numbered from 1, the worker forgot each end as soon as it had listed it;
    while the store was away none of them was recorded, and after a power loss of all
    hosts tasks that were done ran again.
    """
    clock = ManualClock()
    registration = Registration("w1", "pool", "a:1", "z", Amounts(4000, 4096))
    link = WorkerLink(registration, Client(clock), 1, clock, Listener())
    link.begin_life(1)
    link.processed = 57
    number, born = link.processed, link.born
    link.begin_life(2)
    link.acknowledge(number, born)
    assert (link.processed, link.acknowledged) == (0, 0)
    link.acknowledge(3, 2)
    assert link.acknowledged == 3


class LateWorker:
    """Stand for a worker that carries out a call late, in its next life too."""

    def __init__(self, clock):
        self._clock = clock
        self.born = 1
        self.ends = []
        self.runs = []
        self.is_late = False
        self._forgets_late = 0

    def renew(self, epoch, acknowledged, lease_end=None, wait_seconds=0.0):
        if self.is_late:
            self._forgets_late = max(self._forgets_late, acknowledged)
            raise WorkerSilent(worker="w1")
        self._forget(acknowledged)
        clock = self._clock.monotonic()
        return WorkerReport(clock, self.born, list(self.runs), list(self.ends))

    def start(self, run, *rest):
        return StartOutcome.STARTED

    def begin_again(self):
        self.born += 1
        self.ends = []
        self.is_late = False

    def carry_out_late(self):
        self._forget(self._forgets_late)

    def _forget(self, acknowledged):
        self.ends = [end for end in self.ends if end.number > acknowledged]


def test_run_whose_end_a_late_call_has_forgotten_is_placed_again():
    """A task stands still for ever: its run is over, and its end is on no list.

    A call without an answer acknowledged 57 ends of one life of a worker. It was
    carried out in the next, under the same id, whose ends are numbered from 1 again.
    """
    host, owner = owner_with(job())
    link = owner.links_by_worker["w1"]
    link.client = worker = LateWorker(host.clock)
    owner.rooms.get("w2").is_open = False
    link._ask()
    link.processed = link.acknowledged = 57
    worker.is_late = True
    with pytest.raises(WorkerSilent):
        link._ask()
    worker.begin_again()
    link._ask()
    with owner.lock:
        owner.decisions.place(host.clock.monotonic())
    (start,) = owner.decisions.take_unsent()
    owner.orders._start(link, start)
    worker.ends = [EndReport(1, KEY, 1, "failed")]
    worker.carry_out_late()
    host.clock.advance(0.1)
    link._ask()
    assert waiting_tasks(owner) == 1


def test_list_of_the_life_before_hides_no_end_of_the_next():
    """A task stands still for ever: its end was listed, and taken for known.

    A list that was asked for after a stop waited for the lock while the worker was
    found to be in a new life. It brought 57 ends; the new life numbers its own anew.
    """
    host, owner = owner_with(job())
    owner.rooms.get("w2").is_open = False
    link = owner.links_by_worker["w1"]
    now = host.clock.monotonic()
    owner.report_handler.note_rebirth(link, 2)
    other = TaskKey("0" * 16, 0, 0, 0)
    ends = [EndReport(number, other, 1, "done") for number in range(1, 58)]
    owner.report_handler.note_report(link, WorkerReport(50.0, 1, [], ends), now)
    (run,) = place(owner)
    ends = [EndReport(1, KEY, run.attempt, "done")]
    owner.report_handler.note_report(link, WorkerReport(50.0, 2, [], ends), now)
    assert owner.book.get(ID).status == JobStatus.COMPLETED


class PlacingAtOnce:
    """Let the owner decide each time that it is woken."""

    def __init__(self, owner):
        self._owner = owner
        self.placed = []

    def set(self):
        self.placed += place(self._owner)


@pytest.mark.parametrize("has_ended", [False, True])
def test_run_that_the_next_life_has_begun_is_not_placed_again(has_ended):
    """A task runs twice: its order reached a worker that had crashed and was back.

    Its link found the new life and gave up all runs of the worker, then took in the
    list that showed this one. In between the task was placed on another worker.
    """
    host, owner = owner_with(job())
    link = owner.links_by_worker["w1"]
    link.client = worker = LateWorker(host.clock)
    link._ask()
    owner.rooms.get("w2").is_open = False
    (run,) = place(owner)
    owner.rooms.get("w2").is_open = True
    worker.begin_again()
    if has_ended:
        worker.ends = [EndReport(1, *run.name, "done")]
    else:
        worker.runs = [RunReport(*run.name)]
    owner._wakeup = decider = PlacingAtOnce(owner)
    link._clock = host.clock = _NoWait(host.clock.monotonic())
    link._ask()
    assert decider.placed == []
    assert owner.book.step_of(KEY).tasks[0].is_done == has_ended
