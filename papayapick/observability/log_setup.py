"""Configure gateway and placer to log JSON lines to standard error."""

import logging
import sys

from opentelemetry import trace
from pythonjsonlogger.json import JsonFormatter

from papayapick.observability.fields import current_fields

__all__ = ["configure_logs"]

_FORMAT = "%(asctime)s %(levelname)s %(name)s %(message)s"
_SETTINGS_BY_FIELD = {"cell": "cell", "host": "host_name", "zone": "availability_zone"}


class _FieldFilter(logging.Filter):
    """Add trace id, request, shard, epoch and bundle sequence to each record."""

    def filter(self, record):
        context = trace.get_current_span().get_span_context()
        if context.is_valid:
            record.trace_id = format(context.trace_id, "032x")
        for name, value in current_fields().items():
            # A field of the line itself takes precedence over the context's.
            if not hasattr(record, name):
                setattr(record, name, value)
        return True


def configure_logs(settings, program, stream=None):
    """Configure the package's loggers to write JSON lines.

    Parameters
    ----------
    settings : Settings
    program : str
        Name of the program, written on each line.
    stream : file, optional
        Standard error by default.
    """
    handler = logging.StreamHandler(stream or sys.stderr)
    static = {
        name: getattr(settings, setting)
        for name, setting in _SETTINGS_BY_FIELD.items()
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
