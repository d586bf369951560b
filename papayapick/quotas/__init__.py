"""Quotas, which divide the capacity of a cell among teams and allow borrowing."""

from papayapick.quotas.entitlements import Entitlements
from papayapick.quotas.queries import fairness_index
from papayapick.quotas.shares import QuotaTracker
from papayapick.quotas.teams import Team, TeamDirectory, key_digest
from papayapick.quotas.usage import TeamUsage

__all__ = [
    "Entitlements",
    "QuotaTracker",
    "Team",
    "TeamDirectory",
    "TeamUsage",
    "fairness_index",
    "key_digest",
]
