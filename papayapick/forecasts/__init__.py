"""When tasks and jobs are expected to end."""

from papayapick.forecasts.types import DeclaredTimes, TaskTimeSource

__all__ = ["DeclaredTimes", "TaskTimeSource"]
