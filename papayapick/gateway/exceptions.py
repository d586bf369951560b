"""Errors that callers meet."""

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
    """Stand for any refusal at the gateway; the work did not run."""

    code = "request.error"
    outcome = "not_run"


class RequestInvalid(GatewayError):
    """Report a request that is not well formed."""

    code = "request.invalid"
    template = "{place}: {reason}"


class BodyTooLarge(GatewayError):
    """Report a body over the limit."""

    code = "request.body-too-large"
    template = "the body has {size} bytes, allowed are {limit}"


class ServiceNotInBundle(GatewayError):
    """Report a service or job that the bundle does not name."""

    code = "request.service-unknown"
    template = "{name} is not in the bundle"


class KeyMissing(GatewayError):
    """Report work not to be repeated that came without an idempotency key."""

    code = "request.key-missing"
    template = "{name} is not to be repeated and needs the header Idempotency-Key"


class DeadlinePast(GatewayError):
    """Report a request whose deadline was over when it came."""

    code = "request.deadline-past"
    template = "the deadline is over already"


class TooManyMembers(GatewayError):
    """Report a job with more members than its policy allows."""

    code = "request.members-over-limit"
    template = "{members} members, allowed are {limit}"


class GatewayFull(RetryAfter, GatewayError):
    """Report a gateway at which too many requests wait already."""

    code = "request.gateway-full"
    template = "this gateway has no thread free; come back in {retry_after:.3f} s"


class PathUnknown(GatewayError):
    """Report a path or method that the interface does not have."""

    code = "request.path-unknown"
    template = "there is no {method} {path}"


class BackendFailed(GatewayError):
    """Report a backend server that answered with an error of its own."""

    code = "call.backend-failed"
    template = "the backend server answered {status}"
    outcome = "failed"


class CallAnswerMissing(GatewayError):
    """Report a call that was sent and got no whole answer."""

    code = "call.answer-missing"
    template = "the backend server gave no whole answer in time"
    outcome = "unknown"
    retry_after = 1.0


class OwnerMissing(GatewayError):
    """Report a key whose shard nobody serves just now.

    An earlier request under the key may have been taken on, so "not run" would
    be no certain word.
    """

    code = "request.owner-missing"
    template = "nobody can tell now what became of key of request {request_id}"
    outcome = "unknown"
    retry_after = 1.0
