"""Throttle filler tasks, so that tasks beside them keep their limit on latency."""

__all__ = ["Pacer"]

# Measured tail latencies are rough and half a second old. Fillers are slowed well below
# the limit, and sped up only far below it, since they would otherwise alternate between
# the two.
_SLOW_DOWN_SHARE = 0.8
_SPEED_UP_SHARE = 0.5
_SLOW_DOWN_FACTOR = 0.5
_SPEED_UP_FACTOR = 1.3
# Minimum time between two changes on a worker.
_MIN_STEP_SECONDS = 0.45
# An order without an answer may be carried out at any time, even after newer ones, so
# the pace of such a run is ordered again at this interval.
_REPEAT_SECONDS = 2.0
# Period over which a tail latency is measured.
_MEASURE_SECONDS = 0.5
_FULL = 100


class Pacer:
    """Choose the pace of each filler task, in percent of its full speed."""

    __slots__ = ("_changed_at", "_repeated_at")

    def __init__(self):
        self._changed_at = {}
        self._repeated_at = {}

    def decide(self, room, now):
        """Return the paces to order for the fillers of a worker.

        Parameters
        ----------
        room : WorkerRoom
        now : float

        Returns
        -------
        list of tuple of (Run, int)
            Run and percent.
        """
        if not room.filler_runs:
            return []
        if now - self._changed_at.get(room.worker, 0.0) < _MIN_STEP_SECONDS:
            return []
        last_repeat = self._repeated_at.get(room.worker, float("-inf"))
        is_repeat_due = now - last_repeat >= _REPEAT_SECONDS
        changes = self._changes(room, is_repeat_due)
        if is_repeat_due:
            self._repeated_at[room.worker] = now
        if changes:
            self._changed_at[room.worker] = now
        return changes

    def _changes(self, room, is_repeat_due):
        load, is_serving = self._load(room), bool(room.serving_runs)
        changes = []
        for run in room.runs.values():
            if not run.is_filler or run.percent is None:
                continue
            # Read once, since answers to orders change it without the owner's lock.
            current = run.pace
            pace = _wanted_pace(current, load, is_serving)
            is_repeated = is_repeat_due and run.is_pace_unconfirmed
            if pace is not None and (pace != current or is_repeated):
                changes.append((run, pace))
        return changes

    @staticmethod
    def _load(room):
        """Return the highest tail latency as a share of its limit, or None.

        It is 0 without serving tasks, and None if a tail latency was not measured and
        none of the others is high.
        """
        shares = [
            _tail_share(run)
            for run in room.runs.values()
            if run.tail_limit and run.percent == _FULL
        ]
        worst = max((share for share in shares if share is not None), default=0.0)
        return None if None in shares and worst <= _SLOW_DOWN_SHARE else worst


def _tail_share(run):
    """Return the tail latency of a serving run as a share of its limit, or None.

    It is None if it was not measured. In the first half second of service, the figure
    covers a part of the period only. A low figure, or 0, is then ignored, since it
    would speed up fillers beside a task of unknown latency; a high figure is valid.
    """
    if run.measurement is None:
        return None
    share = run.measurement / 1000 / run.tail_limit
    is_full_period = run.percent_at - run.progressed_at >= _MEASURE_SECONDS
    return share if is_full_period or share > _SLOW_DOWN_SHARE else None


def _wanted_pace(pace, load, is_serving):
    """Return the pace to order in percent, or None to order none yet."""
    if pace is None:
        return _first_pace(load, is_serving)
    return _next_pace(pace, load)


def _first_pace(load, is_serving):
    """Return the pace for a run whose pace is not known, or None to leave it.

    A load of None leaves the pace. Beside a high tail latency, only a pace of 0 is
    certain not to raise it further.

    Examples
    --------
    >>> _first_pace(0.0, False), _first_pace(0.3, True), _first_pace(0.9, True)
    (100, 100, 0)
    >>> _first_pace(0.6, True) is None and _first_pace(None, True) is None
    True
    """
    if not is_serving:
        return _FULL
    if load is None:
        return None
    if load > _SLOW_DOWN_SHARE:
        return 0
    # Most fillers run at full pace when their owner fails. Any lower pace would slow
    # all of them at each takeover.
    return _FULL if load < _SPEED_UP_SHARE else None


def _next_pace(pace, load):
    """Return the next pace in percent; a load of None leaves it.

    Examples
    --------
    >>> _next_pace(100, 1.2), _next_pace(10, 1.2), _next_pace(100, 0.6)
    (50, 0, 100)
    >>> _next_pace(0, 0.3), _next_pace(50, 0.3), _next_pace(50, None)
    (10, 65, 50)
    """
    if load is None:
        return pace
    if load > _SLOW_DOWN_SHARE:
        slower = int(pace * _SLOW_DOWN_FACTOR)
        return slower if slower >= 10 else 0
    if load < _SPEED_UP_SHARE and pace < _FULL:
        return min(_FULL, max(10, int(pace * _SPEED_UP_FACTOR)))
    return pace
