"""Errors of the limits."""

from papayapick.exceptions import PapayapickError

__all__ = ["CallerOverLimit", "LimitError"]


class LimitError(PapayapickError):
    """Stand for any refusal by a limit; the work did not run."""

    code = "limits.error"
    outcome = "not_run"


class CallerOverLimit(LimitError):
    """Report a caller that sends more than its rate."""

    code = "limits.caller-over-limit"
    template = "caller {caller} is over its rate; come back in {retry_after:.3f} s"

    @property
    def retry_after(self):
        """Return the seconds until the caller has a token again."""
        return self._details["retry_after"]
