"""Rate limits, retry budgets, attempt timeouts and the detection of pauses."""

from papayapick.limits.buckets import CallerLimits, TokenBucket
from papayapick.limits.exceptions import CallerOverLimit, LimitError
from papayapick.limits.pauses import PauseDetector
from papayapick.limits.retries import RetryBudget, RetryBudgets
from papayapick.limits.timeouts import AttemptTimeouts

__all__ = [
    "AttemptTimeouts",
    "CallerLimits",
    "CallerOverLimit",
    "LimitError",
    "PauseDetector",
    "RetryBudget",
    "RetryBudgets",
    "TokenBucket",
]
