"""What the owner of a pool has learned, for the decisions that use it."""

from papayapick.forecasts import TaskTimes
from papayapick.overload.features import OverloadFeatures
from papayapick.speeds import WorkerSpeeds

__all__ = ["PoolKnowledge"]


class PoolKnowledge:
    """Hold the sources of what is learned; each is replaced as a whole.

    Parameters
    ----------
    features : OverloadFeatures
    speeds : SpeedSource
    task_times : TaskTimeSource
    """

    __slots__ = ("features", "speeds", "task_times")

    def __init__(self, features, speeds, task_times):
        self.features = features
        self.speeds = speeds
        self.task_times = task_times

    @classmethod
    def from_settings(cls, settings):
        """Build what an owner knows when it takes a pool.

        Parameters
        ----------
        settings : PlatformSettings
        """
        features = OverloadFeatures.from_settings(settings)
        knowledge = cls(features, WorkerSpeeds(), None)
        knowledge.task_times = TaskTimes(knowledge)
        return knowledge
