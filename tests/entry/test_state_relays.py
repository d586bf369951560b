"""Job states that one host of a zone passes on to the others."""

import itertools
import threading
from concurrent.futures import Future
from types import SimpleNamespace

import pytest

from papayapick.clock import ManualClock
from papayapick.entry.callers.job_states import JobStateCache
from papayapick.entry.cell import state_relays
from papayapick.entry.cell.beat_senders import _RELAY_SECONDS, BeatSender, beat_seconds
from papayapick.entry.cell.beats import BeatBroadcaster
from papayapick.entry.cell.peer_requests import PeerRequestHandler
from papayapick.entry.cell.peers import Peer
from papayapick.entry.cell.state_relays import StateForwarder, relayed_zones
from papayapick.wire.exceptions import PeerTimeout, PeerUnreachable
from papayapick.wire.messages import JobNews, StateBatch, StateBatchAnswer

HOSTS_PER_ZONE = 16
ZONES = {"a": HOSTS_PER_ZONE, "b": HOSTS_PER_ZONE, "c": 3}
STATES = {"job-1": "running"}


class Client:
    """Record what is sent to one host; raise an error if there is one."""

    is_connected = True

    def __init__(self):
        self.sent = []
        self.error = None
        self.missed = []
        self.is_silent = False
        self.closed = 0

    def ask(self, message, seconds):
        self.sent.append(message)
        if self.error is not None:
            raise self.error
        if isinstance(message, StateBatch):
            return StateBatchAnswer(missed=self.missed)
        return SimpleNamespace(store_age_milliseconds=0, epoch=0, clock_milliseconds=1)

    def call(self, message):
        future = Future()
        if not self.is_silent:
            try:
                future.set_result(self.ask(message, None))
            except PeerUnreachable as error:
                future.set_exception(error)
        return future

    def close(self):
        self.closed += 1

    def batches(self):
        return [one for one in self.sent if isinstance(one, StateBatch)]

    def states(self):
        return [one.identifier for batch in self.sent for one in batch.news or ()]


class InlineExecutor:
    """Run submitted calls at once; keep loops for the test."""

    def __init__(self):
        self.loops = []

    def submit(self, step, *args):
        if not args and step.__name__ == "run":
            self.loops.append(step)
            return None
        future = Future()
        try:
            future.set_result(step(*args))
        except PeerUnreachable as error:
            future.set_exception(error)
        return future


class Owner(SimpleNamespace):
    """Stand in for the owner of a pool; may be a key."""

    __hash__ = object.__hash__


class Cell:
    """The owner of a pool in zone a, and hosts in the zones a, b and c.

    Parameters
    ----------
    zones : dict of str to int
        Hosts of each zone.
    """

    def __init__(self, zones=ZONES):
        self.clock = ManualClock(100.0)
        self.list = [
            Peer(f"{zone}{number:02}", ("h", 1), zone, "r", Client(), 1.0 + number % 2)
            for zone, count in zones.items()
            for number in range(count)
        ]
        for peer in self.list:
            peer.answered_at = self.clock.monotonic()
        self.job_states = JobStateCache(self.clock)
        self.executor = InlineExecutor()
        self.settings = SimpleNamespace(host_name="a99", zone="a", region="r")
        self.advice = SimpleNamespace(note_peer_answer=lambda: None)
        self.owner = Owner(
            pool="pool",
            row=SimpleNamespace(epoch=3),
            is_stopped=False,
            has_read_state=False,
            lock=threading.RLock(),
            status_feed=SimpleNamespace(
                all_states=dict,
                take_changes=dict,
                teams=lambda identifiers: dict.fromkeys(identifiers, ""),
                backlogs=dict,
                forecast=None,
                known_at=None,
            ),
            may_lack_records=lambda: False,
            ownership_status=SimpleNamespace(gives_way=lambda: False),
            recording=SimpleNamespace(note_heartbeat_answer=lambda *args: None),
            note_peer_answer=lambda *args: None,
        )
        candidacy = SimpleNamespace(is_owner=True, owner=self.owner)
        self.broadcaster = BeatBroadcaster(self, {"pool": candidacy})
        self.broadcaster.start_missing_senders()

    # What a host's peers offer.

    @property
    def peers(self):
        return self

    @property
    def count(self):
        return len(self.list)

    def all(self):
        return self.list

    def live(self):
        return [one for one in self.list if one.answered_at > 0]

    def get(self, name):
        return next((one for one in self.list if one.name == name), None)

    # What the tests do.

    def change(self, states):
        self.owner.status_feed.take_changes = lambda: states
        self.broadcaster.broadcast(self.owner)

    def relay(self):
        """Let the tasks that send to a zone run once."""
        for sender in self.broadcaster._zone_senders.values():
            sender.send()

    def beat(self):
        """Let each heartbeat that is due at once, or later, be sent."""
        for sender in self.broadcaster._senders.values():
            sender._beat()

    def batches(self):
        return [batch for peer in self.list for batch in peer.client.batches()]

    def relay_of(self, zone):
        (found,) = [
            one for one in self.list if one.zone == zone and one.client.batches()
        ]
        return found


