"""Exchange heartbeats with placers and track which shards they serve."""

import threading

from papayapick.bundle import PeerHead
from papayapick.clients import HostListUnavailable
from papayapick.clients.hosts import PLACER_KIND
from papayapick.membership.exceptions import ShardUnserved
from papayapick.membership.heartbeat_exchange import RELAY_SILENCE_SHARE, exchanges_with
from papayapick.membership.peer import Peer
from papayapick.membership.poll_gate import PollGate
from papayapick.membership.summary_exchange import SummaryExchange
from papayapick.observability import get_logger
from papayapick.wire import PeerClient, WireError
from papayapick.wire.messages import BundleQuery, Heartbeat

__all__ = ["Peers"]

_LOG = get_logger(__name__)
_LINK_HEARTBEAT_FACTOR = 2
# A relayed heartbeat is older than a direct one by one heartbeat across the link, one
# within the region, and possibly the replacement of a relay.
_FAR_SILENCE_FACTOR = 1.25
# The loop may wake slightly early; such a heartbeat must not wait for another turn.
_WAKE_MARGIN = 0.9


class Peers:
    """Exchange heartbeats with every placer on the host list.

    The list names the placers to contact; heartbeats show which of them are
    alive. A listed placer that is dead gets no work; a live placer that is missing
    from the list is kept while it answers.

    Parameters
    ----------
    host_list : HostList
    connect : callable
        Returns a PeerClient for an address.
    own_heartbeat : callable
        Returns the Heartbeat of this process.
    clock : Clock
    executor : concurrent.futures.Executor
        Runs one task per peer.
    settings : Settings
    on_bundle_head : callable
        Called with a PeerHead and a function that fetches the bundle.
    count_pauses : callable
        Returns the number of pauses of this process so far.
    """

    __slots__ = (
        "_clock",
        "_connect",
        "_count_pauses",
        "_entries",
        "_executor",
        "_on_bundle_head",
        "_host_list",
        "_list_gate",
        "_listed_placers",
        "_lock",
        "_newest_head",
        "_own_heartbeat",
        "_peers",
        "_summaries",
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
        on_bundle_head,
        count_pauses=lambda: 0,
    ):
        self._host_list = host_list
        self._connect = connect
        self._own_heartbeat = own_heartbeat
        self._clock = clock
        self._executor = executor
        self._settings = settings
        self._on_bundle_head = on_bundle_head
        self._count_pauses = count_pauses
        self._listed_placers = 0
        self._newest_head = 0
        self._list_gate = PollGate(clock, lambda: False)
        self._summaries = SummaryExchange(self, clock)
        self._entries = []
        self._peers = {}
        self._lock = threading.Lock()
        self._stopping = False

    @classmethod
    def from_config(
        cls, settings, host_list, cell_key, identity, clock, executor, meter, callbacks
    ):
        """Build the Peers of one process.

        Parameters
        ----------
        callbacks : tuple of callable
            ``own_heartbeat``, ``on_bundle_head`` and ``count_pauses``.
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
        """Return the host list as last read."""
        return self._entries

    @property
    def newest_head(self):
        """Return the highest version of the bundle's head reported so far."""
        return self._newest_head

    @property
    def list_tag(self):
        """Return the tag of the host list as last read."""
        return self._host_list.tag

    def has_live_peer_in(self, region):
        """Return whether the region is another one and has a live placer."""
        return region != self._settings.region and any(
            peer.entry.region == region for peer in self.live()
        )

    def use_store_region(self, store_region):
        """Read the host list less often while the store's region has a live placer.

        Parameters
        ----------
        store_region : callable
            Returns the name of the region, empty if it is not known yet.
        """
        self._list_gate = PollGate(
            self._clock, lambda: self.has_live_peer_in(store_region())
        )

    def refresh(self):
        """Read the host list; add new placers, drop unlisted ones that are silent."""
        if not self._list_gate.is_due(self._list_has_changed()):
            return
        try:
            entries = self._host_list.fetch()
        except HostListUnavailable:
            # The list is only a hint; known placers stay in use.
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
                if self.is_silent(self._peers[name]):
                    self._drop(name)

    def live(self):
        """Return the placers that answer, including this process if it is listed."""
        return [
            peer
            for peer in self.peers()
            if peer.last_heartbeat and not self.is_silent(peer)
        ]

    def is_alive(self, name):
        """Return whether a placer answered within the allowed silence."""
        with self._lock:
            peer = self._peers.get(name)
        return peer is not None and not self.is_silent(peer)

    def shard_owners(self):
        """Return, by shard, the live placer that reports the highest epoch.

        Returns
        -------
        dict of str to (Peer, ShardSummary)
        """
        owners = {}
        for peer in self.live():
            for summary in peer.last_heartbeat.shards or ():
                best = owners.get(summary.shard)
                if best is None or best[1].epoch < summary.epoch:
                    owners[summary.shard] = (peer, summary)
        return owners

    def owner_of(self, shard):
        """Return the Peer that serves a shard; raise ShardUnserved."""
        owner = self.shard_owners().get(shard)
        if owner is None:
            raise ShardUnserved(shard=shard)
        return owner[0]

    def close(self):
        """Stop all tasks and close the connections."""
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
        self._executor.submit(self._run_heartbeats, peer)

    def _drop(self, name):
        peer = self._peers.pop(name)
        peer.stop.set()
        peer.client.close()

    def peers(self):
        """Return all placers that are listed or still answer."""
        with self._lock:
            return list(self._peers.values())

    def is_far(self, peer):
        """Return whether a placer is in another region."""
        return peer.entry.region != self._settings.region

    def silence(self, peer):
        """Return the seconds since a placer's last known heartbeat."""
        return self._clock.monotonic() - peer.last_heartbeat_at

    @property
    def link_seconds(self):
        """Return the seconds between two heartbeats across the link."""
        return self._settings.heartbeat_seconds * _LINK_HEARTBEAT_FACTOR

    def _list_has_changed(self):
        own = self._host_list.tag
        tags = {peer.last_heartbeat.list_tag for peer in self.live()}
        return bool(tags - {own, "", None})

    def is_silent(self, peer):
        """Return whether a placer's last heartbeat is older than allowed."""
        allowed = self._settings.dead_after_seconds
        if self.is_far(peer):
            allowed *= _FAR_SILENCE_FACTOR
        return self.silence(peer) > allowed

    def _run_heartbeats(self, peer):
        while not (self._stopping or peer.stop.is_set()):
            self.exchange_if_due(peer)
            self._clock.wait(peer.stop, self._settings.heartbeat_seconds)

    def exchange_if_due(self, peer):
        """Exchange a heartbeat with a peer if this process is due to do so."""
        if not self._is_due(peer):
            return
        peer.last_sent_at = self._clock.monotonic()
        try:
            self.exchange_heartbeat(peer)
        except WireError as error:
            peer.last_failed_at = self._clock.monotonic()
            _LOG.debug("peer silent", extra={"peer": peer.name, "error": str(error)})

    def _is_due(self, peer):
        if not self.is_far(peer):
            return True
        # Traffic across the link between regions is paid for.
        since = self._clock.monotonic() - peer.last_sent_at
        return since >= self.link_seconds * _WAKE_MARGIN and self.exchanges_with(peer)

    def exchanges_with(self, peer):
        """Return whether this process exchanges heartbeats with a far placer."""
        return exchanges_with(self, self._settings, peer, self._clock.monotonic())

    def exchange_heartbeat(self, peer):
        """Send a heartbeat to a peer and process its answer; raise WireError."""
        seconds = self._settings.dead_after_seconds * RELAY_SILENCE_SHARE
        pauses = self._count_pauses()
        request = self._own_heartbeat()
        # The peer learns the shards from its own heartbeats to this process.
        request.shards = None
        request.known = self._summaries.known_version(peer)
        answer = peer.client.ask(request, seconds)
        if not isinstance(answer, Heartbeat):
            return
        now = self._clock.monotonic()
        self.note_head(answer.head_version or 0)
        if not self.is_far(peer):
            peer.last_heartbeat = answer
            peer.last_heartbeat_at = now
        self._summaries.note(peer, answer, now)

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
        self._on_bundle_head(head, fetch)

    def note_head(self, version):
        """Record a version of the bundle's head; return whether it is a newer one."""
        with self._lock:
            if version <= self._newest_head:
                return False
            self._newest_head = version
            return True

    def add_summary(self, answer, known, requester_region):
        """Add the summary of placers that the requester needs to an answer.

        Parameters
        ----------
        answer : Heartbeat
        known : int
            Version of the summary that the requester has.
        requester_region : str
        """
        self._summaries.add(answer, known, requester_region == self._settings.region)
