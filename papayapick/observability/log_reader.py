"""Read the lines that the programs have logged."""

import json
from datetime import UTC, datetime

__all__ = ["Line", "read_lines"]


class Line:
    """Hold one line of a log.

    Parameters
    ----------
    fields : dict
        As decoded; ``event`` and ``time`` are there.

    Attributes
    ----------
    seconds : float
        Its time, counted from one moment for all days. Clocks are taken for UTC where
        the time names no zone.

    Raises
    ------
    ValueError
        Where its time is none.
    """

    __slots__ = ("event", "fields", "host", "seconds", "time")

    def __init__(self, fields):
        self.fields = fields
        self.event = fields["event"]
        self.host = fields.get("host", "")
        self.time = fields["time"]
        self.seconds = _seconds(self.time)

    def mentions(self, request_id):
        """Return whether the line is about a request."""
        named = self.fields.get("request_ids") or ()
        return self.fields.get("request_id") == request_id or request_id in named

    def format_fields(self):
        """Return its own fields as text, without those that each line has."""
        common = ("time", "level", "event", "host", "zone", "request_id")
        own = {key: one for key, one in self.fields.items() if key not in common}
        return " ".join(f"{key}={json.dumps(one)}" for key, one in own.items())


def read_lines(texts):
    """Return the lines of several logs, in the order of their times.

    Parameters
    ----------
    texts : iterable of str
        Lines; those that are no JSON object of this project, with event and time, are
        left out. Something may stand before the object, such as the name of a host.

    Returns
    -------
    list of Line
        Clocks of hosts may differ by seconds: lines of different hosts that are close
        to each other may stand in the wrong order.
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
            # A line that was cut off, or one of another program.
            continue
    return sorted(found, key=lambda line: line.seconds)


def _seconds(text):
    moment = datetime.fromisoformat(text)
    if moment.tzinfo is None:
        moment = moment.replace(tzinfo=UTC)
    return moment.timestamp()