@pytest.fixture
def cell():
    return Cell()


def test_owner_tells_one_host_of_each_large_zone(cell):
    """Guards against calls of the owner that grow with hosts times changes."""
    for number in range(10):
        cell.change({f"job-{number}": "running"})
        cell.relay()
    assert len(cell.batches()) == 2 * 10
    (first, *_) = cell.batches()
    assert len(first.hosts) == HOSTS_PER_ZONE - 1


def test_small_zone_is_told_directly(cell):
    cell.change(STATES)
    woken = {
        sender.peer.zone
        for sender in cell.broadcaster._senders.values()
        if sender._wakeup.is_set()
    }
    assert woken == {"c"}
    assert relayed_zones(cell.list) == {"a", "b"}


def test_states_that_a_relay_delivered_are_not_sent_again(cell):
    """Guards against a relay that saves no bytes on the link between regions."""
    cell.change(STATES)
    cell.relay()
    cell.clock.advance(2 * _RELAY_SECONDS)
    cell.beat()
    told = [one for one in cell.list if "job-1" in one.client.states()]
    assert {one.zone for one in told if not one.client.batches()} == {"c"}


@pytest.mark.parametrize(
    "error",
    [
        PeerUnreachable(address=("h", 1)),
        PeerTimeout(address=("h", 1), seconds=0.4),
    ],
    ids=["killed", "frozen or cut off"],
)
def test_hosts_of_a_relay_that_failed_are_told_directly(cell, error):
    """Guards against callers who see no progress since a relay has ended."""
    for peer in cell.list:
        peer.client.error = error if peer.zone == "b" else None
    cell.change(STATES)
    cell.relay()
    failed = cell.relay_of("b")
    senders = cell.broadcaster._senders.values()
    assert all(one._wakeup.is_set() for one in senders if one.peer.zone == "b")
    for peer in cell.list:
        peer.client.error = None
    cell.beat()
    others = [one for one in cell.list if one.zone == "b" and one is not failed]
    assert all("job-1" in one.client.states() for one in others)
    cell.change({"job-2": "running"})
    cell.relay()
    assert failed.client.batches()[-1].news[0].identifier == "job-1"


def test_host_that_its_relay_did_not_reach_is_told_directly(cell):
    cell.change(STATES)
    for peer in cell.list:
        peer.client.missed = ["b03"]
    cell.relay()
    cell.beat()
    assert "job-1" in cell.get("b03").client.states()
    assert "job-1" not in cell.get("b04").client.states()


def test_host_that_does_not_answer_is_told_once_it_does(cell):
    """Guards against a host that is back after a cut and never learns of the changes.

    A relay passes states on to live hosts only.
    """
    cell.get("b03").answered_at = 0.0
    cell.change(STATES)
    cell.relay()
    cell.clock.advance(2 * _RELAY_SECONDS)
    cell.beat()
    assert "job-1" in cell.get("b03").client.states()


def test_states_wait_for_a_heartbeat_while_no_host_is_live(cell):
    """Guards against states that are lost just after a takeover."""
    for peer in cell.list:
        peer.answered_at = 0.0
    cell.change(STATES)
    cell.relay()
    assert cell.batches() == []
    for peer in cell.list:
        peer.answered_at = cell.clock.monotonic()
    cell.relay()
    assert len(cell.batches()) == 2


