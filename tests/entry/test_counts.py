"""Counts of waiting jobs that are reported to callers."""

import json
from types import SimpleNamespace

import pytest

from papayapick.clock import ManualClock
from papayapick.entry.callers.application import Application
from papayapick.entry.callers.job_states import JobStateCache
from papayapick.entry.cell.beat_senders import BeatSender
from papayapick.entry.cell.beats import BeatBroadcaster
from papayapick.entry.cell.peer_requests import PeerRequestHandler
from papayapick.jobs import AdvicePolicy, Queue
from papayapick.placement.order.backlog import QueueBacklog
from papayapick.quotas import TeamDirectory
from papayapick.wire.exceptions import PeerTimeout
from tests.pool.owners import job, owner_with

QUEUE = Queue(
    "q", "h", "/q/", "pool", 0, 2, 1.5, 0.5, 3.0, False, AdvicePolicy(0.02, 0, 2.5)
)


# Callers are guaranteed that a reported count is no older than this.
PROMISED_SECONDS = 2.0


class FakeEntryHost:
    """Stand in for an entry host that serves one queue."""

    def __init__(self, clock):
        self.clock = clock
        self.job_states = JobStateCache(clock)
        self.watched_pools = SimpleNamespace(former_pools=lambda queue: [])
        self.settings = SimpleNamespace(
            readiness_address=("127.0.0.1", 1), metrics_port=0
        )
        self.configuration = SimpleNamespace(
            version=1,
            wait_for_first=lambda seconds: SimpleNamespace(
                find=lambda name, path: QUEUE, teams=TeamDirectory()
            ),
        )
        self.store_health = SimpleNamespace(
            logged_age=lambda: None, reported_age=lambda: 0.0
        )


@pytest.fixture
def clock():
    return ManualClock(100.0)


@pytest.fixture
def host(clock):
    return FakeEntryHost(clock)


class OwnerWithPeer:
    """Own a pool in which one job waits, and send heartbeats to another host.

    Parameters
    ----------
    receiver : FakeEntryHost
        Its clock differs from the owner's.
    """

    def __init__(self, receiver):
        self.host, self.owner = owner_with(job())
        self.host.settings.host_name = "h1"
        self.host.advice = SimpleNamespace(note_peer_answer=lambda: None)
        self.host.job_states = JobStateCache(self.host.clock)
        self.owner.has_read_state = True
        self.receiver = receiver
        self.is_cut_off = False
        self.beats = []
        candidacy = SimpleNamespace(
            note_beat=lambda beat: True, known_epoch=0, has_read_row=True
        )
        self.handler = PeerRequestHandler(receiver, {"pool": candidacy}, None)
        self.name, self.client = "h2", self
        self.broadcaster = BeatBroadcaster(self.host, {})
        self.sender = BeatSender(self.host, self.owner, self)

    def ask(self, beat, seconds):
        """Deliver a heartbeat to the other host, or fail if it is cut off."""
        self.beats.append(beat)
        if self.is_cut_off:
            raise PeerTimeout(address=("10.0.0.2", 7720), seconds=seconds)
        return self.handler.answer(beat, None, "")

    def close(self):
        pass

    def advance(self, seconds):
        self.host.clock.advance(seconds)
        self.receiver.clock.advance(seconds)

    def confirm_all_read(self):
        """Mark all jobs as read and the ownership as confirmed, as of now."""
        now = self.host.clock.monotonic()
        self.owner.store_sync._note_complete(now)
        self.owner.ownership_status.note_confirmed(now)

    def beat(self):
        self.sender._beat()


@pytest.fixture
def owning(host):
    return OwnerWithPeer(host)


def count(host):
    """Request the count of the queue; return status, headers and body."""
    answers = []
    environ = {
        "SERVER_PORT": "2",
        "REQUEST_METHOD": "GET",
        "HTTP_HOST": "h",
        "PATH_INFO": "/q/",
    }
    (body,) = Application(host)(
        environ, lambda status, headers: answers.append((status, dict(headers)))
    )
    ((status, headers),) = answers
    return status, headers, json.loads(body)


def test_host_without_a_report_for_a_pool_refuses_the_count(host):
    """Guards against a host that has just started and reports 0 while 58 jobs wait."""
    status, headers, body = count(host)
    assert "queued_jobs" not in body
    assert status == "503 Service Unavailable"
    assert headers["Retry-After"] == "1"


def test_second_beat_carries_the_count(host, owning):
    """Guards against counts that are missing until several heartbeats have been sent.

    The owner knows the host's clock after the first answer, and sends the next
    heartbeat at once.
    """
    owning.beat()
    assert owning.sender._wakeup.is_set()
    owning.beat()
    status, _, body = count(host)
    assert (status, body) == ("200 OK", {"queued_jobs": 1})


def test_queue_that_a_recent_report_leaves_out_has_no_waiting_jobs(host):
    host.job_states.note_backlogs("pool", 3, {}, known_at=host.clock.monotonic())
    status, _, body = count(host)
    assert (status, body) == ("200 OK", {"queued_jobs": 0})


def test_count_of_an_owner_that_is_gone_expires(host, owning):
    """Guards against reporting the last count of an owner that lost power.

    The count is reported up to its guaranteed maximum age and no longer.
    """
    owning.beat()
    owning.beat()
    host.clock.advance(PROMISED_SECONDS - 0.1)
    assert count(host)[2] == {"queued_jobs": 1}
    host.clock.advance(0.2)
    assert count(host)[0] == "503 Service Unavailable"


