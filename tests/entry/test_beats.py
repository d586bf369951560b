"""Sending an owner's heartbeats, in particular to a host that no longer answers."""

import threading
from types import SimpleNamespace

import pytest

from papayapick.clients.exceptions import ConditionFailed
from papayapick.clients.rows import StoredRow
from papayapick.clock import ManualClock
from papayapick.entry.cell.beat_senders import (
    _REMOVE_AFTER_SECONDS,
    BeatSender,
    read_backlogs,
)
from papayapick.entry.cell.beats import BeatBroadcaster
from papayapick.entry.cell.peers import HOSTS_PARTITION, Peers
from papayapick.entry.cell.state_relays import job_news
from papayapick.entry.process import EntryHost
from papayapick.ownership.pools import CELL_TABLE
from papayapick.wire.exceptions import PeerUnreachable


class FakeStore:
    """Hold the version of one row and record which keys are removed."""

    def __init__(self, version):
        self.version = version
        self.removed = []

    def transact(self, expectations, writes):
        if expectations[0].version != self.version:
            raise ConditionFailed([])
        self.removed += [write.key for write in writes if write.value is None]


class FakeClient:
    """Raise PeerUnreachable, or answer once ``is_reachable`` is set."""

    def __init__(self):
        self.is_reachable = False

    def ask(self, payload, seconds):
        if not self.is_reachable:
            raise PeerUnreachable(address=("10.0.0.2", 7720))
        return SimpleNamespace(store_age_milliseconds=0, epoch=0, clock_milliseconds=0)

    def close(self):
        pass


@pytest.fixture
def sender():
    clock = ManualClock()
    host = SimpleNamespace(
        clock=clock,
        store=FakeStore(version=4),
        settings=SimpleNamespace(host_name="h1"),
        advice=SimpleNamespace(
            note_peer_answer=lambda: host.answers.append(clock.monotonic())
        ),
        answers=[],
    )
    host.peers = Peers(host, None, SimpleNamespace(host="h1"), None)
    value = {"address": "10.0.0.2", "port": 7720, "zone": "z", "region": "r"}
    host.peers.note_row(StoredRow(CELL_TABLE, HOSTS_PARTITION, "h2", value, 4))
    (peer,) = host.peers.all()
    peer.client = FakeClient()
    owner = SimpleNamespace(
        pool="pool",
        row=SimpleNamespace(epoch=1),
        status_feed=SimpleNamespace(
            all_states=dict,
            teams=lambda identifiers: dict.fromkeys(identifiers, ""),
            backlogs=dict,
            forecast=None,
            known_at=None,
        ),
        may_lack_records=lambda: False,
        has_read_state=True,
        ownership_status=SimpleNamespace(gives_way=lambda: False),
        recording=SimpleNamespace(
            note_heartbeat_answer=lambda name, was_announced: None
        ),
        note_peer_answer=lambda peer, epoch, asked_at: None,
        lock=threading.RLock(),
    )
    return BeatSender(host, owner, peer)


def send_beats(sender, seconds, step=30.0):
    for _ in range(int(seconds / step)):
        sender._beat()
        sender._host.clock.advance(step)


def test_row_of_a_host_that_is_silent_for_long_is_removed(sender):
    """Guards against rows of permanently replaced hosts that are never removed.

    Each owner would keep a task for every such row and try to connect for ever.
    """
    send_beats(sender, _REMOVE_AFTER_SECONDS)
    assert sender._host.store.removed == []
    send_beats(sender, 90.0)
    assert sender._host.store.removed == ["h2"]


def test_row_that_has_changed_is_not_removed(sender):
    sender._host.store.version = 5
    send_beats(sender, 3 * _REMOVE_AFTER_SECONDS)
    assert sender._host.store.removed == []


def test_row_of_a_host_that_answers_in_between_is_not_removed(sender):
    client = sender.peer.client
    for _ in range(4):
        send_beats(sender, _REMOVE_AFTER_SECONDS - 60.0)
        client.is_reachable = True
        sender._beat()
        client.is_reachable = False
    assert sender._host.store.removed == []


def test_host_that_answers_may_be_asked_for_advice_at_once(sender):
    client = sender.peer.client
    client.is_reachable = False
    sender._beat()
    assert sender._host.answers == []
    client.is_reachable = True
    sender._beat()
    assert len(sender._host.answers) == 1


def test_beats_to_all_hosts_are_sent_at_once_when_an_owner_leaves(sender):
    """Guards against a handover to a small host instead of the largest one.

    A stopping owner asks for a successor in its heartbeats. If these were sent at their
    intervals, up to 0.2 s apart, a small host that was notified first would take the
    pool before the largest host, which takes it without delay, was notified.
    """
    broadcaster = BeatBroadcaster(sender._host, {})
    others = [BeatSender(sender._host, sender._owner, sender.peer) for _ in range(2)]
    broadcaster._senders = dict(enumerate([sender, *others]))
    assert not any(one._wakeup.is_set() for one in broadcaster._senders.values())
    broadcaster.send_all_now()
    assert all(one._wakeup.is_set() for one in broadcaster._senders.values())


