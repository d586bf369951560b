"""Read the log lines of the programs."""

import json
from datetime import UTC, datetime

__all__ = ["Line", "read_lines"]


class Line:
    """Hold one event from a log.

    Parameters
    ----------
    fields : dict
        The decoded JSON object, with at least ``event`` and ``time``.

    Attributes
    ----------
    seconds : float
        Its time in Unix seconds. A time without a zone is taken as UTC.

    Raises
    ------
    ValueError
        If its time is not in ISO 8601 format.
    """

    __slots__ = ("event", "fields", "host", "seconds", "time")

    def __init__(self, fields):
        self.fields = fields
        self.event = fields["event"]
        self.host = fields.get("host", "")
        self.time = fields["time"]
        self.seconds = _unix_seconds(self.time)

    def mentions(self, request_id):
        """Return whether the line names a request."""
        named = self.fields.get("request_ids") or ()
        return self.fields.get("request_id") == request_id or request_id in named

    def format_fields(self):
        """Return its fields as text, without those that all lines have."""
        common = ("time", "level", "event", "host", "zone", "request_id")
        own = {key: value for key, value in self.fields.items() if key not in common}
        return " ".join(f"{key}={json.dumps(value)}" for key, value in own.items())


def read_lines(texts):
    """Return the lines of several logs, sorted by time.

    Parameters
    ----------
    texts : iterable of str
        Lines. A line is skipped unless it holds a JSON object with ``event`` and
        ``time``; a prefix before the object, such as a host's name, is ignored.

    Returns
    -------
    list of Line
        Clocks of hosts may differ by seconds, so lines of different hosts that were
        written within seconds of each other may be in the wrong order.
    """
    found = []
    for text in texts:
        begin = text.find("{")
        if begin < 0:
            continue
        try:
            fields = json.loads(text[begin:])
            if isinstance(fields, dict) and {"event", "time"} <= fields.keys():
                found.append(Line(fields))
        except (TypeError, ValueError):
            # The line is truncated, or another program wrote it.
            continue
    return sorted(found, key=lambda line: line.seconds)


def _unix_seconds(text):
    parsed = datetime.fromisoformat(text)
    if parsed.tzinfo is None:
        parsed = parsed.replace(tzinfo=UTC)
    return parsed.timestamp()