def test_count_of_an_owner_that_does_not_receive_new_jobs_expires(host, owning):
    """Guards against counts that are too low.

    The owner still sends heartbeats, but accepted jobs do not reach it.
    """
    owning.beat()
    for _ in range(11):
        owning.advance(0.2)
        owning.owner.ownership_status.note_confirmed(owning.host.clock.monotonic())
        owning.beat()
    assert count(host)[0] == "503 Service Unavailable"
    owning.confirm_all_read()
    owning.advance(0.1)
    owning.beat()
    assert count(host)[2] == {"queued_jobs": 1}


def test_late_message_of_a_replaced_owner_does_not_restore_its_count(host):
    """Guards against the count of a replaced owner whose message arrives late."""
    now = host.clock.monotonic()
    host.job_states.note_backlogs("pool", 4, {"q": QueueBacklog(58)}, known_at=now)
    host.job_states.note_backlogs("pool", 3, {"q": QueueBacklog(2, 9)}, known_at=now)
    assert count(host)[2] == {"queued_jobs": 58}
    assert host.job_states.retry_after("pool", "q") == 0


def test_count_in_a_delayed_message_is_not_reported_as_recent(host, owning):
    """Guards against heartbeats that arrive seconds late after a network partition."""
    owning.beat()
    owning.beat()
    late = owning.beats[-1]
    owning.advance(PROMISED_SECONDS + 0.5)
    owning.handler.answer(late, None, "")
    assert count(host)[0] == "503 Service Unavailable"


def test_earlier_message_of_the_same_owner_does_not_replace_a_later_one(host):
    """Guards against an older count if heartbeats on two connections are reordered."""
    now = host.clock.monotonic()
    host.job_states.note_backlogs("pool", 3, {"q": QueueBacklog(58)}, known_at=now)
    host.job_states.note_backlogs("pool", 3, {}, known_at=now - 0.5)
    assert count(host)[2] == {"queued_jobs": 58}


def test_clock_of_a_host_is_measured_again_after_it_was_not_reached(host, owning):
    """Guards against old counts that look recent on a replacement machine's clock."""
    owning.beat()
    owning.is_cut_off = True
    owning.beat()
    owning.is_cut_off = False
    owning.beat()
    assert owning.beats[-1].known_at_milliseconds == 0


def test_count_as_of_a_future_time_is_not_reported(host, owning):
    """Guards against an owner that has measured the clock of a replaced machine."""
    owning.beat()
    owning.sender._peer_clock_lead += 60.0
    owning.beat()
    assert count(host)[0] == "503 Service Unavailable"


def test_refusal_expires_after_its_retry_time(host):
    """Guards against a queue that stays closed after its owner has ended."""
    host.job_states.note_backlogs("pool", 3, {"q": QueueBacklog(500, 9)})
    assert host.job_states.retry_after("pool", "q") == 9
    host.clock.advance(8.5)
    assert host.job_states.retry_after("pool", "q") == 1
    host.clock.advance(0.5)
    assert host.job_states.retry_after("pool", "q") == 0


def test_owner_of_a_pool_without_changes_updates_the_count_on_its_own_host(owning):
    """Guards against a count that expires on the owner's host after two seconds."""
    for _ in range(30):
        owning.host.clock.advance(0.1)
        owning.confirm_all_read()
        owning.broadcaster.broadcast(owning.owner)
    assert owning.host.job_states.waiting(QUEUE) == 1


@pytest.mark.parametrize("is_local", [True, False])
def test_owner_that_has_not_read_its_state_reports_no_count(host, owning, is_local):
    """Guards against a count of 0 by a new owner that has not read its jobs."""
    owning.owner.has_read_state = False
    owning.broadcaster.broadcast(owning.owner)
    owning.beat()
    owning.beat()
    host.job_states = owning.host.job_states if is_local else host.job_states
    assert count(host)[0] == "503 Service Unavailable"


@pytest.mark.parametrize("is_local", [True, False])
def test_owner_that_has_not_read_its_state_opens_no_closed_queue(
    host, owning, is_local
):
    """Guards against a takeover that opens a full queue until the jobs are counted."""
    job_states = owning.host.job_states if is_local else host.job_states
    job_states.note_backlogs("pool", 2, {"q": QueueBacklog(500, 9)})
    owning.owner.has_read_state = False
    owning.broadcaster.broadcast(owning.owner)
    owning.beat()
    assert job_states.retry_after("pool", "q") == 9
    owning.owner.has_read_state = True
    owning.broadcaster.broadcast(owning.owner)
    owning.beat()
    assert job_states.retry_after("pool", "q") == 0


def test_metrics_leave_out_counts_that_are_too_old(host):
    """Guards against graphs that show the backlog of an owner that is gone."""
    job_states, now = host.job_states, host.clock.monotonic()
    job_states.note_backlogs("pool", 3, {"q": QueueBacklog(58)}, known_at=now)
    assert job_states.all_waiting() == {"q": 58}
    host.clock.advance(PROMISED_SECONDS + 0.1)
    assert job_states.all_waiting() == {}


@pytest.mark.parametrize(("age", "shown"), [(None, "None"), (3.25, "3.25")])
def test_refused_count_names_pool_and_age(host, age, shown):
    """Guards against logs in which an ended owner looks like a missing one."""
    if age is not None:
        then = host.clock.monotonic() - age
        host.job_states.note_backlogs("pool", 3, {}, known_at=then)
    _, _, body = count(host)
    assert body == {
        "error": "entry.count-unknown",
        "detail": f"no fresh count of pool pool; seconds old: {shown}",
    }
