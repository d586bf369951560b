"""Membership of the cell, from the platform's host list and heartbeats."""

from papayapick.membership.exceptions import MembershipError, ShardUnserved
from papayapick.membership.peer import Peer
from papayapick.membership.peers import Peers
from papayapick.membership.poll_gate import PollGate

__all__ = ["MembershipError", "Peer", "Peers", "PollGate", "ShardUnserved"]
