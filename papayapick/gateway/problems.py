"""Answers to callers; errors are reported as problem details (RFC 9457)."""

import json
import math

from papayapick.wire import PeerRefused

__all__ = ["Answer", "problem"]

PROBLEM_TYPE = "application/problem+json"
_TYPE_PREFIX = "urn:papayapick:problem:"
_DEFAULT_STATUS = 503
_STATUSES = {
    "request.invalid": 400,
    "request.deadline-past": 400,
    "request.key-missing": 400,
    "request.service-unknown": 404,
    "request.path-unknown": 404,
    "request.body-too-large": 413,
    "request.members-over-limit": 422,
    "ledger.never-fits": 422,
    "journal.key-reused": 409,
    "journal.work-unknown": 404,
    "limits.caller-over-limit": 429,
    "request.gateway-full": 503,
    "membership.shard-unserved": 503,
    "call.backend-failed": 502,
    "call.answer-missing": 504,
    "wire.peer-timeout": 504,
    "wire.peer-disconnected": 504,
    "papayapick.error": 500,
}


class Answer:
    """Hold one complete answer to a caller.

    Parameters
    ----------
    status : int
    content_type : str
    body : bytes
    headers : list of (str, str)
    outcome : str
        Outcome of the work, for logs and metrics.
    """

    __slots__ = ("body", "content_type", "headers", "outcome", "status")

    def __init__(self, status, content_type, body, headers=(), outcome="done"):
        self.status = status
        self.content_type = content_type
        self.body = body
        self.headers = list(headers)
        self.outcome = outcome

    @classmethod
    def from_json(cls, status, value, headers=(), outcome="done"):
        """Build an answer with a JSON body."""
        return cls(
            status, "application/json", json.dumps(value).encode(), headers, outcome
        )


def problem(error, request_id, fallback_outcome="not_run"):
    """Return the answer that reports an error to a caller.

    Parameters
    ----------
    error : PapayapickError
    request_id : str
    fallback_outcome : {"not_run", "unknown", "failed"}
        Outcome of the work if the error does not state it.

    Returns
    -------
    Answer
    """
    code = error.refusal_code if isinstance(error, PeerRefused) else error.code
    outcome = getattr(error, "outcome", fallback_outcome)
    retry_after = getattr(error, "retry_after", 0)
    status = _STATUSES.get(code, _DEFAULT_STATUS)
    body = {
        "type": _TYPE_PREFIX + code,
        "title": code.replace(".", ": ").replace("-", " "),
        "status": status,
        "detail": str(error),
        "outcome": outcome,
        "request": request_id,
    }
    headers = []
    if retry_after:
        headers.append(("Retry-After", str(math.ceil(retry_after))))
        body["retry_after_milliseconds"] = round(retry_after * 1000)
    return Answer(status, PROBLEM_TYPE, json.dumps(body).encode(), headers, outcome)
