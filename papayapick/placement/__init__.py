"""Choose where work goes."""

from papayapick.placement.failures import FailureBook
from papayapick.placement.health import HealthRules, InstanceHealth
from papayapick.placement.instances import (
    HealthAware,
    InstancePolicy,
    LeastLoaded,
    PowerOfTwo,
    RandomInstance,
    RoundRobin,
)
from papayapick.placement.jobs import (
    ArrivalOrder,
    DeadlineOrder,
    JobOrder,
    Place,
    RunningJob,
    WaitingJob,
)
from papayapick.placement.queue import JobQueue
from papayapick.placement.starts import (
    Backfill,
    FirstComeFirstServed,
    FirstThatFits,
    StartPolicy,
)
from papayapick.placement.tasks import (
    FirstFit,
    HostPolicy,
    LeastLoadedHost,
    RandomFit,
    Tightest,
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
    "ArrivalOrder",
    "Backfill",
    "DeadlineOrder",
    "FailureBook",
    "FirstComeFirstServed",
    "FirstFit",
    "FirstThatFits",
    "HostPolicy",
    "InstancePolicy",
    "JobOrder",
    "JobQueue",
    "LeastLoaded",
    "LeastLoadedHost",
    "Place",
    "PowerOfTwo",
    "RandomFit",
    "RoundRobin",
    "RunningJob",
    "StartPolicy",
    "Tightest",
    "WaitingJob",
]
