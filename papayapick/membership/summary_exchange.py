"""Exchange summaries of placers within a region and between regions."""

import math

from papayapick.membership.relays import summary_of
from papayapick.wire.messages import Heartbeat, ShardSummary

__all__ = ["SummaryExchange"]

_FRESH_HEARTBEATS = 2.5
# Another region must learn immediately which placers serve which shards, but needs
# only an estimate of the free room: under load, loads change with every heartbeat.
_LOADS_INTERVAL_SECONDS = 10.0


class SummaryExchange:
    """Add summaries of placers to heartbeats and apply received ones.

    A process of another region gets the summary of this region's placers. A
    process of this region gets the summary of the far placers from whichever
    process contacted them across the link. An unchanged summary is sent as its
    version only.

    Parameters
    ----------
    peers : Peers
    clock : Clock
    """

    __slots__ = ("_clock", "_peers", "_received", "_sent")

    def __init__(self, peers, clock):
        self._peers = peers
        self._clock = clock
        self._sent = (None, float("-inf"), None)
        self._received = {}

    def known_version(self, peer):
        """Return the version of the summary last received from a peer, or 0."""
        received = self._received.get(peer.name)
        return received[0] if received else 0

    def add(self, answer, known, is_near):
        """Add the summary that the requester needs to an answer.

        Parameters
        ----------
        answer : Heartbeat
        known : int
            Version of the summary that the requester has.
        is_near : bool
            Whether the requester is in this region.
        """
        if is_near:
            peers = self._recent_far_peers()
        else:
            peers = [
                peer for peer in self._peers.live() if not self._peers.is_far(peer)
            ]
            # The summary contains the shards.
            answer.shards = None
        if not peers:
            return
        version, placers = summary_of(peers) if is_near else self._own_summary(peers)
        answer.summary_version = version
        if is_near:
            oldest = max(self._peers.silence(peer) for peer in peers)
            # Rounded up, so that a summary never seems younger when it is relayed.
            answer.summary_age_milliseconds = math.ceil(oldest * 1000)
        if version != known:
            answer.placers = placers

    def note(self, sender, answer, now):
        """Apply the summary of an answer to the known far placers.

        Parameters
        ----------
        sender : Peer
        answer : Heartbeat
        now : float
            Monotonic seconds.
        """
        if not answer.summary_version:
            return
        received = self._received.get(sender.name)
        if received is None or received[0] != answer.summary_version:
            received = (answer.summary_version, answer.placers or [])
            self._received[sender.name] = received
        # A sender of this region reports its own list tag. Stored for a far placer, it
        # would hide a changed list from a relay that also receives its own summary.
        list_tag = answer.list_tag if self._peers.is_far(sender) else None
        heartbeat_at = now - (answer.summary_age_milliseconds or 0) / 1000
        known = {peer.name: peer for peer in self._peers.peers()}
        for placer in received[1]:
            peer = known.get(placer.host)
            if peer is None or not self._peers.is_far(peer):
                continue
            # Summaries of two relays may arrive in either order, and this process
            # also receives its own summary back.
            if heartbeat_at > peer.last_heartbeat_at or peer.last_heartbeat is None:
                peer.last_heartbeat = Heartbeat(
                    host=placer.host,
                    bundle_sequence=answer.bundle_sequence,
                    bundle_digest=answer.bundle_digest,
                    shards=placer.shards,
                    draining=placer.draining,
                    list_tag=list_tag,
                )
                peer.last_heartbeat_at = heartbeat_at

    def _own_summary(self, peers):
        """Return the summary for other regions; its loads may be out of date."""
        now = self._clock.monotonic()
        served = {
            (peer.name, bool(peer.last_heartbeat.draining), shard.shard, shard.epoch)
            for peer in peers
            for shard in peer.last_heartbeat.shards or [ShardSummary(shard="", epoch=0)]
        }
        sent, since, summary = self._sent
        if served != sent or now - since >= _LOADS_INTERVAL_SECONDS:
            summary = summary_of(peers)
            self._sent = (served, now, summary)
        return summary

    def _recent_far_peers(self):
        # Return only placers with a recent heartbeat, and none if this process has
        # contacted no far placer: relaying a relayed summary would lose its age.
        allowed = self._peers.link_seconds * _FRESH_HEARTBEATS
        far = [peer for peer in self._peers.peers() if self._peers.is_far(peer)]
        if not any(peer.name in self._received for peer in far):
            return []
        return [
            peer
            for peer in far
            if peer.last_heartbeat and self._peers.silence(peer) <= allowed
        ]
