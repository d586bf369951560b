"""Who lives, by the platform's list and by heartbeats together."""

from papayapick.membership.exceptions import MembershipError, ShardUnserved
from papayapick.membership.looks import LookGate
from papayapick.membership.peer import Peer
from papayapick.membership.peers import Peers

__all__ = ["LookGate", "MembershipError", "Peer", "Peers", "ShardUnserved"]