def test_forwarder_names_the_hosts_that_it_did_not_reach(cell, monkeypatch):
    """Guards against an owner that takes a silent host for informed."""
    monkeypatch.setattr(state_relays, "_FORWARD_TIMEOUT_SECONDS", 0.01)
    cell.get("b01").client.is_silent = True
    cell.get("b02").client.error = PeerUnreachable(address=("h", 1))
    news = [JobNews(identifier="job-1", status="running")]
    hosts = ["b00", "b01", "b02", "gone"]
    batch = StateBatch(pool="pool", epoch=3, news=news, hosts=hosts)
    answer = StateForwarder(cell).forward(batch).result()
    assert set(answer.missed) == {"b01", "b02", "gone"}
    (passed_on,) = cell.get("b00").client.batches()
    assert not passed_on.hosts
    assert cell.get("b01").client.closed == 1


@pytest.mark.parametrize(("epoch", "expected"), [(3, "running"), (2, None)])
def test_batch_of_a_replaced_owner_is_dropped(cell, epoch, expected):
    """Guards against an old state that replaces a newer one after a takeover."""
    candidacy = SimpleNamespace(known_epoch=3)
    handler = PeerRequestHandler(cell, {"pool": candidacy}, None)
    news = [JobNews(identifier="job-1", status="running")]
    batch = StateBatch(pool="pool", epoch=epoch, news=news, hosts=[])
    handler.answer(batch, None, "")
    assert cell.job_states.state("job-1") == expected


def test_state_that_was_overtaken_does_not_replace_a_newer_one(cell):
    """Guards against a job that a caller sees running, and then waiting again."""
    for status in ("waiting", "running", "waiting"):
        cell.job_states.note_statuses({"job-1": status}, {})
    assert cell.job_states.state("job-1") == "running"


def test_new_sender_in_a_large_zone_sends_all_states_if_no_relay_does(cell):
    """Guards against a host that registers late and never learns of earlier jobs."""
    cell.owner.status_feed.all_states = lambda: dict(STATES)
    late = Peer("b77", ("h", 1), "b", "r", Client())
    sender = BeatSender(cell, cell.owner, late)
    sender._beat()
    assert late.client.states() == ["job-1"]


def first_second(zones, jobs):
    """Take a pool over, read its state after 0.1 s; return the cell after a second.

    Heartbeats are sent when they are due, and zones are looked at each 0.2 s.
    """
    cell = Cell(zones)
    for peer in cell.list:
        peer.answered_at = 0.0
    began_at, step = cell.clock.monotonic(), 0.01
    senders = list(cell.broadcaster._senders.values())
    due = {one: began_at + one._first_delay for one in senders}
    for number in range(100):
        now = cell.clock.monotonic()
        if number == 10:
            cell.owner.has_read_state = True
            cell.change({f"job-{index}": "running" for index in range(jobs)})
        if number % 20 == 0:
            cell.relay()
        for sender in senders:
            if due[sender] <= now or sender._wakeup.is_set():
                sender._wakeup.clear()
                sender._beat()
                due[sender] = now + beat_seconds(len(senders))
        cell.clock.advance(step)
    return cell


def test_new_owner_of_hundreds_of_hosts_sends_all_states_once_a_zone():
    """Guards against a new owner that is replaced, as its heartbeats come too late.

    The first ones went to all hosts before any relay had answered, so each of them
    carried the states of all jobs.
    """
    cell = first_second(dict.fromkeys("abcdef", 50), 400)
    beats = [
        len(message.news)
        for peer in cell.list
        for message in peer.client.sent
        if not isinstance(message, StateBatch)
    ]
    assert len(beats) >= 300
    assert sum(beats) == 0
    batches = cell.batches()
    assert len(batches) == 6
    assert {len(batch.hosts) for batch in batches} == {49}


def test_first_heartbeats_to_hundreds_of_hosts_are_spread_near_ones_first():
    """Guards against hundreds of connections that are opened at the same moment."""
    cell = Cell(dict.fromkeys("bcaefg", 50))
    senders = cell.broadcaster._senders.values()
    delays = sorted((one._first_delay, one.peer.zone) for one in senders)
    assert {zone for _, zone in delays[:50]} == {"a"}
    steps = [later - one for (one, _), (later, _) in itertools.pairwise(delays)]
    assert delays[0][0] == 0.0
    assert delays[-1][0] < beat_seconds(300)
    assert min(steps) == pytest.approx(max(steps))


def test_first_heartbeats_to_few_hosts_are_sent_together(cell):
    delays = {one._first_delay for one in cell.broadcaster._senders.values()}
    assert delays == {beat_seconds(1)}
