"""Errors of an entry host towards its callers."""

from papayapick.exceptions import PapayapickError

__all__ = [
    "AcceptanceUnknown",
    "BodyTooLarge",
    "JobUnknown",
    "NoSuchQueue",
    "NotAccepted",
    "StateUnknown",
]


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


class StateUnknown(PapayapickError):
    """Report that a state can't be told now; nothing was changed."""

    code = "entry.state-unknown"
    template = "the store can't be read"
    status = "503 Service Unavailable"


class AcceptanceUnknown(PapayapickError):
    """Report a request whose effect is not known; it may be sent again."""

    code = "entry.unknown"
    template = "the store did not answer; send the request again"
    status = "504 Gateway Timeout"
