"""Errors of shard ownership."""

from papayapick.exceptions import PapayapickError

__all__ = [
    "OwnershipError",
    "OwnershipUnconfirmed",
    "ShardNotOwned",
    "TakeoverLost",
]

_MOVED_RETRY_SECONDS = 0.05


class OwnershipError(PapayapickError):
    """Stand for any error of ownership; the work was not taken."""

    code = "ownership.error"
    outcome = "not_run"
    retry_after = _MOVED_RETRY_SECONDS


class ShardNotOwned(OwnershipError):
    """Report a shard that another placer serves, or none yet."""

    code = "ownership.not-owned"
    template = "shard {shard} is not served here"


class OwnershipUnconfirmed(OwnershipError):
    """Report a placer that was paused and has not confirmed its shards."""

    code = "ownership.unconfirmed"
    template = "shard {shard} waits to be confirmed after a pause"


class TakeoverLost(OwnershipError):
    """Report that another placer took the shard first."""

    code = "ownership.takeover-lost"
    template = "shard {shard} went to {owner} at epoch {epoch}"
