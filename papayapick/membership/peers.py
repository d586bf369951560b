"""Exchange heartbeats with the placers and learn who serves what."""

import threading

from papayapick.bundle import PeerHead
from papayapick.membership.exceptions import ShardUnserved
from papayapick.observability import get_logger
from papayapick.platforms import HostListUnavailable
from papayapick.platforms.hosts import PLACER_KIND
from papayapick.wire import PeerClient, WireError
from papayapick.wire.messages import BundleQuery, Heartbeat

__all__ = ["Peer", "Peers"]

_LOG = get_logger(__name__)
_LINK_HEARTBEAT_FACTOR = 4


class Peer:
    """Hold what is known of one placer.

    Parameters
    ----------
    entry : HostEntry
    client : PeerClient
    now : float
        Monotonic seconds; silence counts from here until the first answer.
    """

    __slots__ = ("client", "entry", "heard", "last_heard", "stop")

    def __init__(self, entry, client, now):
        self.entry = entry
        self.client = client
        self.heard = None
        self.last_heard = now
        self.stop = threading.Event()

    @property
    def name(self):
        """Return the placer's name."""
        return self.entry.name


class Peers:
    """Keep a heartbeat with every placer on the live list.

    The list says whom to try; the heartbeat says who answers. A dead entry on
    the list is silent and gets no work; a live placer that the list has lost
    is kept while it answers.

    Parameters
    ----------
    host_list : HostList
    connect : callable
        Returns a PeerClient for an address.
    own_heartbeat : callable
        Returns the Heartbeat that this process sends.
    clock : Clock
    executor : concurrent.futures.Executor
        Runs one task for each peer.
    settings : Settings
    hear_bundle : callable
        Called with a PeerHead and a function that fetches the body.
    count_pauses : callable
        Returns the pauses of this process so far.
    """

    __slots__ = (
        "_clock",
        "_connect",
        "_count_pauses",
        "_entries",
        "_executor",
        "_hear_bundle",
        "_host_list",
        "_listed_placers",
        "_lock",
        "_own_heartbeat",
        "_peers",
        "_settings",
        "_stopping",
    )

    def __init__(
        self,
        host_list,
        connect,
        own_heartbeat,
        clock,
        executor,
        settings,
        hear_bundle,
        count_pauses=lambda: 0,
    ):
        self._host_list = host_list
        self._connect = connect
        self._own_heartbeat = own_heartbeat
        self._clock = clock
        self._executor = executor
        self._settings = settings
        self._hear_bundle = hear_bundle
        self._count_pauses = count_pauses
        self._listed_placers = 0
        self._entries = []
        self._peers = {}
        self._lock = threading.Lock()
        self._stopping = False

    @classmethod
    def from_config(
        cls, settings, host_list, cell_key, identity, clock, executor, meter, callbacks
    ):
        """Build the peers of one process.

        Parameters
        ----------
        callbacks : tuple of callable
            ``own_heartbeat``, ``hear_bundle`` and ``count_pauses``.
        """

        def connect(address):
            return PeerClient(
                address,
                cell_key,
                identity,
                executor,
                connect_seconds=settings.platform_timeout_seconds,
                meter=meter,
            )

        own_heartbeat, *rest = callbacks
        return cls(host_list, connect, own_heartbeat, clock, executor, settings, *rest)

    @property
    def entries(self):
        """Return the live list as it was last read."""
        return self._entries

    def refresh(self):
        """Read the list; start a task for each new placer, end those long gone."""
        try:
            entries = self._host_list.fetch()
        except HostListUnavailable:
            # The list is a hint; what is known goes on being used.
            return
        self._entries = entries
        placers = {entry.name: entry for entry in entries if entry.kind == PLACER_KIND}
        self._listed_placers = len(placers)
        with self._lock:
            for name, entry in placers.items():
                known = self._peers.get(name)
                if known is None or known.entry.url != entry.url:
                    self._add(entry, known)
                else:
                    known.entry = entry
            for name in set(self._peers) - set(placers):
                if self._is_silent(self._peers[name]):
                    self._drop(name)

    def live(self):
        """Return the placers that answer, this process among them where listed."""
        with self._lock:
            peers = list(self._peers.values())
        return [peer for peer in peers if peer.heard and not self._is_silent(peer)]

    def is_alive(self, name):
        """Return whether a placer answered within the allowed silence."""
        with self._lock:
            peer = self._peers.get(name)
        return peer is not None and not self._is_silent(peer)

    def serving(self):
        """Return, for each shard, the live placer that claims the highest epoch.

        Returns
        -------
        dict of str to (Peer, ShardSummary)
        """
        found = {}
        for peer in self.live():
            for summary in peer.heard.shards or ():
                best = found.get(summary.shard)
                if best is None or best[1].epoch < summary.epoch:
                    found[summary.shard] = (peer, summary)
        return found

    def owner_of(self, shard):
        """Return the placer that serves a shard; raise ShardUnserved."""
        found = self.serving().get(shard)
        if found is None:
            raise ShardUnserved(shard=shard)
        return found[0]

    def close(self):
        """End every task."""
        self._stopping = True
        with self._lock:
            peers, self._peers = self._peers, {}
        for peer in peers.values():
            peer.stop.set()
            peer.client.close()

    def _add(self, entry, known):
        if known is not None:
            known.stop.set()
            known.client.close()
        client = self._connect(entry.address)
        peer = Peer(entry, client, self._clock.monotonic())
        self._peers[entry.name] = peer
        self._executor.submit(self._follow, peer)

    def _drop(self, name):
        peer = self._peers.pop(name)
        peer.stop.set()
        peer.client.close()

    def _is_silent(self, peer):
        silence = self._clock.monotonic() - peer.last_heard
        return silence > self._settings.dead_after_seconds

    def _follow(self, peer):
        seconds = self._settings.heartbeat_seconds
        if peer.entry.region != self._settings.region:
            # Bytes over the link between regions are paid for.
            seconds *= _LINK_HEARTBEAT_FACTOR
        while not (self._stopping or peer.stop.is_set()):
            try:
                self.beat(peer)
            except WireError as error:
                _LOG.debug(
                    "peer silent", extra={"peer": peer.name, "error": str(error)}
                )
            self._clock.wait(peer.stop, seconds)

    def beat(self, peer):
        """Exchange one heartbeat with a peer."""
        seconds = self._settings.dead_after_seconds / 2
        pauses = self._count_pauses()
        answer = peer.client.ask(self._own_heartbeat(), seconds)
        if not isinstance(answer, Heartbeat):
            return
        peer.heard = answer
        peer.last_heard = self._clock.monotonic()

        def fetch():
            query = BundleQuery(digest=answer.bundle_digest)
            return peer.client.ask(query, seconds).envelope

        head = PeerHead(
            peer.name,
            answer.bundle_sequence,
            answer.bundle_digest,
            answer.confirmed,
            pauses,
            self._listed_placers,
        )
        self._hear_bundle(head, fetch)
