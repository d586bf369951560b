"""A report that has arrived is applied before anything is inferred of its worker."""

import threading

import pytest

from papayapick.platform.exceptions import CallFailed, WorkerSilent
from papayapick.pool.takeover.reconciliation import PREDECESSOR_LEASE_SECONDS
from papayapick.pool.workers import links
from papayapick.pool.workers.liveness import LivenessCheck
from papayapick.pool.workers.reports import EndReport, WorkerReport
from tests.pool.linked_workers import NonBlockingClock
from tests.pool.owners import (
    KEY,
    host_with_two_workers,
    job,
    owner_of,
    owner_with,
    place,
    report,
    started_record,
    store_job,
)
from tests.pool.test_liveness import Machines

OTHER_INSTANCE = 421
WAIT_SECONDS = 10.0
READ, ARRIVED = "waits for the lock", "is not read yet"


class LettingClock(NonBlockingClock):
    """Advance the time instead of waiting, and let threads that were held up go on."""

    def __init__(self, now, gate):
        super().__init__(now)
        self._gate = gate

    def wait(self, event, seconds):
        self._gate.set()
        event.wait(WAIT_SECONDS)
        return super().wait(event, seconds)


class DelayedThread:
    """Read a report beside the thread that polls; be held up on the way to the books.

    Parameters
    ----------
    owner : PoolOwner
    link : WorkerLink
    stage : str
        Whether the report was read, or its answer has arrived and was not read yet.
    ends : list of EndReport
    """

    is_refused = False

    def __init__(self, owner, link, stage, ends):
        self._owner = owner
        self._link = link
        self._listener = link._listener
        self._stage = stage
        self._ends = ends
        self.gate = threading.Event()
        self._is_held_up = threading.Event()
        link.client = link._listener = self
        self._thread = threading.Thread(target=link.refresh, daemon=True)

    def begin(self):
        """Start the thread and return once it is held up."""
        self._thread.start()
        assert self._is_held_up.wait(WAIT_SECONDS)

    def finish(self):
        """Let the thread go on to its end."""
        self.gate.set()
        self._thread.join(WAIT_SECONDS)
        assert not self._thread.is_alive()

    def renew(self, *args, **options):
        if threading.current_thread() is not self._thread:
            raise CallFailed(address="w", status=OTHER_INSTANCE)
        report = WorkerReport(50.0, self._link.born, [], self._ends)
        self._wait_at(ARRIVED)
        return report

    def note_report(self, *args):
        self._wait_at(READ)
        self._listener.note_report(*args)

    def __getattr__(self, name):
        return getattr(self._listener, name)

    def _wait_at(self, stage):
        if stage == self._stage:
            self._is_held_up.set()
            self.gate.wait(WAIT_SECONDS)


def _use_clock(host, link, clock):
    host.clock = link._clock = clock
    if hasattr(link, "arrivals"):
        link.arrivals._clock = clock


@pytest.fixture(params=[READ, ARRIVED])
def held_up(request):
    """Return owner, link and a thread held up with the end of the worker's last run.

    The worker has not answered the last poll.
    """
    host, owner = owner_with(job())
    owner.rooms.get("w2").is_open = False
    (run,) = place(owner)
    owner.rooms.get("w2").is_open = True
    host.clock.advance(0.1)
    link = report(owner, "w1", runs=[run.name])
    link.born = 1
    end = EndReport(1, KEY, 1, "done")
    thread = DelayedThread(owner, link, request.param, [end])
    _use_clock(host, link, LettingClock(host.clock.monotonic(), thread.gate))
    owner.ownership_status.note_confirmed(host.clock.monotonic())
    link._note_no_answer(WorkerSilent(worker="w1"), host.clock.monotonic())
    host.clock.advance(0.1)
    return owner, link, thread


def _check_machines(owner, link):
    LivenessCheck(owner, Machines("w2", "")).check_once()


def _end_lease(owner, link):
    owner.host.clock.advance(link.lease.lapse_at - owner.now() + 0.01)
    with owner.lock:
        owner.tick(owner.now())


def _find_other_worker(owner, link):
    link.poll_once()


