"""Exceptions raised by the owner of a pool."""

from papayapick.exceptions import PapayapickError

__all__ = ["AdviceNotNeeded"]


class AdviceNotNeeded(PapayapickError):
    """Raise for a request for advice on a step that is over or has another owner."""

    code = "pool.advice-not-needed"
    template = "advice on {step} is no longer needed"
