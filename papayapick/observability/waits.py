"""Sum up from logs how long ready steps waited, by queue and reason."""

import collections

__all__ = ["Wait", "read_waits", "sum_spans", "sum_waits"]

# Beside the reasons that a waiting step is logged with.
_TAKING_IN = "owner"
_BRIEF = "brief"
_ROOM = "room"
_UNKNOWN_QUEUE = "unknown"
_WAITING = ("step waits", "step placed")
_OF_OWNERS = ("job taken in", *_WAITING, "run ended", "job ended")


class Wait:
    """Hold a span of time in which a step waited for one thing.

    Parameters
    ----------
    queue : str
    step : tuple of (str, int, int)
        Request id, occurrence and number.
    reason : str
        Of the line ``step waits``; ``owner`` from acceptance until an owner took the
        job in, ``brief`` for a wait that was too short to be logged by itself.
    begin, end : float
        As the seconds of lines.
    """

    __slots__ = ("begin", "end", "queue", "reason", "step")

    def __init__(self, queue, step, reason, begin, end):
        self.queue = queue
        self.step = step
        self.reason = reason
        self.begin = begin
        self.end = end


class _Reader:
    """Follow the lines about each step."""

    __slots__ = (
        "_accepted",
        "_ended",
        "_looked_at",
        "_open",
        "_owned",
        "_queues",
        "reversals",
        "waits",
    )

    def __init__(self):
        self.waits = []
        # Seconds by which lines stand in reverse order, by request.
        self.reversals = {}
        self._accepted = {}
        # When an owner first wrote of a job, and when one wrote that it ended.
        self._owned = {}
        self._ended = {}
        self._queues = {}
        # Reason and begin of the wait that goes on, by step.
        self._open = {}
        # When a step was last placed, or a run of it ended: it was not waiting before.
        self._looked_at = {}

    def take(self, line):
        """Take in one line."""
        now = line.seconds
        fields = line.fields
        request = fields.get("request_id")
        step = (request, fields.get("occurrence", 0), fields.get("step"))
        if line.event == "job accepted":
            self._accept(request, now)
            return
        if line.event in _OF_OWNERS:
            self._owned.setdefault(request, now)
        if line.event == "job taken in":
            self._take_in(request, fields["queue"], now)
        elif line.event == "run ended":
            self._looked_at[step] = now
        elif line.event == "job ended":
            self._end_job(request, now)
        elif line.event in _WAITING and request in self._ended:
            # It would wait until the end of the logs.
            self._note_reversal(request, now - self._ended[request])
        elif line.event == "step waits":
            self._accepted.pop(request, None)
            self._change(step, fields["reason"], fields["waited_seconds"], now)
        elif line.event == "step placed":
            self._place(step, fields, now)

    def end(self, now):
        """Close what still waits at the end of the logs."""
        for step in list(self._open):
            self._close(step, now)

    def _accept(self, request, now):
        if request in self._owned:
            self._note_reversal(request, now - self._owned[request])
        else:
            self._accepted[request] = now

    def _take_in(self, request, queue, now):
        self._queues[request] = queue
        if request in self._accepted:
            self._add((request, 0, 0), _TAKING_IN, self._accepted.pop(request), now)

    def _note_reversal(self, request, seconds):
        if seconds > 0:
            self.reversals[request] = max(seconds, self.reversals.get(request, 0.0))

    def _change(self, step, reason, waited, now):
        if step in self._open:
            self._close(step, now)
            self._open[step] = (reason, now)
        else:
            self._open[step] = (reason, self._begin(step, waited, now))

    def _place(self, step, fields, now):
        # The line that an owner took it in may have been left out: too many came.
        self._accepted.pop(step[0], None)
        if step in self._open:
            self._close(step, now)
        else:
            begin = self._begin(step, fields["waited_seconds"], now)
            self._add(step, _BRIEF, begin, now)
        self._looked_at[step] = now
        if fields["left"]:
            self._open[step] = (_ROOM, now)

    def _end_job(self, request, now):
        self._ended.setdefault(request, now)
        for step in [step for step in self._open if step[0] == request]:
            self._close(step, now)

    def _begin(self, step, waited, now):
        """Return since when a step waits; lines count from when it became ready."""
        return max(now - waited, self._looked_at.get(step, float("-inf")))

    def _close(self, step, now):
        reason, begin = self._open.pop(step)
        self._add(step, reason, begin, now)

    def _add(self, step, reason, begin, end):
        if end > begin:
            queue = self._queues.get(step[0], _UNKNOWN_QUEUE)
            self.waits.append(Wait(queue, step, reason, begin, end))


def read_waits(lines):
    """Return the waits that lines tell of.

    Parameters
    ----------
    lines : list of Line
        In the order of their times.

    Returns
    -------
    waits : list of Wait
    reversals : dict of str to float
        Seconds by which lines of a request stand in reverse order, such as taken in
        before it was accepted: clocks of hosts differ, or a line was written late.
        What lies between them is no wait.
    """
    reader = _Reader()
    for line in lines:
        reader.take(line)
    if lines:
        reader.end(lines[-1].seconds)
    return reader.waits, reader.reversals


def sum_waits(waits, begin=float("-inf"), end=float("inf")):
    """Return the seconds of waits within a span, by queue and reason.

    Parameters
    ----------
    waits : list of Wait
    begin, end : float, optional
        As the seconds of lines.

    Returns
    -------
    dict of (str, str) to (float, int)
        Seconds, and how many steps waited.

    Examples
    --------
    >>> sum_waits([Wait("q", ("a", 0, 0), "room", 1.0, 4.0)], 2.0, 3.5)
    {('q', 'room'): (1.5, 1)}
    """
    seconds, steps = collections.Counter(), collections.defaultdict(set)
    for wait in waits:
        within = min(end, wait.end) - max(begin, wait.begin)
        if within > 0:
            key = (wait.queue, wait.reason)
            seconds[key] += within
            steps[key].add(wait.step)
    return {key: (seconds[key], len(steps[key])) for key in seconds}


def sum_spans(waits, every):
    """Yield the sums of each span in which a step waited.

    Parameters
    ----------
    waits : list of Wait
    every : int
        Length of a span in seconds.

    Yields
    ------
    (float, dict)
        Begin of the span, and its sums as of `sum_waits`.

    Examples
    --------
    >>> list(sum_spans([Wait("q", ("a", 0, 0), "room", 1.0, 2.5)], 2))
    [(0.0, {('q', 'room'): (1.0, 1)}), (2.0, {('q', 'room'): (0.5, 1)})]
    """
    later = sorted(waits, key=lambda wait: wait.begin, reverse=True)
    current = []
    end = float("-inf")
    while later or current:
        begin = end if current else later[-1].begin // every * every
        end = begin + every
        while later and later[-1].begin < end:
            current.append(later.pop())
        yield begin, sum_waits(current, begin, end)
        current = [wait for wait in current if wait.end > end]