@pytest.mark.parametrize("infer", [_check_machines, _end_lease, _find_other_worker])
def test_end_that_has_arrived_is_applied_before_its_run_counts_as_over(held_up, infer):
    """Guards against a second run of a task whose end waits for the owner's lock."""
    owner, link, thread = held_up
    thread.begin()
    infer(owner, link)
    assert place(owner) == []
    thread.finish()
    infer(owner, link)
    assert place(owner) == []
    assert owner.job_registry.step_of(KEY).tasks[0].is_done


class Dropped(list):
    """Record the fields of each event."""

    def write(self, **fields):
        self.append(fields)


@pytest.mark.parametrize("reason", ["link stopped", "other incarnation"])
def test_report_that_is_dropped_with_ends_is_logged(held_up, monkeypatch, reason):
    """Guards against ends that are thrown away without a trace."""
    _, link, thread = held_up
    events = Dropped()
    monkeypatch.setattr(links, "REPORT_DROPPED", events)
    thread.begin()
    if reason == "link stopped":
        link.stop()
        link._listener._owner.store_sync.drop_link(link)
    else:
        link.begin_incarnation(2)
    thread.finish()
    assert [(one["worker"], one["ends"]) for one in events] == [("w1", 1)]
    assert events[0]["reason"] == reason


@pytest.mark.parametrize("held_up", [READ], indirect=True)
def test_report_that_waits_long_is_applied_before_another_worker_is_found(held_up):
    """Guards against a second run if the owner's lock is held for long."""
    owner, link, thread = held_up
    _use_clock(owner.host, link, NonBlockingClock(owner.now()))
    thread.begin()
    link.poll_once()
    assert place(owner) == []
    thread.finish()
    link.poll_once()
    assert place(owner) == []
    assert owner.job_registry.step_of(KEY).tasks[0].is_done


class NeverAnswering:
    """Call a worker that is gone, which never answers."""

    is_refused = False

    def __init__(self, link):
        self._has_called, self.gate = threading.Event(), threading.Event()
        link.client = self
        self._thread = threading.Thread(target=link.refresh, daemon=True)

    def begin(self):
        self._thread.start()
        assert self._has_called.wait(WAIT_SECONDS)

    def renew(self, *args, **options):
        self._has_called.set()
        self.gate.wait(WAIT_SECONDS)
        raise WorkerSilent(worker="w1")


@pytest.mark.parametrize("infer", [_check_machines, _end_lease])
def test_call_without_an_answer_hardly_delays_what_its_worker_ran(infer):
    """Guards against runs of a crashed worker that wait until calls to it time out."""
    host, owner = owner_with(job())
    owner.rooms.get("w2").is_open = False
    (run,) = place(owner)
    owner.rooms.get("w2").is_open = True
    host.clock.advance(0.1)
    link = report(owner, "w1", runs=[run.name])
    _use_clock(host, link, NonBlockingClock(host.clock.monotonic()))
    link._note_no_answer(WorkerSilent(worker="w1"), owner.now())
    call = NeverAnswering(link)
    call.begin()
    host.clock.advance(0.1)
    began = owner.now()
    infer(owner, link)
    if infer is _end_lease:
        began = owner.now()
        host.clock.advance(0.1)
        with owner.lock:
            owner.tick(owner.now())
    assert [again.worker for again in place(owner)] == ["w2"]
    assert owner.now() - began < 0.15
    call.gate.set()


def test_task_is_held_after_a_takeover_until_what_has_arrived_is_applied():
    """Guards against a second run of a task that was done on a worker cut off so far.

    The leases of earlier owners are over, and the worker's first report, with the end,
    waits for the lock.
    """
    host = host_with_two_workers()
    store_job(host, job(), started_record("w2"))
    owner = owner_of(host, is_journal_exact=True)
    report(owner, "w1")
    link = owner.links_by_worker["w2"]
    thread = DelayedThread(owner, link, READ, [EndReport(1, KEY, 1, "done")])
    host.clock.advance(PREDECESSOR_LEASE_SECONDS + 0.01)
    owner.ownership_status.note_confirmed(owner.now())
    thread.begin()
    with owner.lock:
        owner.tick(owner.now())
    assert place(owner) == []
    thread.finish()
    with owner.lock:
        owner.tick(owner.now())
    assert place(owner) == []
    assert owner.job_registry.step_of(KEY).tasks[0].is_done
    assert owner.reconciliation.is_complete
