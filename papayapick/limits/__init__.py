"""Bound rates, retries and waiting."""

from papayapick.limits.buckets import CallerLimits, TokenBucket
from papayapick.limits.exceptions import CallerOverLimit, LimitError
from papayapick.limits.pauses import PauseGuard
from papayapick.limits.retries import RetryBudget

__all__ = [
    "CallerLimits",
    "CallerOverLimit",
    "LimitError",
    "PauseGuard",
    "RetryBudget",
    "TokenBucket",
]
