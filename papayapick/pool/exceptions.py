"""Errors of the owner of a pool."""

from papayapick.exceptions import PapayapickError

__all__ = ["AdviceNotNeeded"]


class AdviceNotNeeded(PapayapickError):
    """Report a question that was not asked: its step is over or has another owner."""

    code = "pool.advice-not-needed"
    template = "advice on {step} is not needed any more"
