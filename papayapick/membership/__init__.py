"""Who lives, by the platform's list and by heartbeats together."""

from papayapick.membership.exceptions import MembershipError, ShardUnserved
from papayapick.membership.peers import Peer, Peers

__all__ = ["MembershipError", "Peer", "Peers", "ShardUnserved"]
