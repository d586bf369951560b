"""Route requests for slots among shards, with peers that fail as told."""

import random
from concurrent.futures import Future
from types import SimpleNamespace

import pytest

from papayapick.bundle.documents import ServicePolicy
from papayapick.clock import ManualClock
from papayapick.membership import Peer
from papayapick.routing import LoadView, NoRoute, PlacerSilent, SlotClient
from papayapick.routing import slots as slots_module
from papayapick.wire import PeerDisconnected, PeerRefused, PeerUnreachable
from papayapick.wire.messages import ServiceLoad, ShardSummary, SlotGrant

ZONES = {"a": "south", "b": "south", "c": "north"}
REFUSALS = {
    "over": ("placer.wait-over", 0.4),
    "full": ("placer.waiting-full", 0.4),
    "moved": ("ownership.not-owned", 0.0),
}


class FakeClient:
    """Answers by script: a grant, a refusal, or an error of the wire."""

    def __init__(self, shard):
        self.shard = shard
        self.script = "grant"
        self.asked = []
        self.told = []

    def call(self, wanted, traceparent):
        self.asked.append(wanted.wait_milliseconds)
        answer = Future()
        if self.script == "unreachable":
            raise PeerUnreachable(address=self.shard)
        if self.script == "broken":
            answer.set_exception(PeerDisconnected(address=self.shard))
        elif self.script == "late":
            self.late = answer
        elif self.script == "grant" or (
            self.script == "waits" and wanted.wait_milliseconds
        ):
            answer.set_result(
                SlotGrant(grant_id=1, shard=self.shard, epoch=1, instance="i", url="u")
            )
        else:
            code, retry_after = REFUSALS.get(self.script, REFUSALS["over"])
            answer.set_exception(
                PeerRefused(
                    refusal_code=code,
                    detail="",
                    outcome="not_run",
                    retry_after=retry_after,
                )
            )
        return answer

    def tell(self, release):
        self.told.append(release)


class FakePeers:
    def __init__(self, rooms):
        self.clients = {shard: FakeClient(shard) for shard in rooms}
        self.found = {}
        for shard, (free, waiting) in rooms.items():
            entry = SimpleNamespace(name=f"placer-{shard}")
            peer = Peer(entry, self.clients[shard], 0.0)
            load = ServiceLoad(service="counts", free_slots=free, waiting=waiting)
            summary = ShardSummary(shard=shard, epoch=1, loads=[load])
            self.found[shard] = (peer, summary)

    def shard_owners(self):
        return self.found


class Bench:
    def __init__(self, rooms, across_link=True):
        self.clock = ManualClock()
        self.peers = FakePeers(rooms)
        settings = SimpleNamespace(
            availability_zone="a", region="south", grant_seconds=0.5
        )
        self.client = SlotClient(
            self.peers, settings, self.clock, random.Random(4), lambda: ZONES
        )
        self.policy = ServicePolicy(
            "counts", "urgent", True, across_link=across_link, retries=1
        )

    def __getitem__(self, shard):
        return self.peers.clients[shard]

    def acquire(self, wait=1.0):
        return self.client.acquire(self.policy, "r1", wait)

    def asked(self):
        return {shard: found.asked for shard, found in self.peers.clients.items()}


ROOM = (8, 0)
TIERS = [
    ("own zone first", {}, True, "a.0"),
    ("own region where the zone is gone", {"a.0": "unreachable"}, True, "b.0"),
    ("own region where the zone broke off", {"a.0": "broken"}, True, "b.0"),
    ("own region where the zone is full", {"a.0": "over"}, True, "b.0"),
    ("own region where the shard moved", {"a.0": "moved"}, True, "b.0"),
    (
        "across the link where the region is gone",
        {"a.0": "unreachable", "b.0": "unreachable"},
        True,
        "c.0",
    ),
    (
        "no further than the policy allows",
        {"a.0": "over", "b.0": "waits"},
        False,
        "b.0",
    ),
]


@pytest.mark.parametrize(
    ("scripts", "across_link", "expected"),
    [row[1:] for row in TIERS],
    ids=[row[0] for row in TIERS],
)
def test_next_tier_is_asked_at_once(scripts, across_link, expected):
    """A zone, or the region, is gone or full, and heartbeats don't tell yet.

    The caller must get the nearest slot that is left within the same try, and
    no placer may be asked again and again.
    """
    bench = Bench({"a.0": ROOM, "b.0": ROOM, "c.0": ROOM}, across_link)
    for shard, script in scripts.items():
        bench[shard].script = script
    assert bench.acquire().granted.shard == expected
    assert all(len(asked) <= 2 for asked in bench.asked().values())
    assert bench.clock.monotonic() == 0


