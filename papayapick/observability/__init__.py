"""Logs, events, metrics and traces of the programs."""

import importlib

_MODULES = {
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
    """Import the module of a name on first access.

    The tracing library takes 26 of the 177 ms that an entry host spends on imports,
    and an entry host uses loggers and events only.
    """
    if name not in _MODULES:
        raise AttributeError(name)
    return getattr(importlib.import_module(f"{__name__}.{_MODULES[name]}"), name)
