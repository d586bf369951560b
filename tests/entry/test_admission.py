"""Refusals by an owner's forecast: on the wire, on the hosts, and when owners fail."""

import re
from concurrent.futures import Future
from pathlib import Path
from types import SimpleNamespace

import capnp
import pytest

from papayapick.clients.exceptions import TableUnavailable
from papayapick.clients.rows import StoredRow
from papayapick.clock import ManualClock
from papayapick.entry.callers import admission
from papayapick.entry.callers.acceptance import Acceptance
from papayapick.entry.callers.application import Application
from papayapick.entry.callers.job_states import JobStateCache
from papayapick.entry.cell.beat_senders import BeatSender
from papayapick.entry.cell.forecast_messages import decode_forecast, encode_forecast
from papayapick.entry.cell.peer_requests import PeerRequestHandler
from papayapick.entry.exceptions import AcceptanceUnknown, BeyondRate, TooLate
from papayapick.jobs import Queue
from papayapick.overload.forecast import PoolForecast, QueueForecast
from papayapick.pool.metrics import PROMISES_MISSED
from papayapick.quotas import Team, TeamDirectory
from papayapick.wire import codec, decode, encode, messages
from papayapick.wire.messages import PoolBeat
from tests.overload.loads import RUSH, document_of
from tests.pool.owners import host_with_two_workers, owner_of, report

FULL_SECONDS = 60.0
SMALL = [(1, 1.0, 1.0)]
JOB = document_of(1, RUSH, SMALL)


class FakeStore:
    """Hold the row of one job, and store what is submitted."""

    def __init__(self, stored=(), is_away=False):
        self._stored = stored
        self._is_away = is_away
        self.written = []

    def read(self, table, partition, first, end, limit):
        if self._is_away:
            raise TableUnavailable()
        return [StoredRow("jobs", "pool", key, {}, 1) for key in self._stored]

    def submit(self, expectation, write):
        self.written.append(write.key)
        done = Future()
        done.set_result(True)
        return done


def forecast_of(seconds, counted_at, teams=None, surplus=None):
    surplus = seconds if surplus is None else surplus
    one = QueueForecast(seconds, seconds, 0.0, seconds, surplus, surplus, surplus)
    return PoolForecast({"rush": one}, teams or {}, 100.0, counted_at, counted_at)


class CallerHost:
    """A host that serves callers, under settings that expect overload."""

    def __init__(self, store=None, expects_overload=True):
        self.clock = ManualClock(100.0)
        self.settings = SimpleNamespace(
            expects_overload=expects_overload,
            readiness_address=("127.0.0.1", 1),
            metrics_port=0,
        )
        self.job_states = JobStateCache(self.clock)
        self.relayed_store = self.writer = store or FakeStore()
        self.queue_pools = None
        self.acceptance = Acceptance.from_host(self)
        self.store_health = SimpleNamespace(
            logged_age=lambda: None, reported_age=lambda: 0.0
        )

    @property
    def now(self):
        return self.clock.monotonic()

    def receive(self, seconds, epoch=3, **fields):
        forecast = forecast_of(seconds, self.now, **fields)
        self.job_states.note_forecast("pool", epoch, forecast)


def test_job_of_no_use_is_refused_before_it_is_stored():
    host = CallerHost()
    host.receive(FULL_SECONDS)
    with pytest.raises(TooLate) as raised:
        host.acceptance.submit(JOB)
    assert raised.value.status == "429 Too Many Requests"
    assert raised.value.retry_after is None
    assert host.writer.written == []


def test_job_beyond_the_rate_of_its_team_is_told_when_to_come_again():
    host = CallerHost()
    host.receive(0.0, surplus=FULL_SECONDS, teams={"hot": 1.5})
    with pytest.raises(BeyondRate) as raised:
        host.acceptance.submit(document_of(1, RUSH, SMALL, "hot"))
    assert raised.value.retry_after in (2, 3, 4, 5)
    assert host.acceptance.submit(document_of(2, RUSH, SMALL, "quiet"))


def test_job_that_is_stored_already_is_not_refused():
    """Guards against refusing a job that runs.

    The caller's first attempt was stored but had no answer, and the pool is full at
    the second one.
    """
    host = CallerHost(FakeStore(stored=[JOB.identifier]))
    host.receive(FULL_SECONDS)
    assert host.acceptance.submit(JOB)


def test_job_is_not_refused_while_the_store_cannot_be_read():
    """Guards against refusing a job that may be stored, and then runs.

    To a caller, status 503 says that its job never runs.
    """
    host = CallerHost(FakeStore(is_away=True))
    host.receive(FULL_SECONDS)
    with pytest.raises(AcceptanceUnknown) as raised:
        host.acceptance.submit(JOB)
    assert raised.value.status.startswith("504")


def test_job_whose_state_is_known_is_not_refused():
    host = CallerHost()
    host.receive(FULL_SECONDS)
    host.job_states.note_accepted(JOB.identifier)
    assert host.acceptance.submit(JOB) is False


def test_host_accepts_once_the_owner_has_been_silent():
    """Guards against refusing for ever after the owner died while its pool was full."""
    host = CallerHost()
    host.receive(FULL_SECONDS)
    host.clock.advance(0.9)
    with pytest.raises(TooLate):
        host.acceptance.submit(JOB)
    host.clock.advance(0.2)
    assert host.acceptance.submit(JOB)


def test_host_without_beats_accepts():
    """Guards against a host that is cut off from the owner and refuses all jobs."""
    assert CallerHost().acceptance.submit(JOB)


def test_deployment_that_expects_no_overload_refuses_nobody():
    host = CallerHost(expects_overload=False)
    host.receive(FULL_SECONDS)
    assert host.acceptance.submit(JOB)


