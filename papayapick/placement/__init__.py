"""Decide where and when jobs, tasks and service calls run."""

from papayapick.placement.failures import FailureTracker
from papayapick.placement.health import HealthRules, InstanceHealth
from papayapick.placement.host_policies import (
    BestFit,
    FirstFit,
    HostPolicy,
    LeastLoadedHost,
    RandomFit,
)
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
    "FailureTracker",
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
    "BestFit",
    "WaitingJob",
]
