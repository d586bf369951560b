"""Correct declared sizes by what tasks were seen to use."""

from papayapick.estimates.policies import (
    EstimatePolicy,
    ObservedQuantile,
    TrustDeclared,
)

__all__ = ["EstimatePolicy", "ObservedQuantile", "TrustDeclared"]
