"""Share the room of a cell among teams, with borrowing that is given back."""

from papayapick.quotas.queries import fairness_index
from papayapick.quotas.shares import QuotaTracker

__all__ = ["QuotaTracker", "fairness_index"]