def test_full_queue_sends_the_request_to_the_next_shard():
    """Every slot is taken, and the queue of the own zone is full.

    Another shard still lets requests wait; refusing the caller would be wrong.
    """
    bench = Bench({"a.0": (0, 300), "b.0": (0, 3)})
    bench["a.0"].script = "full"
    bench["b.0"].script = "waits"
    assert bench.acquire().granted.shard == "b.0"
    assert bench["b.0"].asked == [1000]


def test_refusal_of_the_last_shard_reaches_the_caller_with_its_return_time():
    bench = Bench({"a.0": ROOM, "b.0": ROOM})
    bench["a.0"].script = bench["b.0"].script = "full"
    with pytest.raises(PeerRefused) as caught:
        bench.acquire()
    assert caught.value.retry_after == 0.4
    assert sum(map(len, bench.asked().values())) <= 4


def test_silent_placer_is_left_alone_for_a_while():
    """A zone goes with its placers; each request would first try them.

    One request finds out. Until the silence is over the others go elsewhere;
    then one tries again.
    """
    bench = Bench({"a.0": ROOM, "b.0": ROOM})
    bench["a.0"].script = "unreachable"
    for _ in range(10):
        bench.acquire()
    assert len(bench["a.0"].asked) == 1
    bench.clock.advance(1.1)
    bench.acquire()
    bench.acquire()
    assert len(bench["a.0"].asked) == 2
    bench["a.0"].script = "grant"
    bench.clock.advance(1.1)
    assert [bench.acquire().granted.shard for _ in range(3)] == ["a.0"] * 3


def test_one_thread_at_a_time_finds_out_if_a_placer_is_back():
    """Sixteen threads wait for one dead placer and none serves the callers."""
    clock = ManualClock()
    view, peer = LoadView(clock), SimpleNamespace(name="placer-a")
    view.note_silence(peer)
    clock.advance(1.1)
    assert [view.may_try(peer) for _ in range(16)] == [True] + [False] * 15


def test_all_silent_says_that_nothing_ran():
    bench = Bench({"a.0": ROOM})
    bench["a.0"].script = "broken"
    with pytest.raises(PlacerSilent) as caught:
        bench.acquire()
    assert caught.value.outcome == "not_run"


def test_own_grants_count_until_the_next_heartbeat():
    """Two shards had room in the last heartbeat, one a little more.

    All calls of the next half second would go to that one, though it is full
    after a few; the others' slots stay idle and requests wait.
    """
    bench = Bench({"a.0": (4, 0), "a.1": (3, 0), "b.0": (8, 0)})
    shards = [bench.acquire().granted.shard for _ in range(9)]
    assert shards.count("a.0") == 4
    assert shards.count("a.1") == 3
    assert shards.count("b.0") == 2
    for peer, _ in bench.peers.found.values():
        peer.last_heartbeat_at = 1.0
    assert bench.acquire().granted.shard in ("a.0", "a.1")


def test_releases_make_room_again_before_the_next_heartbeat():
    bench = Bench({"a.0": (1, 0), "b.0": (8, 0)})
    first = bench.acquire()
    bench.client.release(first, "done", 0.1)
    assert bench.acquire().granted.shard == "a.0"


def test_stale_slot_sends_the_next_request_elsewhere():
    """A former owner still gives out slots, which the servers refuse.

    Until the new owner is heard of, each try there fails again.
    """
    bench = Bench({"a.0": ROOM, "b.0": ROOM})
    first = bench.acquire()
    bench.client.release(first, "stale", 0.0)
    assert [bench.acquire().granted.shard for _ in range(3)] == ["b.0"] * 3
    for peer, _ in bench.peers.found.values():
        peer.last_heartbeat_at = 1.0
    assert bench.acquire().granted.shard == "a.0"


def test_slot_that_comes_late_is_given_back(monkeypatch):
    """A placer was paused and grants a slot after the gateway gave up on it.

    Nobody uses the slot; it would stay taken until the sweep.
    """
    monkeypatch.setattr(slots_module, "_ANSWER_SECONDS", 0.0)
    bench = Bench({"a.0": ROOM, "b.0": ROOM})
    bench["a.0"].script = "late"
    assert bench.acquire().granted.shard == "b.0"
    granted = SlotGrant(grant_id=7, shard="a.0", epoch=1, instance="i", url="u")
    bench["a.0"].late.set_result(granted)
    assert [found.outcome for found in bench["a.0"].told] == ["unused"]


def test_no_shard_of_the_service():
    with pytest.raises(NoRoute):
        Bench({}).acquire()
