"""An owner's beats to a host that does not answer any more."""

import threading
from types import SimpleNamespace

import pytest

from papayapick.clients.exceptions import ConditionFailed
from papayapick.clients.rows import StoredRow
from papayapick.clock import ManualClock
from papayapick.entry.lines import _FORGET_SECONDS, OwnerLine, OwnerLines
from papayapick.entry.peers import HOSTS_PARTITION, Peers
from papayapick.entry.process import EntryHost
from papayapick.ownership.pools import CELL_TABLE
from papayapick.wire.exceptions import PeerUnreachable


class FakeStore:
    """Hold the version of one row; record what is removed."""

    def __init__(self, version):
        self.version = version
        self.removed = []

    def transact(self, expectations, writes):
        if expectations[0].version != self.version:
            raise ConditionFailed([])
        self.removed += [write.key for write in writes if write.value is None]


class FakeClient:
    """Be connected to nothing, or answer."""

    def __init__(self):
        self.is_there = False

    def ask(self, payload, seconds):
        if not self.is_there:
            raise PeerUnreachable(address=("10.0.0.2", 7720))
        return SimpleNamespace(store_age_milliseconds=0, epoch=0, clock_milliseconds=0)

    def close(self):
        pass


@pytest.fixture
def line():
    clock = ManualClock()
    host = SimpleNamespace(
        clock=clock,
        store=FakeStore(version=4),
        settings=SimpleNamespace(host_name="h1"),
        advice=SimpleNamespace(note_heard=lambda: host.heard.append(clock.monotonic())),
        heard=[],
    )
    host.peers = Peers(host, None, SimpleNamespace(host="h1"), None)
    value = {"address": "10.0.0.2", "port": 7720, "zone": "z", "region": "r"}
    host.peers.note_row(StoredRow(CELL_TABLE, HOSTS_PARTITION, "h2", value, 4))
    (peer,) = host.peers.all()
    peer.client = FakeClient()
    owner = SimpleNamespace(
        pool="pool",
        row=SimpleNamespace(epoch=1),
        status_feed=SimpleNamespace(all_states=dict, backlogs=dict, known_at=None),
        may_lack_records=lambda: False,
        has_read_state=True,
        ownership_status=SimpleNamespace(gives_way=lambda: False),
        recording=SimpleNamespace(note_heartbeat_answer=lambda name, told: None),
        note_peer_answer=lambda peer, epoch, asked_at: None,
        lock=threading.RLock(),
    )
    return OwnerLine(host, owner, peer)


def beats(line, seconds, step=30.0):
    for _ in range(int(seconds / step)):
        line._beat()
        line._host.clock.advance(step)


def test_row_of_a_host_that_is_silent_for_long_is_removed(line):
    """Hosts are replaced for good every day.

    Their rows stayed, and every owner kept a task for each and tried to connect to
    all of them for ever.
    """
    beats(line, _FORGET_SECONDS)
    assert line._host.store.removed == []
    beats(line, 90.0)
    assert line._host.store.removed == ["h2"]


def test_row_that_has_changed_is_kept(line):
    line._host.store.version = 5
    beats(line, 3 * _FORGET_SECONDS)
    assert line._host.store.removed == []


def test_host_that_answers_in_between_is_kept(line):
    client = line.peer.client
    for _ in range(4):
        beats(line, _FORGET_SECONDS - 60.0)
        client.is_there = True
        line._beat()
        client.is_there = False
    assert line._host.store.removed == []


def test_host_that_answers_may_be_asked_for_advice_at_once(line):
    client = line.peer.client
    client.is_there = False
    line._beat()
    assert line._host.heard == []
    client.is_there = True
    line._beat()
    assert len(line._host.heard) == 1


def test_all_hosts_hear_at_once_of_an_owner_that_leaves(line):
    """A small host took a pool that its largest neighbour should have.

    The owner was told to stop and asked for a successor with each host's next beat, up
    to 0.2 s apart. A small host that heard of it first had the pool before the largest
    one, which waits for nobody, knew that it was wanted.
    """
    lines = OwnerLines(line._host, {})
    others = [OwnerLine(line._host, line._owner, line.peer) for _ in range(2)]
    lines._lines = dict(enumerate([line, *others]))
    assert not any(one._wakeup.is_set() for one in lines._lines.values())
    lines.beat_now()
    assert all(one._wakeup.is_set() for one in lines._lines.values())


class TaskList:
    """Keep the tasks that would run."""

    def __init__(self):
        self.tasks = []

    def submit(self, task):
        self.tasks.append(task)


class Owner:
    """Stand for the owner of a pool that has news of one job."""

    is_stopped = False
    has_read_state = False

    def __init__(self, pool):
        self.pool = pool
        self.row = SimpleNamespace(epoch=1)
        self.status_feed = SimpleNamespace(
            all_states=dict, take=lambda: {pool + "-job": "running"}, backlogs=dict
        )


class Owned:
    """Stand for the candidacy of a pool that this host owns."""

    is_owner = True

    def __init__(self, pool):
        self.pool = pool
        self.owner = Owner(pool)
        self.row = self.owner.row


@pytest.fixture
def two_pools(line):
    """The lines of a host that owns two pools, and their candidacies."""
    host = line._host
    host.executor = TaskList()
    host.board = SimpleNamespace(note=lambda states: None)
    candidacies = {name: Owned(name) for name in ("a", "b")}
    lines = OwnerLines(host, candidacies)
    for candidacy in candidacies.values():
        lines.renew(candidacy.owner)
    return lines, candidacies


def test_pool_that_is_taken_opens_no_second_line_of_another(two_pools):
    """A host with many pools ran out of tasks: each take doubled its lines."""
    lines, _ = two_pools
    assert len(lines._host.executor.tasks) == 2


def test_host_that_registers_again_hears_the_owner_again(two_pools):
    """It heard no beat any more, and took the pool from an owner at work."""
    lines, _ = two_pools
    host = lines._host
    (peer,) = host.peers.all()
    value = {"address": "10.0.0.2", "port": 7720, "zone": "z", "region": "r"}
    for number, found in ((5, None), (6, value)):
        host.peers.note_row(StoredRow(CELL_TABLE, HOSTS_PARTITION, "h2", found, number))
    lines.open()
    assert len(host.executor.tasks) == 4
    assert {one.peer for one in lines._lines.values()} == set(host.peers.all())
    assert peer not in host.peers.all()


def test_news_of_a_pool_goes_over_its_own_lines_only(two_pools):
    """Each status crossed the link between regions once for each pool of its host."""
    lines, candidacies = two_pools
    lines.tell(candidacies["a"].owner)
    told = {one._owner.pool: one._news for one in lines._lines.values()}
    assert told == {"a": {"a-job": "running"}, "b": {}}


def test_lines_of_an_owner_that_has_stopped_are_forgotten(two_pools):
    """Statuses were kept for ever for lines that nobody ran any more."""
    lines, candidacies = two_pools
    candidacies["a"].owner.is_stopped = True
    candidacies["a"].is_owner = False
    lines.open()
    assert [one._owner.pool for one in lines._lines.values()] == ["b"]


def test_host_that_hands_over_tells_all_others_at_once():
    calls = []
    host = SimpleNamespace(
        settings=SimpleNamespace(grace_seconds=6.0),
        _lines=SimpleNamespace(beat_now=lambda: calls.append("beat")),
    )
    owner = SimpleNamespace(
        request_successor=lambda: calls.append("leave"),
        pause=lambda seconds: calls.append("pause"),
        is_stopped=True,
    )
    EntryHost._hand_over(host, owner)
    assert calls == ["leave", "beat", "pause"]
