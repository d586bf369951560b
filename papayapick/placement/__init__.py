"""Choose where work goes."""

from papayapick.placement.instances import (
    InstancePolicy,
    LeastLoaded,
    PowerOfTwo,
    RoundRobin,
)

__all__ = ["InstancePolicy", "LeastLoaded", "PowerOfTwo", "RoundRobin"]
