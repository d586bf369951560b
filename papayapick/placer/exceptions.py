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
    """Base class of the errors of a placer; by default the work did not run."""

    code = "placer.error"
    outcome = "not_run"


class WaitingQueueFull(PlacerError):
    """Report that the queue for the slots of a service is full."""

    code = "placer.waiting-full"
    template = "the queue for {service} is full with {waiting} requests"


class SlotWaitExpired(PlacerError):
    """Report that a request got no slot within its wait."""

    code = "placer.wait-over"
    template = "no slot of {service} was free within the wait"


class WaitTooLong(PlacerError):
    """Report that the estimated wait exceeds the wait of the request."""

    code = "placer.wait-too-long"
    template = "the estimated wait for {service} exceeds the deadline"


class ShardClosed(PlacerError):
    """Report that a shard accepts no work, such as during a handover."""

    code = "placer.shard-closed"
    template = "shard {shard} accepts no work at present"


class ServiceUnknown(PlacerError):
    """Report that no instance of the shard serves a service."""

    code = "placer.service-unknown"
    template = "shard {shard} has no instance of {service}"


class OutcomeUnsettled(PlacerError):
    """Report that only a newer owner can determine the outcome of work."""

    code = "placer.outcome-unsettled"
    template = "a newer owner has to determine the outcome ({cause})"
    outcome = "unknown"


class ResultUnreadable(PlacerError):
    """Report that work has ended and its result can't be read at present."""

    code = "placer.result-unreadable"
    template = "request {request_id} has ended; its result can't be read at present"
    outcome = "unknown"


class WorkMoved(PlacerError):
    """Report that admitted work has moved to another owner."""

    code = "placer.work-moved"
    template = "request {request_id} has moved to another owner"
    outcome = "unknown"
