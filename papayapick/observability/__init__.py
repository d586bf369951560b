"""Logs, events, metrics and traces of the programs."""

import importlib

_HOMES = {
    "AccessLog": "access",
    "Metrics": "metrics",
    "Tracing": "traces",
    "configure_logs": "log_setup",
    "current_fields": "fields",
    "get_logger": "logs",
    "log_fields": "fields",
    "note_fields": "fields",
    "set_process_fields": "fields",
}

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


def __getattr__(name):
    """Load a name from its module when it is first asked for.

    The tracing library costs 26 of the 177 ms of an entry host's imports, and the
    entry host names loggers and events only.
    """
    if name not in _HOMES:
        raise AttributeError(name)
    return getattr(importlib.import_module(f"{__name__}.{_HOMES[name]}"), name)
