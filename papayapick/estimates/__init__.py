"""Estimates of the resource usage of tasks, from declared and observed amounts."""

from papayapick.estimates.policies import (
    DeclaredEstimate,
    EstimatePolicy,
    ObservedQuantile,
)

__all__ = ["DeclaredEstimate", "EstimatePolicy", "ObservedQuantile"]
