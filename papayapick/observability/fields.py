"""Carry the fields that every log line of a request or process has."""

import contextlib
import contextvars

__all__ = ["current_fields", "log_fields", "note_fields", "set_process_fields"]

_request_fields = contextvars.ContextVar("papayapick_log_fields", default=None)
_process_fields = {}


def set_process_fields(**fields):
    """Set fields of each later line of this process, such as the bundle's sequence."""
    _process_fields.update(fields)


@contextlib.contextmanager
def log_fields(**fields):
    """Add fields to each line that the current task writes meanwhile.

    Examples
    --------
    >>> with log_fields(request_id="r1"):
    ...     note_fields(shard="hobart-a.0")
    ...     found = current_fields()
    >>> found["request_id"], found["shard"], "shard" in current_fields()
    ('r1', 'hobart-a.0', False)
    """
    token = _request_fields.set({**(_request_fields.get() or {}), **fields})
    try:
        yield
    finally:
        _request_fields.reset(token)


def note_fields(**fields):
    """Add fields to the innermost ``log_fields`` of the current task, if any."""
    found = _request_fields.get()
    if found is not None:
        found.update(fields)


def current_fields():
    """Return the fields of a line written now."""
    return {**_process_fields, **(_request_fields.get() or {})}
