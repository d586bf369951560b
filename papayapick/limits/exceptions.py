"""Errors of the limits."""

from papayapick.exceptions import PapayapickError, RetryAfter

__all__ = ["CallerOverLimit", "LimitError"]


class LimitError(PapayapickError):
    """Stand for any refusal by a limit; the work did not run."""

    code = "limits.error"
    outcome = "not_run"


class CallerOverLimit(RetryAfter, LimitError):
    """Report a caller that sends more than its rate."""

    code = "limits.caller-over-limit"
    template = "caller {caller} is over its rate; come back in {retry_after:.3f} s"
