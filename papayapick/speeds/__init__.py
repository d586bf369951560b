"""How fast the workers of a pool are, learned from the runs of tasks."""

from papayapick.speeds.types import SpeedSource, SpeedTier, UnknownSpeeds
from papayapick.speeds.workers import WorkerSpeeds

__all__ = ["SpeedSource", "SpeedTier", "UnknownSpeeds", "WorkerSpeeds"]
