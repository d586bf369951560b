"""Tell the own region of far placers, and other regions of the own."""

import math

from papayapick.membership.relays import summary_of
from papayapick.wire.messages import Heartbeat, ShardSummary

__all__ = ["SummaryExchange"]

_FRESH_BEATS = 2.5
# Another region needs to know at once who serves what, but of loads only about
# how much room there is: under load they change with every heartbeat.
_LOADS_SECONDS = 10.0


class SummaryExchange:
    """Put summaries of regions into heartbeats and take them out again.

    A process of another region is told of the placers of this region; one of
    this region is told of the others by whoever asked over the link itself. An
    unchanged summary crosses as its version only.

    Parameters
    ----------
    peers : Peers
    clock : Clock
    """

    __slots__ = ("_clock", "_peers", "_sent", "_received")

    def __init__(self, peers, clock):
        self._peers = peers
        self._clock = clock
        self._sent = (None, float("-inf"), None)
        self._received = {}

    def known_version(self, peer):
        """Return the version of the summary last told by a peer, 0 for none."""
        found = self._received.get(peer.name)
        return found[0] if found else 0

    def add(self, answer, known, is_near):
        """Add to an answer what its asker should hear.

        Parameters
        ----------
        answer : Heartbeat
        known : int
        is_near : bool
            Whether the asker stands in this region.
        """
        if is_near:
            found = self._far_peers_contacted()
        else:
            found = [one for one in self._peers.live() if not self._peers.is_far(one)]
            # They stand in the summary.
            answer.shards = None
        if not found:
            return
        version, placers = summary_of(found) if is_near else self._own_summary(found)
        answer.summary_version = version
        if is_near:
            oldest = max(self._peers.silence(peer) for peer in found)
            # Rounded up, so that no word grows younger when it is told again.
            answer.summary_age_milliseconds = math.ceil(oldest * 1000)
        if version != known:
            answer.placers = placers

    def note(self, sender, answer, now):
        """Take the summary of an answer as the word of far placers.

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
        # A near teller's tag is in its own heartbeat. Taken for a far placer's,
        # it would hide from a relay that asks itself that the list has changed.
        list_tag = answer.list_tag if self._peers.is_far(sender) else None
        heartbeat_at = now - (answer.summary_age_milliseconds or 0) / 1000
        known = {peer.name: peer for peer in self._peers.peers()}
        for found in received[1]:
            peer = known.get(found.host)
            if peer is None or not self._peers.is_far(peer):
                continue
            # The word of two relays may come in either order, and this process,
            # which asks itself as well, hears its own word again.
            if heartbeat_at > peer.last_heartbeat_at or peer.last_heartbeat is None:
                peer.last_heartbeat = Heartbeat(
                    host=found.host,
                    bundle_sequence=answer.bundle_sequence,
                    bundle_digest=answer.bundle_digest,
                    shards=found.shards,
                    draining=found.draining,
                    list_tag=list_tag,
                )
                peer.last_heartbeat_at = heartbeat_at

    def _own_summary(self, found):
        """Return the summary for other regions, its loads a little old."""
        now = self._clock.monotonic()
        served = {
            (peer.name, bool(peer.last_heartbeat.draining), shard.shard, shard.epoch)
            for peer in found
            for shard in peer.last_heartbeat.shards or [ShardSummary(shard="", epoch=0)]
        }
        sent, since, summary = self._sent
        if served != sent or now - since >= _LOADS_SECONDS:
            summary = summary_of(found)
            self._sent = (served, now, summary)
        return summary

    def _far_peers_contacted(self):
        # What others told this process is not told again: its age would be lost.
        allowed = self._peers.link_seconds * _FRESH_BEATS
        far = [one for one in self._peers.peers() if self._peers.is_far(one)]
        if not any(one.name in self._received for one in far):
            return []
        return [
            one
            for one in far
            if one.last_heartbeat and self._peers.silence(one) <= allowed
        ]
