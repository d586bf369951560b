"""Jobs of steps: their documents, their state and the effects of each run's outcome.

This package needs neither daemons nor a platform: its caller places the tasks.
"""

from papayapick.jobs.documents import JobDocument, Step, StepKey, TaskKey
from papayapick.jobs.queues import AdvicePolicy, CellConfiguration, Queue
from papayapick.jobs.records import progress_record, restore_progress
from papayapick.jobs.registry import JobRegistry
from papayapick.jobs.runs import EndedRun, RequeueReason, Run, RunPhase
from papayapick.jobs.state import JobState, JobStatus, StepState, TaskState

__all__ = [
    "AdvicePolicy",
    "CellConfiguration",
    "JobRegistry",
    "JobDocument",
    "JobState",
    "JobStatus",
    "Queue",
    "EndedRun",
    "RequeueReason",
    "Run",
    "RunPhase",
    "Step",
    "StepKey",
    "StepState",
    "TaskKey",
    "TaskState",
    "progress_record",
    "restore_progress",
]
