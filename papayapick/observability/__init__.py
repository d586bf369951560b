"""Logs, metrics and traces of the programs."""

from papayapick.observability.access import AccessLog
from papayapick.observability.fields import (
    current_fields,
    log_fields,
    note_fields,
    set_process_fields,
)
from papayapick.observability.logs import configure_logs, get_logger
from papayapick.observability.metrics import Metrics
from papayapick.observability.traces import Tracing

__all__ = [
    "AccessLog",
    "Metrics",
    "Tracing",
    "configure_logs",
    "current_fields",
    "get_logger",
    "log_fields",
    "note_fields",
    "set_process_fields",
]
