"""Write the logs of gateway and placer as JSON lines to standard error."""

import logging
import sys

from opentelemetry import trace
from pythonjsonlogger.json import JsonFormatter

from papayapick.observability.fields import current_fields

__all__ = ["configure_logs"]

_FORMAT = "%(asctime)s %(levelname)s %(name)s %(message)s"
_STATIC = {"cell": "cell", "host": "host_name", "zone": "availability_zone"}


class _FieldFilter(logging.Filter):
    """Add trace id, request, shard, epoch and bundle sequence to each record."""

    def filter(self, record):
        context = trace.get_current_span().get_span_context()
        if context.is_valid:
            record.trace_id = format(context.trace_id, "032x")
        for name, value in current_fields().items():
            # What the line itself names goes before what surrounds it.
            if not hasattr(record, name):
                setattr(record, name, value)
        return True


def configure_logs(settings, program, stream=None):
    """Send JSON lines to standard error.

    Parameters
    ----------
    settings : Settings
    program : str
        Written on each line.
    stream : file, optional
    """
    handler = logging.StreamHandler(stream or sys.stderr)
    static = {
        name: getattr(settings, setting)
        for name, setting in _STATIC.items()
        if hasattr(settings, setting)
    }
    handler.setFormatter(
        JsonFormatter(
            _FORMAT,
            rename_fields={"asctime": "time", "levelname": "level"},
            static_fields={"program": program, **static},
        )
    )
    handler.addFilter(_FieldFilter())
    root = logging.getLogger("papayapick")
    root.handlers = [handler]
    root.setLevel(settings.log_level.upper())
    root.propagate = False