class RecordingExecutor:
    """Record submitted tasks without running them."""

    def __init__(self):
        self.tasks = []

    def submit(self, task):
        self.tasks.append(task)


class Owner:
    """Stand in for the owner of a pool in which the state of one job has changed."""

    is_stopped = False
    has_read_state = False

    def __init__(self, pool):
        self.pool = pool
        self.row = SimpleNamespace(epoch=1)
        self.status_feed = SimpleNamespace(
            all_states=dict,
            teams=lambda identifiers: dict.fromkeys(identifiers, ""),
            take_changes=lambda: {pool + "-job": "running"},
            backlogs=dict,
        )


class OwnedCandidacy:
    """Stand in for the candidacy of a pool that this host owns."""

    is_owner = True

    def __init__(self, pool):
        self.pool = pool
        self.owner = Owner(pool)
        self.row = self.owner.row


@pytest.fixture
def two_pools(sender):
    """The broadcaster of a host that owns two pools, and their candidacies."""
    host = sender._host
    host.executor = RecordingExecutor()
    host.job_states = SimpleNamespace(note_statuses=lambda states, teams: None)
    candidacies = {name: OwnedCandidacy(name) for name in ("a", "b")}
    broadcaster = BeatBroadcaster(host, candidacies)
    for candidacy in candidacies.values():
        broadcaster.announce(candidacy.owner)
    return broadcaster, candidacies


def test_taking_a_pool_starts_no_second_sender_for_another(two_pools):
    """Guards against a host that runs out of tasks when it takes many pools.

    Each takeover would start the senders of all its other pools a second time.
    """
    broadcaster, _ = two_pools
    assert len(broadcaster._host.executor.tasks) == 2


def test_host_that_registers_again_receives_beats_again(two_pools):
    """Guards against a takeover from a working owner.

    A host that registered again under the same name and address received no heartbeats
    and considered the owner silent.
    """
    broadcaster, _ = two_pools
    host = broadcaster._host
    (peer,) = host.peers.all()
    value = {"address": "10.0.0.2", "port": 7720, "zone": "z", "region": "r"}
    for number, found in ((5, None), (6, value)):
        host.peers.note_row(StoredRow(CELL_TABLE, HOSTS_PARTITION, "h2", found, number))
    broadcaster.start_missing_senders()
    assert len(host.executor.tasks) == 4
    assert {one.peer for one in broadcaster._senders.values()} == set(host.peers.all())
    assert peer not in host.peers.all()


def test_states_of_a_pool_are_sent_by_its_own_senders_only(two_pools):
    """Guards against sending each status once for every pool that its host owns.

    The duplicates would also cross the link between regions.
    """
    broadcaster, candidacies = two_pools
    broadcaster.broadcast(candidacies["a"].owner)
    states = {
        one._owner.pool: one._pending_states for one in broadcaster._senders.values()
    }
    assert states == {"a": {"a-job": "running"}, "b": {}}


def test_senders_of_a_stopped_owner_are_dropped(two_pools):
    """Guards against statuses that accumulate in senders whose task has ended."""
    broadcaster, candidacies = two_pools
    candidacies["a"].owner.is_stopped = True
    candidacies["a"].is_owner = False
    broadcaster.start_missing_senders()
    assert [one._owner.pool for one in broadcaster._senders.values()] == ["b"]


def test_host_that_hands_over_sends_beats_to_all_others_at_once():
    calls = []
    host = SimpleNamespace(
        settings=SimpleNamespace(grace_seconds=6.0),
        _beats=SimpleNamespace(send_all_now=lambda: calls.append("beat")),
    )
    owner = SimpleNamespace(
        request_successor=lambda: calls.append("leave"),
        pause=lambda seconds: calls.append("pause"),
        is_stopped=True,
    )
    EntryHost._hand_over(host, owner)
    assert calls == ["leave", "beat", "pause"]


def test_heartbeats_do_not_wait_for_an_owner_that_reads_its_state():
    """Guards against a new owner that other hosts take for silent.

    It held its lock while it read the jobs and began to poll a thousand workers, and
    each heartbeat waited for the lock. So the next host took the pool, and the next.
    """
    lock = threading.Lock()
    owner = SimpleNamespace(
        has_read_state=False,
        lock=lock,
        status_feed=SimpleNamespace(teams=lambda identifiers: lock.acquire()),
    )
    with lock:
        assert read_backlogs(owner) == ({}, None)
        assert job_news(owner, {}) == []
