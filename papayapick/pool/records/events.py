"""Events about what an owner hands on to the next one."""

import logging

from papayapick.observability.events import Event

__all__ = ["MEMORY_LEFT_OUT", "MEMORY_RESTORED"]

MEMORY_RESTORED = Event(
    "memory restored",
    "pool part age_seconds",
    "An owner continues from what an earlier one had learned.",
)
MEMORY_LEFT_OUT = Event(
    "memory left out",
    "pool part age_seconds reason",
    "What an earlier owner had learned is too old, of another version or unreadable. "
    "This part begins without it.",
    level=logging.WARNING,
)
