"""Choose where work goes."""

from papayapick.placement.health import HealthRules, InstanceHealth
from papayapick.placement.instances import (
    HealthAware,
    InstancePolicy,
    LeastLoaded,
    PowerOfTwo,
    RandomInstance,
    RoundRobin,
)

__all__ = [
    "HealthAware",
    "HealthRules",
    "InstanceHealth",
    "InstancePolicy",
    "LeastLoaded",
    "PowerOfTwo",
    "RandomInstance",
    "RoundRobin",
]
