"""Errors of the placer."""

from papayapick.exceptions import PapayapickError, RetryAfter

__all__ = [
    "OutcomeUnsettled",
    "PlacerError",
    "ResultUnreadable",
    "ServiceUnknown",
    "ShardClosed",
    "SlotWaitExpired",
    "WaitTooLong",
    "WaitingQueueFull",
    "WorkMoved",
]


class PlacerError(RetryAfter, PapayapickError):
    """Stand for any refusal by a placer; the work did not run."""

    code = "placer.error"
    outcome = "not_run"


class WaitingQueueFull(PlacerError):
    """Report a service whose queue is full."""

    code = "placer.waiting-full"
    template = "{waiting} requests wait for {service} already"


class SlotWaitExpired(PlacerError):
    """Report a request that got no slot within the time it could wait."""

    code = "placer.wait-over"
    template = "no slot of {service} came free in time"


class WaitTooLong(PlacerError):
    """Report a queue that moves too slowly for the request's deadline."""

    code = "placer.wait-too-long"
    template = "the wait for {service} would pass the deadline"


class ShardClosed(PlacerError):
    """Report a shard whose owner is still taking the inventory, or draining."""

    code = "placer.shard-closed"
    template = "shard {shard} takes no work now"


class ServiceUnknown(PlacerError):
    """Report a service that no instance of the shard serves."""

    code = "placer.service-unknown"
    template = "shard {shard} has no instance of {service}"


class OutcomeUnsettled(PlacerError):
    """Report work whose outcome a newer owner has to settle."""

    code = "placer.outcome-unsettled"
    template = "the outcome is left to a newer owner ({cause})"
    outcome = "unknown"


class ResultUnreadable(PlacerError):
    """Report work that has ended, whose result can't be read just now."""

    code = "placer.result-unreadable"
    template = "request {request_id} has ended; its result can't be read now"
    outcome = "unknown"


class WorkMoved(PlacerError):
    """Report work that was taken on and has gone to another owner."""

    code = "placer.work-moved"
    template = "request {request_id} goes on under another owner"
    outcome = "unknown"
