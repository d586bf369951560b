"""Decide which process exchanges heartbeats with a placer of another region."""

from papayapick.membership.relays import contacts_far_placer

__all__ = ["RELAY_SILENCE_SHARE", "exchanges_with"]

# A placer of this region that missed two heartbeats is not used as a relay any more,
# although it does not count as dead yet: another placer must replace it as the relay
# before the far placers seem silent.
RELAY_SILENCE_SHARE = 1 / 3


def exchanges_with(peers, settings, peer, now):
    """Return whether this process exchanges heartbeats with a far placer.

    Parameters
    ----------
    peers : Peers
    settings : Settings
    peer : Peer
        A placer of another region.
    now : float
        Monotonic seconds.
    """
    allowed = settings.dead_after_seconds * RELAY_SILENCE_SHARE
    near, far = [], []
    for other in peers.peers():
        if not peers.is_far(other):
            if other.last_heartbeat and peers.silence(other) <= allowed:
                near.append(other.name)
        elif other.entry.region == peer.entry.region and _answers(
            peers, settings, other, now
        ):
            far.append(other.name)
    return contacts_far_placer(
        settings.host_name, settings.region, near, far, peer.name
    )


def _answers(peers, settings, peer, now):
    # A placer that left a heartbeat unanswered is not chosen as its region's relay for
    # a while. Otherwise all placers of its region would seem silent with it.
    is_skipped = now - peer.last_failed_at <= settings.dead_after_seconds
    return peer.last_heartbeat and not peers.is_silent(peer) and not is_skipped
