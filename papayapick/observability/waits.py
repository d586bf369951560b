"""Sum up from logs how long ready steps waited, by queue and reason."""

import collections

__all__ = ["Wait", "read_waits", "sum_spans", "sum_waits"]

# Reasons in addition to those in the lines ``step waits``.
_OWNER = "owner"
_BRIEF = "brief"
_ROOM = "room"
_UNKNOWN_QUEUE = "unknown"
_WAITING_EVENTS = ("step waits", "step placed")
_OWNER_EVENTS = ("job taken in", *_WAITING_EVENTS, "run ended", "job ended")


class Wait:
    """Hold a span of time in which a step waited for one reason.

    Parameters
    ----------
    queue : str
    step : tuple of (str, int, int)
        Request id, occurrence and number.
    reason : str
        As in the line ``step waits``; ``owner`` from acceptance until an owner read the
        job, ``brief`` for a wait that was too short to be logged.
    begin, end : float
        In Unix seconds.
    """

    __slots__ = ("begin", "end", "queue", "reason", "step")

    def __init__(self, queue, step, reason, begin, end):
        self.queue = queue
        self.step = step
        self.reason = reason
        self.begin = begin
        self.end = end


class _WaitReader:
    """Find the waits of each step from the lines, in order."""

    __slots__ = (
        "_accepted_at",
        "_ended_at",
        "_first_owned_at",
        "_not_waiting_before",
        "_open_waits",
        "_queues",
        "reversals",
        "waits",
    )

    def __init__(self):
        self.waits = []
        # Seconds by which lines are in reverse order, by request.
        self.reversals = {}
        self._accepted_at = {}
        # By request: when an owner first logged it, and when one logged its end.
        self._first_owned_at = {}
        self._ended_at = {}
        self._queues = {}
        # Reason and begin of the current wait, by step.
        self._open_waits = {}
        # By step: when it was last placed, or a run of it ended. It was not waiting
        # before that time.
        self._not_waiting_before = {}

    def read(self, line):
        """Process one line."""
        now = line.seconds
        fields = line.fields
        request = fields.get("request_id")
        step = (request, fields.get("occurrence", 0), fields.get("step"))
        if line.event == "job accepted":
            self._accept(request, now)
            return
        if line.event in _OWNER_EVENTS:
            self._first_owned_at.setdefault(request, now)
        if line.event == "job taken in":
            self._start_ownership(request, fields["queue"], now)
        elif line.event == "run ended":
            self._not_waiting_before[step] = now
        elif line.event == "job ended":
            self._end_job(request, now)
        elif line.event in _WAITING_EVENTS and request in self._ended_at:
            # A new wait would stay open until the end of the logs.
            self._record_reversal(request, now - self._ended_at[request])
        elif line.event == "step waits":
            self._accepted_at.pop(request, None)
            self._change_reason(step, fields["reason"], fields["waited_seconds"], now)
        elif line.event == "step placed":
            self._place(step, fields, now)

    def end(self, now):
        """End all open waits at the end of the logs."""
        for step in list(self._open_waits):
            self._close(step, now)

    def _accept(self, request, now):
        if request in self._first_owned_at:
            self._record_reversal(request, now - self._first_owned_at[request])
        else:
            self._accepted_at[request] = now

    def _start_ownership(self, request, queue, now):
        self._queues[request] = queue
        if request in self._accepted_at:
            self._add_wait((request, 0, 0), _OWNER, self._accepted_at.pop(request), now)

    def _record_reversal(self, request, seconds):
        if seconds > 0:
            self.reversals[request] = max(seconds, self.reversals.get(request, 0.0))

    def _change_reason(self, step, reason, waited, now):
        if step in self._open_waits:
            self._close(step, now)
            self._open_waits[step] = (reason, now)
        else:
            self._open_waits[step] = (reason, self._begin(step, waited, now))

    def _place(self, step, fields, now):
        # The line ``job taken in`` may have been dropped, as over the limit per second.
        self._accepted_at.pop(step[0], None)
        if step in self._open_waits:
            self._close(step, now)
        else:
            begin = self._begin(step, fields["waited_seconds"], now)
            self._add_wait(step, _BRIEF, begin, now)
        self._not_waiting_before[step] = now
        if fields["left"]:
            self._open_waits[step] = (_ROOM, now)

    def _end_job(self, request, now):
        self._ended_at.setdefault(request, now)
        for step in [step for step in self._open_waits if step[0] == request]:
            self._close(step, now)

    def _begin(self, step, waited, now):
        """Return when a wait began; ``waited`` counts since the step became ready."""
        return max(now - waited, self._not_waiting_before.get(step, float("-inf")))

    def _close(self, step, now):
        reason, begin = self._open_waits.pop(step)
        self._add_wait(step, reason, begin, now)

    def _add_wait(self, step, reason, begin, end):
        if end > begin:
            queue = self._queues.get(step[0], _UNKNOWN_QUEUE)
            self.waits.append(Wait(queue, step, reason, begin, end))


def read_waits(lines):
    """Return the waits that the lines show.

    Parameters
    ----------
    lines : list of Line
        In the order of their times.

    Returns
    -------
    waits : list of Wait
    reversals : dict of str to float
        Seconds by which lines of a request are in reverse order, such as taken in
        before accepted, since clocks of hosts differ or a line was written late. The
        time between them is not counted as a wait.
    """
    reader = _WaitReader()
    for line in lines:
        reader.read(line)
    if lines:
        reader.end(lines[-1].seconds)
    return reader.waits, reader.reversals


def sum_waits(waits, begin=float("-inf"), end=float("inf")):
    """Return the seconds of waits within a span, by queue and reason.

    Parameters
    ----------
    waits : list of Wait
    begin, end : float, optional
        In Unix seconds.

    Returns
    -------
    dict of (str, str) to (float, int)
        Seconds, and the number of steps that waited.

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
    """Yield the sums of each time span in which a step waited.

    Parameters
    ----------
    waits : list of Wait
    every : int
        Length of a span in seconds.

    Yields
    ------
    (float, dict)
        Begin of the span in Unix seconds, and its sums as returned by `sum_waits`.

    Examples
    --------
    >>> list(sum_spans([Wait("q", ("a", 0, 0), "room", 1.0, 2.5)], 2))
    [(0.0, {('q', 'room'): (1.0, 1)}), (2.0, {('q', 'room'): (0.5, 1)})]
    """
    remaining = sorted(waits, key=lambda wait: wait.begin, reverse=True)
    current = []
    end = float("-inf")
    while remaining or current:
        begin = end if current else remaining[-1].begin // every * every
        end = begin + every
        while remaining and remaining[-1].begin < end:
            current.append(remaining.pop())
        yield begin, sum_waits(current, begin, end)
        current = [wait for wait in current if wait.end > end]
