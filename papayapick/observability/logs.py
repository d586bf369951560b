"""Write logs as JSON lines."""

import logging
import sys

from opentelemetry import trace
from pythonjsonlogger.json import JsonFormatter

__all__ = ["configure_logs", "get_logger"]

_FORMAT = "%(asctime)s %(levelname)s %(name)s %(message)s"


class _TraceFilter(logging.Filter):
    """Add the trace id of the current span to each record."""

    def filter(self, record):
        context = trace.get_current_span().get_span_context()
        if context.is_valid:
            record.trace_id = format(context.trace_id, "032x")
        return True


def configure_logs(settings, program):
    """Send JSON lines to standard error.

    Parameters
    ----------
    settings : Settings
    program : str
        Written on each line.
    """
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(
        JsonFormatter(
            _FORMAT,
            rename_fields={"asctime": "time", "levelname": "level"},
            static_fields={"program": program, "cell": settings.cell},
        )
    )
    handler.addFilter(_TraceFilter())
    root = logging.getLogger("papayapick")
    root.handlers = [handler]
    root.setLevel(settings.log_level.upper())
    root.propagate = False


def get_logger(name):
    """Return the logger of a module, below ``papayapick``."""
    return logging.getLogger(name)
