"""Forecasts that an owner's heartbeats bring to other hosts."""

from types import SimpleNamespace

import pytest

from papayapick.entry.cell.beat_senders import BeatSender
from papayapick.entry.cell.peer_requests import PeerRequestHandler
from papayapick.entry.exceptions import BeyondRate, TooLate
from papayapick.pool.metrics import PROMISES_MISSED
from papayapick.quotas import Team
from papayapick.wire import decode, encode
from tests.entry.caller_hosts import JOB, SMALL, CallerHost
from tests.overload.loads import RUSH, document_of
from tests.pool.owners import host_with_two_workers, owner_of, report


class PressedOwner:
    """Own a pool of eight cores under load, and send heartbeats to another host."""

    def __init__(self, receiver):
        self.host = host_with_two_workers()
        self.host.settings.expects_overload = True
        self.host.settings.host_name = "h1"
        self.host.advice = SimpleNamespace(note_peer_answer=lambda: None)
        queues = {"rush": RUSH}
        self.host.queue_of = lambda document: RUSH
        self.host.configuration.current = SimpleNamespace(
            version=1,
            queues=queues,
            teams=[Team("hot", jobs_per_second=0.5)],
            tightest_stretch=lambda pool: RUSH.stretch,
        )
        self.owner = owner_of(self.host)
        for worker in ("w1", "w2"):
            report(self.owner, worker)
        self.owner.has_read_state = True
        self.receiver = receiver
        candidacy = SimpleNamespace(
            note_beat=lambda beat: True, known_epoch=0, has_read_row=True
        )
        self.handler = PeerRequestHandler(receiver, {"pool": candidacy}, None)
        self.name, self.client = "h2", self
        self.beats = []
        self.sender = BeatSender(self.host, self.owner, self)

    def ask(self, beat, seconds):
        _, beat, _ = decode(encode(1, beat))
        self.beats.append(beat)
        return self.handler.answer(beat, None, "")

    def close(self):
        pass

    def add(self, jobs, team="", steps=SMALL):
        known = len(self.owner.job_registry.jobs())
        for number in range(known, known + jobs):
            document = document_of(100 + number, RUSH, steps, team)
            job = self.owner.job_registry.add(document, RUSH, self.owner.now())
            job.is_owed = self.owner.entitlements.is_owed(team, 50.0)

    def beat(self):
        now = self.owner.now()
        self.owner.store_sync._note_complete(now)
        self.owner.ownership_status.note_confirmed(now)
        self.sender._beat()

    def advance(self, seconds):
        self.host.clock.advance(seconds)
        self.receiver.clock.advance(seconds)


@pytest.fixture
def host():
    return CallerHost()


@pytest.fixture
def owning(host):
    return PressedOwner(host)


def test_forecast_of_the_owner_reaches_another_host(host, owning):
    owning.beat()
    owning.add(60)
    owning.advance(0.2)
    owning.beat()
    # 60 tasks of a second on eight cores.
    assert host.job_states.forecast("pool").queues["rush"].patient_earliest == (
        pytest.approx(60 / 8 - 1, abs=0.01)
    )
    with pytest.raises(TooLate):
        host.acceptance.submit(JOB)


def test_team_beyond_its_rate_reaches_another_host(host, owning):
    owning.beat()
    owning.add(60, "hot")
    owning.advance(0.2)
    owning.beat()
    assert host.job_states.forecast("pool").owed_again == {
        "hot": pytest.approx(1.0, abs=0.01)
    }
    with pytest.raises(BeyondRate) as raised:
        host.acceptance.submit(document_of(1, RUSH, SMALL, "hot"))
    assert 1 <= raised.value.retry_after <= 5
    assert host.acceptance.submit(document_of(2, RUSH, SMALL, "quiet"))


def test_forecast_in_a_delayed_message_is_not_taken_as_recent(host, owning):
    """Guards against heartbeats that arrive seconds late after a network partition."""
    owning.beat()
    owning.add(60)
    owning.advance(0.2)
    owning.beat()
    late = owning.beats[-1]
    host.job_states.note_forecast("pool", 9, None)
    owning.advance(1.5)
    late.epoch = 9
    owning.handler.answer(late, None, "")
    assert host.job_states.forecast("pool") is not None
    assert host.acceptance.submit(JOB)


def test_forecast_for_the_clock_of_a_replaced_machine_is_not_taken(host, owning):
    owning.beat()
    owning.add(60)
    owning.advance(0.2)
    owning.sender._peer_clock_lead += 60.0
    owning.beat()
    assert host.job_states.forecast("pool") is None


def test_owner_that_does_not_know_all_jobs_gives_no_forecast(host, owning):
    owning.add(60)
    owning.owner.ownership_status.note_confirmed(owning.owner.now())
    owning.owner.store_sync._note_complete(float("-inf"))
    owning.sender._beat()
    owning.sender._beat()
    assert host.job_states.forecast("pool") is None


def test_predicted_waits_of_an_owner_that_is_gone_are_not_shown(host):
    host.receive(2.0)
    assert host.job_states.recent_forecasts()["rush"].earliest == 2.0
    host.clock.advance(1.1)
    assert host.job_states.recent_forecasts() == {}


def test_missed_promise_of_the_owner_is_counted(owning):
    """Guards against a count that no metric shows."""
    before = PROMISES_MISSED._value.get()
    owning.beat()
    owning.add(1)
    for _ in range(10):
        owning.advance(1.0)
        owning.beat()
    assert PROMISES_MISSED._value.get() == before + 1
