"""Put the lines that several hosts wrote about one request in order, and explain it."""

import json

__all__ = ["Line", "Story", "read_lines"]

# Most telling first: what made a request fail or wait.
_CAUSES = (
    "runs lost with their worker",
    "start unanswered",
    "run ended",
    "run replaced",
    "stopped for an urgent task",
    "step waits",
    "start refused",
    "no advice",
    "write unsettled",
    "pool taken",
    "commit put off",
    "store lost",
)
# Beside those that name the request, these tell what happened around it.
_AROUND = (
    "pool taken",
    "pool left",
    "pool settled",
    "owner suspected",
    "store lost",
    "store found again",
    "recording changed",
    "commit put off",
    "worker silent",
)
_MILESTONES = (
    "job accepted",
    "job taken in",
    "step placed",
    "run ended",
    "cancel stored",
    "job ended",
)
_REFUSED = "request refused"
_ACCEPTED = ("job accepted", "job known already")


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


class Story:
    """Hold what the logs say of one request.

    Parameters
    ----------
    request_id : str
    lines : list of Line
        In order.

    Attributes
    ----------
    own : list of Line
        Those that name the request.
    """

    __slots__ = ("_lines", "own", "request_id")

    def __init__(self, request_id, lines):
        self.request_id = request_id
        self._lines = lines
        self.own = [line for line in lines if line.names(request_id)]

    @property
    def status(self):
        """Return what became of the request, as far as the logs tell."""
        ended = self._last("job ended")
        if ended is not None:
            return ended.fields["status"]
        if any(line.event in _ACCEPTED for line in self.own):
            return "accepted"
        return "refused" if self._last(_REFUSED) is not None else "unknown"

    def around(self):
        """Return the lines between its first and last that tell of its surroundings."""
        if not self.own:
            return []
        first, last = self.own[0].time, self.own[-1].time
        return [
            line
            for line in self._lines
            if line.event in _AROUND
            and first <= line.time <= last
            and not line.names(self.request_id)
        ]

    def deciding(self):
        """Return the line that decided the outcome or the longest wait, or None.

        Returns
        -------
        Line or None
            Of a refused request its last refusal; of a failed job the failure that
            reached the limit; of a cancelled one its cancellation. Of any other job
            the most telling line within the longest time between two of its steps.
        """
        if not self.own:
            return None
        status = self.status
        if status == "refused":
            return self._last(_REFUSED)
        if status == "failed":
            return self._last_failure() or self.own[-1]
        if status == "cancelled":
            return self._last("cancel stored") or self._last("job ended")
        return self._cause_of_longest_wait()

    def _last(self, event):
        found = [line for line in self.own if line.event == event]
        return found[-1] if found else None

    def _last_failure(self):
        failures = [
            line
            for line in self.own
            if line.event == "run ended" and line.fields.get("outcome") == "failed"
        ]
        # Others of its tasks may fail after the one that decided.
        for line in failures:
            if line.fields["failures"] >= line.fields["failure_limit"]:
                return line
        return failures[-1] if failures else None

    def _cause_of_longest_wait(self):
        stages = [line for line in self.own if line.event in _MILESTONES]
        if len(stages) < 2:
            return self.own[-1]
        waits = [
            (_seconds(after.time) - _seconds(before.time), before, after)
            for before, after in zip(stages, stages[1:], strict=False)
        ]
        _, before, after = max(waits, key=lambda wait: wait[0])
        within = [
            line
            for line in [*self.own, *self.around()]
            if before.time <= line.time <= after.time
        ]
        for event in _CAUSES:
            for line in within:
                if line.event == event:
                    return line
        return after


def _seconds(text):
    """Return a time of day as seconds.

    Examples
    --------
    >>> _seconds("2026-03-08 00:01:02,500")
    62.5
    """
    clock = text.split(" ")[-1].replace(",", ".")
    hours, minutes, seconds = clock.split(":")
    return 3600 * int(hours) + 60 * int(minutes) + float(seconds)
