"""Errors that the gateway returns to callers."""

from papayapick.exceptions import PapayapickError, RetryAfter

__all__ = [
    "BackendFailed",
    "BodyTooLarge",
    "CallAnswerMissing",
    "DeadlinePast",
    "GatewayError",
    "GatewayFull",
    "KeyMissing",
    "OwnerMissing",
    "PathUnknown",
    "RequestInvalid",
    "ServiceNotInBundle",
    "TooManyMembers",
]


class GatewayError(PapayapickError):
    """Base class of refusals by the gateway; the work was not run."""

    code = "request.error"
    outcome = "not_run"


class RequestInvalid(GatewayError):
    """Report a malformed request."""

    code = "request.invalid"
    template = "{place}: {reason}"


class BodyTooLarge(GatewayError):
    """Report a body over the limit."""

    code = "request.body-too-large"
    template = "the body has {size} bytes; the limit is {limit}"


class ServiceNotInBundle(GatewayError):
    """Report a service or job that is not in the bundle."""

    code = "request.service-unknown"
    template = "{name} is not in the bundle"


class KeyMissing(GatewayError):
    """Report non-repeatable work without an idempotency key."""

    code = "request.key-missing"
    template = "{name} is not repeatable and requires the header Idempotency-Key"


class DeadlinePast(GatewayError):
    """Report a request whose deadline has expired before it could be processed."""

    code = "request.deadline-past"
    template = "the deadline has expired already"


class TooManyMembers(GatewayError):
    """Report a job with more members than its policy allows."""

    code = "request.members-over-limit"
    template = "the job has {members} members; the limit is {limit}"


class GatewayFull(RetryAfter, GatewayError):
    """Report a gateway whose queue of waiting requests is full."""

    code = "request.gateway-full"
    template = "the queue of this gateway is full; retry in {retry_after:.3f} s"


class PathUnknown(GatewayError):
    """Report a path or method that the interface does not support."""

    code = "request.path-unknown"
    template = "{method} {path} does not exist"


class BackendFailed(GatewayError):
    """Report a backend server that answered with a server error."""

    code = "call.backend-failed"
    template = "the backend server answered with status {status}"
    outcome = "failed"


class CallAnswerMissing(GatewayError):
    """Report a call that was sent but got no complete answer."""

    code = "call.answer-missing"
    template = "the backend server sent no complete answer in time"
    outcome = "unknown"
    retry_after = 1.0


class OwnerMissing(GatewayError):
    """Report a key whose shard has no known owner at present.

    An earlier request under the key may have been accepted, so the outcome can't
    be reported as "not run".
    """

    code = "request.owner-missing"
    template = (
        "the state of request {request_id} is unknown while its shard has no owner"
    )
    outcome = "unknown"
    retry_after = 1.0
