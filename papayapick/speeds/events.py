"""Events about the speeds of workers, which the owner of a pool logs."""

from papayapick.observability.events import Event

__all__ = ["SPEEDS_DIFFER"]

SPEEDS_DIFFER = Event(
    "speeds differ",
    "pool differ tiers",
    "The learned speeds of the workers began to differ by as much as callers notice, "
    "or no longer do; with the number of workers by class.",
)
