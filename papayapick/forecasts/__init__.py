"""When tasks and jobs are expected to end."""

from papayapick.forecasts.task_times import TaskTimes
from papayapick.forecasts.types import DeclaredTimes, TaskTimeSource

__all__ = ["DeclaredTimes", "TaskTimeSource", "TaskTimes"]
