"""Decide where and when the jobs and service calls of gateways and placers run.

A shard's queue chooses the jobs that start or pause next, by urgency, deadline and
quota, and reserves room for all members of a job at once. Policies choose the host of a
task and the instance for a call; hosts and instances that fail are avoided.
"""

from papayapick.placement.requests.failures import FailureTracker
from papayapick.placement.requests.health import HealthRules, InstanceHealth
from papayapick.placement.requests.host_policies import (
    BestFit,
    FirstFit,
    HostPolicy,
    LeastLoadedHost,
    RandomFit,
)
from papayapick.placement.requests.instances import (
    HealthAware,
    InstancePolicy,
    LeastLoaded,
    PowerOfTwo,
    RandomInstance,
    RoundRobin,
)
from papayapick.placement.requests.jobs import (
    ArrivalOrder,
    DeadlineOrder,
    JobOrder,
    Place,
    RunningJob,
    WaitingJob,
)
from papayapick.placement.requests.queue import JobQueue
from papayapick.placement.requests.starts import (
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
    "JobOrder",
    "JobQueue",
    "LeastLoadedHost",
    "Place",
    "RandomFit",
    "RunningJob",
    "StartPolicy",
    "BestFit",
    "WaitingJob",
]
