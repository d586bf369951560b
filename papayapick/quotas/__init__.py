"""Quotas, which divide the capacity of a cell among teams and allow borrowing."""

from papayapick.quotas.queries import fairness_index
from papayapick.quotas.shares import QuotaTracker

__all__ = ["QuotaTracker", "fairness_index"]
