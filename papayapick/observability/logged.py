"""Read the lines that the programs have logged."""

import json

__all__ = ["Line", "clock_time", "read_lines", "seconds_of_day"]


class Line:
    """Hold one line of a log.

    Parameters
    ----------
    fields : dict
        As decoded; ``event`` and ``time`` are there.
    """

    __slots__ = ("event", "fields", "host", "time")

    def __init__(self, fields):
        self.fields = fields
        self.event = fields["event"]
        self.host = fields.get("host", "")
        self.time = fields["time"]

    def names(self, request_id):
        """Return whether the line is about a request."""
        named = self.fields.get("request_ids") or ()
        return self.fields.get("request_id") == request_id or request_id in named

    def shown(self):
        """Return its own fields as text, without those that each line has."""
        common = ("time", "level", "event", "host", "zone", "request_id")
        own = {key: one for key, one in self.fields.items() if key not in common}
        return " ".join(f"{key}={json.dumps(one)}" for key, one in own.items())


def read_lines(texts):
    """Return the lines of several logs, in the order of their times.

    Parameters
    ----------
    texts : iterable of str
        Lines; those that are no JSON object of this project are left out. Something
        may stand before the object, such as the name of a host.

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
        except ValueError:
            # A line that was cut off, or one of another program.
            continue
        if isinstance(fields, dict) and {"event", "time"} <= fields.keys():
            found.append(Line(fields))
    return sorted(found, key=lambda line: line.time)


def seconds_of_day(text):
    """Return the time of day of a line as seconds.

    Examples
    --------
    >>> seconds_of_day("2026-03-08 00:01:02,500")
    62.5
    """
    clock = text.split(" ")[-1].replace(",", ".")
    hours, minutes, seconds = clock.split(":")
    return 3600 * int(hours) + 60 * int(minutes) + float(seconds)


def clock_time(seconds):
    """Return seconds of the day as a time of day.

    Examples
    --------
    >>> clock_time(3723)
    '01:02:03'
    """
    minutes, second = divmod(int(seconds), 60)
    hour, minute = divmod(minutes, 60)
    return f"{hour:02}:{minute:02}:{second:02}"
