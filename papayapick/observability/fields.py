"""Keep the fields that are added to each log line of a request or a process."""

import contextlib
import contextvars

__all__ = ["current_fields", "log_fields", "note_fields", "set_process_fields"]

_request_fields = contextvars.ContextVar("papayapick_log_fields", default=None)
_process_fields = {}


def set_process_fields(**fields):
    """Set fields for all later lines of this process, such as the bundle's sequence."""
    _process_fields.update(fields)


@contextlib.contextmanager
def log_fields(**fields):
    """Add fields to each line that the current task logs within the context.

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
    innermost = _request_fields.get()
    if innermost is not None:
        innermost.update(fields)


def current_fields():
    """Return the fields of the process and of the current task."""
    return {**_process_fields, **(_request_fields.get() or {})}
