"""The owner of a pool and the hosts of three zones, without threads or connections."""

import threading
from concurrent.futures import Future
from types import SimpleNamespace

from papayapick.clock import ManualClock
from papayapick.entry.callers.job_states import JobStateCache
from papayapick.entry.cell.beats import BeatBroadcaster
from papayapick.entry.cell.peers import Peer
from papayapick.wire.exceptions import PeerUnreachable
from papayapick.wire.messages import StateBatch, StateBatchAnswer

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
