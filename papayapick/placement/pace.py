"""Pace what fills a worker, so that tasks beside it keep their response time."""

__all__ = ["Pacer"]

# The figures of a tail are rough and half a second old. Slowing down begins well
# under the limit; speeding up needs clear distance, else the two would alternate.
_SLOW_SHARE = 0.8
_FAST_SHARE = 0.5
_SLOWER = 0.5
_FASTER = 1.3
_LEAST_STEP_SECONDS = 0.45
# An order without an answer may be carried out after newer ones, nobody knows when:
# such a run's pace is ordered again and again.
_REPEAT_SECONDS = 2.0
# What a tail is measured over.
_FIGURE_SECONDS = 0.5
_FULL = 100


class Pacer:
    """Choose the share of its processors at which each filling task works."""

    __slots__ = ("_changed_at", "_repeated_at")

    def __init__(self):
        self._changed_at = {}
        self._repeated_at = {}

    def decide(self, room, now):
        """Return new paces for the fillers of a worker.

        Parameters
        ----------
        room : WorkerRoom
        now : float

        Returns
        -------
        list of tuple of (Run, int)
            Run and percent.
        """
        if not room.filler_processors:
            return []
        if now - self._changed_at.get(room.worker, 0.0) < _LEAST_STEP_SECONDS:
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
            # Read once: answers to orders change it without the owner's lock.
            before = run.pace
            pace = _wanted_pace(before, load, is_serving)
            is_repeated = is_repeat_due and run.has_lost_pace
            if pace is not None and (pace != before or is_repeated):
                changes.append((run, pace))
        return changes

    @staticmethod
    def _load(room):
        """Return the worst tail as a share of its limit; 0 where none serves.

        None where it is not known, as a tail was not measured and no other is high.
        """
        shares = [
            _tail_share(run)
            for run in room.runs.values()
            if run.tail_limit and run.percent == _FULL
        ]
        worst = max((share for share in shares if share is not None), default=0.0)
        return None if None in shares and worst <= _SLOW_SHARE else worst


def _tail_share(run):
    """Return the tail of a run at work as a share of its limit, or None.

    None where it was not measured. In the first half second at work a figure tells of a
    part of it only: a low one, or 0, would have fillers sped up beside a task of which
    nothing is known. A high one is true of any part.
    """
    if run.figure is None:
        return None
    share = run.figure / 1000 / run.tail_limit
    is_whole = run.percent_at - run.moved_at >= _FIGURE_SECONDS
    return share if is_whole or share > _SLOW_SHARE else None


def _wanted_pace(pace, load, is_serving):
    """Return the percent to order, or None where there is nothing to order yet."""
    if pace is None:
        return _first_pace(load, is_serving)
    return _next_pace(pace, load)


def _first_pace(load, is_serving):
    """Return the percent for a run whose pace is not known, or None to leave it.

    A load of None leaves each pace as it is. Beside a high tail only the least is sure
    not to raise it.

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
    if load > _SLOW_SHARE:
        return 0
    # Most fillers are at full when their owner dies: anything less would slow them all.
    return _FULL if load < _FAST_SHARE else None


def _next_pace(pace, load):
    """Return the next percent.

    Examples
    --------
    >>> _next_pace(100, 1.2), _next_pace(10, 1.2), _next_pace(100, 0.6)
    (50, 0, 100)
    >>> _next_pace(0, 0.3), _next_pace(50, 0.3), _next_pace(50, None)
    (10, 65, 50)
    """
    if load is None:
        return pace
    if load > _SLOW_SHARE:
        slower = int(pace * _SLOWER)
        return slower if slower >= 10 else 0
    if load < _FAST_SHARE and pace < _FULL:
        return min(_FULL, max(10, int(pace * _FASTER)))
    return pace
