"""Errors of membership."""

from papayapick.exceptions import PapayapickError

__all__ = ["MembershipError", "ShardUnserved"]


class MembershipError(PapayapickError):
    """Base class of membership errors; the work was not accepted."""

    code = "membership.error"
    outcome = "not_run"


class ShardUnserved(MembershipError):
    """Report a shard that no live placer is known to serve."""

    code = "membership.shard-unserved"
    template = "no placer is known to serve shard {shard}"
    retry_after = 1.0
