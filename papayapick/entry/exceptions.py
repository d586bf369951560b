"""Errors of an entry host towards its callers."""

from papayapick.exceptions import PapayapickError, RetryAfter

__all__ = [
    "AcceptanceUnknown",
    "BodyTooLarge",
    "CountUnknown",
    "JobUnknown",
    "NoSuchQueue",
    "NotAccepted",
    "QueueFull",
    "StateUnknown",
]


# When to come back: outages of the store last seconds, and a host that has no
# configuration yet reads it within one.
_RETRY_AFTER_SECONDS = 1


class NoSuchQueue(PapayapickError):
    """Report a path that no queue serves."""

    code = "entry.no-queue"
    template = "no queue serves {host}{path}"
    status = "404 Not Found"


class JobUnknown(PapayapickError):
    """Report an id under which no job was accepted."""

    code = "entry.no-job"
    template = "no job {identifier}"
    status = "410 Gone"


class BodyTooLarge(PapayapickError):
    """Report a body over the configured limit."""

    code = "entry.body-too-large"
    template = "the body has {size} bytes, allowed are {limit}"
    status = "413 Content Too Large"


class NotAccepted(PapayapickError):
    """Report a job that was not accepted and never runs under this request."""

    code = "entry.not-accepted"
    template = "not accepted: {reason}"
    status = "503 Service Unavailable"
    retry_after = _RETRY_AFTER_SECONDS


class QueueFull(RetryAfter, PapayapickError):
    """Report a queue whose backlog takes too long; the job was not accepted."""

    code = "entry.queue-full"
    template = "queue {queue} takes no new jobs for {retry_after} s"
    status = "429 Too Many Requests"


class StateUnknown(PapayapickError):
    """Report that a state can't be told now; nothing was changed."""

    code = "entry.state-unknown"
    template = "the store can't be read"
    status = "503 Service Unavailable"
    retry_after = _RETRY_AFTER_SECONDS


class CountUnknown(PapayapickError):
    """Report that it isn't known here how many jobs of a queue wait."""

    code = "entry.count-unknown"
    template = "no fresh count of pool {pool}; seconds old: {age_seconds}"
    status = "503 Service Unavailable"
    retry_after = _RETRY_AFTER_SECONDS


class AcceptanceUnknown(PapayapickError):
    """Report a request whose effect is not known; it may be sent again."""

    code = "entry.unknown"
    template = "the store did not answer; send the request again"
    status = "504 Gateway Timeout"
