"""Find runs that stand still, or work far slower than their like.

Answers the load in which some workers stall, slow down or fail what they start while
their health is good. Short urgent tasks have half their own length to spare: one that
is left on such a worker is late for certain, and best fit would send more there.
"""

import statistics

from papayapick.jobs.runs import RunPhase

__all__ = [
    "REPLACED_LIMIT",
    "SUSPECT_SECONDS",
    "FailureWatch",
    "find_laggards",
    "is_doubtful",
]

# A task of a minute moves by a percent in 0.6 s.
_STALL_SECONDS = 0.7
# Restoring saved progress takes up to 0.6 s, in which nothing moves.
_RESTORE_SECONDS = 0.8
# A run that did not move for so long is looked at again soon.
_DOUBT_SECONDS = 0.3
# A task is moved so often at most: one that takes many minutes moves by a percent in
# seconds, and would be taken for one that stands still wherever it is.
REPLACED_LIMIT = 2
# Tasks of a step differ by a factor of two as a rule; this is past it.
_SLOW_FACTOR = 2.5
# Less tells little: lists are 10 ms old and percents are whole.
_LEAST_SECONDS = 0.35
_LEAST_PERCENT = 2
# A stop, its list and the new start.
_MOVE_SECONDS = 0.4
# A worker on which such a run was found is used last for so long.
SUSPECT_SECONDS = 3.0
# Ends as failed in a row, of different jobs, after which a worker is suspected: of
# sound workers one run in fifty fails.
_FAILURES_IN_A_ROW = 2
_FULL = 100


def find_laggards(step):
    """Return the runs of a step that should be replaced.

    Parameters
    ----------
    step : StepState

    Returns
    -------
    list of Run
        Of a gang none: its members wait for each other and end together.
    """
    runs = [run for run in step.active_runs() if _is_judged(run)]
    return [run for run in runs if _is_stalled(run) or _is_slow(step, run, runs)]


def _is_judged(run):
    is_at_work = run.phase == RunPhase.RUNNING and run.was_seen
    return is_at_work and run.is_measured and run.percent < _FULL


def _is_stalled(run):
    limit = _STALL_SECONDS + (_RESTORE_SECONDS if run.is_resumed else 0.0)
    return run.percent_at - run.moved_at >= limit


def is_doubtful(runs):
    """Return whether a worker should be looked at again soon.

    Waiting calls return with an end or after 0.6 s; a second look half as long after
    that finds a run that stands still 0.4 s sooner.

    Parameters
    ----------
    runs : iterable of Run
        All that it runs.
    """
    return any(
        run.percent_at - run.moved_at >= _DOUBT_SECONDS
        for run in runs
        if _is_judged(run)
    )


def _is_slow(step, run, runs):
    whole = _projected_seconds(run)
    if whole is None:
        return False
    others = [_projected_seconds(one) for one in runs if one.worker != run.worker]
    known = [one for one in others if one is not None] + step.done_seconds
    if len(known) < 2:
        return False
    usual = statistics.median(known)
    rest = whole * (_FULL - run.percent) / _FULL
    return whole > _SLOW_FACTOR * usual and rest > usual + _MOVE_SECONDS


def _projected_seconds(run):
    """Return what a run will have taken in all, going by its progress, or None."""
    elapsed = run.percent_at - run.since
    is_early = elapsed < _LEAST_SECONDS or run.percent < _LEAST_PERCENT
    if run.is_resumed or is_early:
        return None
    return elapsed * _FULL / run.percent


class FailureWatch:
    """Notice workers that fail what they start, whichever job it is of."""

    __slots__ = ("_failed_jobs",)

    def __init__(self):
        self._failed_jobs = {}

    def note_end(self, worker, job, is_failed):
        """Take in an end; return whether the worker is to be suspected.

        Parameters
        ----------
        worker, job : str
        is_failed : bool
            False for one that ended as done.
        """
        if not is_failed:
            self._failed_jobs.pop(worker, None)
            return False
        # A job that can never be done fails everywhere, and counts once here.
        jobs = self._failed_jobs.setdefault(worker, set())
        jobs.add(job)
        return len(jobs) >= _FAILURES_IN_A_ROW
