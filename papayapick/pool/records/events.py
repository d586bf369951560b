"""Events about the rows in which an owner keeps its state."""

import logging

from papayapick.observability.events import Event

__all__ = ["MEMORY_LEFT_OUT", "MEMORY_RESTORED", "RECORD_TOO_LARGE"]

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
RECORD_TOO_LARGE = Event(
    "record too large",
    "request_id pool bytes",
    "The record of a job is too large for any transaction. It is left out, so that the "
    "others are recorded; no ends are acknowledged until it is smaller or the job is "
    "cancelled.",
    level=logging.ERROR,
    per_second=1,
)
