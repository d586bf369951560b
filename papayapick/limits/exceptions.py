"""Errors of the limits."""

from papayapick.exceptions import PapayapickError, RetryAfter

__all__ = ["CallerOverLimit", "LimitError"]


class LimitError(PapayapickError):
    """Base class of the refusals by a limit; the work did not run."""

    code = "limits.error"
    outcome = "not_run"


class CallerOverLimit(RetryAfter, LimitError):
    """Report a caller that exceeds its rate."""

    code = "limits.caller-over-limit"
    template = "caller {caller} exceeds its rate; retry after {retry_after:.3f} s"