def test_newer_owner_ends_the_forecast_of_the_one_before():
    """Guards against refusing by the word of a replaced owner, whose beats come late.

    The new owner has not counted yet, so there is no forecast at all.
    """
    host = CallerHost()
    host.receive(FULL_SECONDS, epoch=3)
    host.job_states.note_forecast("pool", 4, None)
    assert host.acceptance.submit(JOB)
    host.receive(FULL_SECONDS, epoch=3)
    assert host.acceptance.submit(document_of(2, RUSH, SMALL))
    host.receive(FULL_SECONDS, epoch=4)
    with pytest.raises(TooLate):
        host.acceptance.submit(document_of(3, RUSH, SMALL))


def test_earlier_forecast_of_the_same_owner_does_not_replace_a_later_one():
    host = CallerHost()
    host.receive(0.0)
    late = forecast_of(FULL_SECONDS, host.now - 0.5)
    host.job_states.note_forecast("pool", 3, late)
    assert host.acceptance.submit(JOB)


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


def test_forecast_survives_the_wire():
    one = QueueForecast(-1.5, 2.25, 7.5, float("inf"), 0.0, 0.5, float("inf"))
    sent = PoolForecast({"q": one}, {"t": 2.5, "n": float("inf")}, 3150.5, 9.5, 9.25)
    beat = PoolBeat(pool="p", **encode_forecast(sent, lambda at: int(at * 1000)))
    _, beat, _ = decode(encode(1, beat))
    found = decode_forecast(beat, 10.0)
    assert (found.counted_at, found.known_at, found.processors) == (9.5, 9.25, 3150.5)
    assert found.owed_again == sent.owed_again
    for name in QueueForecast.__slots__:
        assert getattr(found.queues["q"], name) == getattr(one, name), name


def test_absurd_numbers_can_be_sent():
    """Guards against an owner without heartbeats, as it can't encode its forecast."""
    one = QueueForecast(*[-1e300, 1e300, float("-inf"), float("inf"), 0.0, -0.0, 1e30])
    sent = PoolForecast({"q": one}, {"t": 1e300}, 1e300, 9.5, 9.25)
    fields = encode_forecast(sent, lambda at: int(at * 1000))
    _, beat, _ = decode(encode(1, PoolBeat(pool="p", **fields)))
    found = decode_forecast(beat, 10.0)
    assert found.processors > 4_000_000
    assert found.queues["q"].patient_earliest == float("inf")


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


def test_beat_of_a_process_before_the_forecast_is_understood():
    beat = PoolBeat(pool="p", epoch=3, host="h", has_read_state=True)
    _, received, _ = decode(encode(1, beat))
    assert decode_forecast(received, 10.0) is None


def test_process_before_the_forecast_understands_its_beat(tmp_path):
    """Guards against old hosts that take a pool because they can't read its beats."""
    text = Path(messages.__file__).with_name("messages.capnp").read_text()
    added = r"  (queueOutlooks|teamsBeyondRate|outlook\w+|countedAt\w+) @\d+ :.*;\n"
    text = re.sub(added, "", text)
    text = re.sub(r"struct (QueueOutlook|TeamBeyondRate) \{[^}]*\}\n", "", text)
    assert "utlook" not in text
    # Types of the same identity can't be loaded twice.
    text = re.sub(r"^@0x\w+;", "@0xc2f4d9a1b7e35087;", text)
    old = tmp_path / "old.capnp"
    old.write_text(text)
    fields = encode_forecast(forecast_of(2.0, 9.0, {"t": 1.0}), lambda at: 9000)
    data = encode(7, PoolBeat(pool="p", epoch=3, known_at_milliseconds=8, **fields))
    beat = capnp.load(str(old)).Message.from_bytes_packed(data).poolBeat
    assert (beat.pool, beat.epoch, beat.knownAtMilliseconds) == ("p", 3, 8)
    assert codec.decode(data)[1].outlook_millicores == 100_000


def test_refusal_without_a_time_has_no_header(host, monkeypatch):
    """Guards against callers that come again for a job that is of no use any more."""
    lines = []
    event = SimpleNamespace(write=lambda **fields: lines.append(fields))
    monkeypatch.setattr(admission, "JOB_REFUSED", event)
    queue = Queue("rush", "h", "/q/", "pool", 0, 2, 1.5, 0.5, 3.0, False, None)
    host.configuration = SimpleNamespace(
        version=1,
        wait_for_first=lambda seconds: SimpleNamespace(
            find=lambda name, path: queue,
            teams=TeamDirectory(),
            body_limit_bytes=9999,
        ),
    )
    host.receive(FULL_SECONDS)
    answers = []
    environ = {
        "SERVER_PORT": "2",
        "REQUEST_METHOD": "POST",
        "HTTP_HOST": "h",
        "PATH_INFO": "/q/5c0e7a21d94b36f8",
        **_body(
            b'{"spec": "t", "phases": [{"task_count": 1, "cpu": 1000, '
            b'"mem_mb": 10, "estimate_ms": 1000}]}'
        ),
    }
    Application(host)(environ, lambda *answer: answers.append(answer))
    ((status, headers),) = answers
    assert status == "429 Too Many Requests"
    assert "Retry-After" not in dict(headers)
    (line,) = lines
    assert line["reason"] == "too-late"
    assert (line["earliest_seconds"], line["forecast_age_seconds"]) == (60.0, 0.0)
    assert (line["useful_seconds"], line["path_seconds"]) == (6.0, 1.0)


def _body(data):
    stream = SimpleNamespace(read=lambda: data)
    return {"CONTENT_LENGTH": str(len(data)), "wsgi.input": stream}
