"""Errors that an entry host returns to its callers."""

from papayapick.exceptions import PapayapickError, RetryAfter
from papayapick.overload.types import RefusalReason

__all__ = [
    "AcceptanceUnknown",
    "BeyondRate",
    "BodyTooLarge",
    "CountUnknown",
    "ExceedsMaximum",
    "GuardFailed",
    "JobUnknown",
    "KeyUnknown",
    "NoSuchQueue",
    "NotAccepted",
    "PoolOutdated",
    "QueueFull",
    "StateUnknown",
    "TooLate",
]


# Outages of the store last seconds, and a host that has no configuration yet reads it
# within one second.
_RETRY_AFTER_SECONDS = 1


class NoSuchQueue(PapayapickError):
    """Report a host name and path that belong to no queue."""

    code = "entry.no-queue"
    template = "no queue serves {host}{path}"
    status = "404 Not Found"


class KeyUnknown(PapayapickError):
    """Report a request without the key of a team, where its queue requires one."""

    code = "entry.key-unknown"
    template = "queue {queue} requires a key of a team; {found}"
    status = "401 Unauthorized"


class JobUnknown(PapayapickError):
    """Report an id under which no job was accepted."""

    code = "entry.no-job"
    template = "no job {identifier}"
    status = "410 Gone"


class BodyTooLarge(PapayapickError):
    """Report a request body that exceeds the configured limit."""

    code = "entry.body-too-large"
    template = "the body has {size} bytes, allowed are {limit}"
    status = "413 Content Too Large"


class NotAccepted(PapayapickError):
    """Report that a job was not accepted and does not run unless sent again."""

    code = "entry.not-accepted"
    template = "not accepted: {reason}"
    status = "503 Service Unavailable"
    retry_after = _RETRY_AFTER_SECONDS


class GuardFailed(PapayapickError):
    """Report that a write was not made since its second condition did not hold."""

    code = "entry.guard-failed"
    template = "another host has changed the row on which a write depends"


class PoolOutdated(NotAccepted):
    """Report that a newer configuration has given a job's queue another pool."""

    template = "not accepted: a newer configuration gives queue {queue} another pool"


class QueueFull(RetryAfter, PapayapickError):
    """Report that a job was not accepted because its queue's backlog is too long."""

    code = "entry.queue-full"
    template = "queue {queue} takes no new jobs for {retry_after} s"
    status = "429 Too Many Requests"


class TooLate(RetryAfter, PapayapickError):
    """Report a job that would be done when its caller has no more use for it."""

    code = "entry.too-late"
    template = "queue {queue} has too much work before it to do the job in time"
    status = "429 Too Many Requests"
    reason = RefusalReason.TOO_LATE


class BeyondRate(RetryAfter, PapayapickError):
    """Report a job beyond its team's rate that would wait in vain."""

    code = "entry.beyond-rate"
    template = "team {team} is beyond its rate, and queue {queue} has no room to spare"
    status = "429 Too Many Requests"
    reason = RefusalReason.BEYOND_RATE


class ExceedsMaximum(PapayapickError):
    """Report a job that could not start if its team had nothing else running."""

    code = "entry.exceeds-maximum"
    template = "step {step} needs more than team {team} may have running"
    status = "429 Too Many Requests"


class StateUnknown(PapayapickError):
    """Report that the state of a job cannot be read now; nothing was changed."""

    code = "entry.state-unknown"
    template = "the store can't be read"
    status = "503 Service Unavailable"
    retry_after = _RETRY_AFTER_SECONDS


class CountUnknown(PapayapickError):
    """Report that this host has no recent count of a queue's waiting jobs."""

    code = "entry.count-unknown"
    template = "no fresh count of pool {pool}; seconds old: {age_seconds}"
    status = "503 Service Unavailable"
    retry_after = _RETRY_AFTER_SECONDS


class AcceptanceUnknown(PapayapickError):
    """Report that the outcome of a request is unknown; it may be sent again."""

    code = "entry.unknown"
    template = "the store did not answer; send the request again"
    status = "504 Gateway Timeout"
