"""Correct declared sizes by what tasks were seen to use."""

from papayapick.estimates.policies import (
    DeclaredEstimate,
    EstimatePolicy,
    ObservedQuantile,
)

__all__ = ["DeclaredEstimate", "EstimatePolicy", "ObservedQuantile"]
