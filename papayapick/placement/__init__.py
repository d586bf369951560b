"""Choose where work goes."""

from papayapick.placement.instances import (
    InstancePolicy,
    LeastLoaded,
    PowerOfTwo,
    RoundRobin,
)
from papayapick.placement.tasks import (
    FirstFit,
    HostPolicy,
    LeastLoadedHost,
    RandomFit,
    Tightest,
)

__all__ = [
    "FirstFit",
    "HostPolicy",
    "InstancePolicy",
    "LeastLoaded",
    "LeastLoadedHost",
    "PowerOfTwo",
    "RandomFit",
    "RoundRobin",
    "Tightest",
]
