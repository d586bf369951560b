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
    """Base class of ownership errors; the work was not accepted."""

    code = "ownership.error"
    outcome = "not_run"
    retry_after = _MOVED_RETRY_SECONDS


class ShardNotOwned(OwnershipError):
    """Report a shard that another placer serves, or that has no owner yet."""

    code = "ownership.not-owned"
    template = "shard {shard} is not served here"


class OwnershipUnconfirmed(OwnershipError):
    """Report a shard that its placer has not confirmed since a process pause."""

    code = "ownership.unconfirmed"
    template = "ownership of shard {shard} is not confirmed yet after a process pause"


class TakeoverLost(OwnershipError):
    """Report that another placer claimed the shard first."""

    code = "ownership.takeover-lost"
    template = "shard {shard} was claimed by {owner} at epoch {epoch}"
