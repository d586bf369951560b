"""Ownership of shards and pools, recorded in rows with fencing epochs."""

from papayapick.ownership.assignments import candidates, preferred_owner, shard_of
from papayapick.ownership.commands import claim, release
from papayapick.ownership.exceptions import (
    OwnershipError,
    OwnershipUnconfirmed,
    ShardNotOwned,
    TakeoverLost,
)
from papayapick.ownership.leases import LeaseTracker
from papayapick.ownership.queries import ShardRow, read_shard, read_shards

__all__ = [
    "LeaseTracker",
    "OwnershipError",
    "OwnershipUnconfirmed",
    "ShardNotOwned",
    "ShardRow",
    "TakeoverLost",
    "candidates",
    "claim",
    "preferred_owner",
    "read_shard",
    "read_shards",
    "release",
    "shard_of",
]
