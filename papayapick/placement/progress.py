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
    "FailingWorkerDetector",
    "SlowWorkerDetector",
    "compare_runs",
    "ended_within_usual_time",
    "may_be_stalled",
    "projected_remaining_seconds",
    "remaining_seconds",
    "stalled_runs",
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
# Within this of the usual time a run shows that its worker is not slow.
_SOUND_FACTOR = 1.6
# So many runs that lag, and none that was sound for so long, make a worker a slow one.
_SLOW_RUNS = 2
_SOUND_SECONDS = 0.8
# So many runs of the same step must be known to tell what is usual.
_LEAST_KNOWN = 2
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
# Less progress than this share tells nothing of how long a run takes.
_LEAST_PROGRESS = 0.05
# A stop is carried out, and its end listed, within this time.
_STOP_SECONDS = 0.25
_FULL = 100


def stalled_runs(step):
    """Return the runs of a step that stand still.

    Parameters
    ----------
    step : StepState

    Returns
    -------
    list of Run
        Of a gang none: its members wait for each other and end together.
    """
    return [run for run in _judged_runs(step) if _is_stalled(run)]


def compare_runs(step):
    """Compare the runs of a step with their like on other workers.

    Parameters
    ----------
    step : StepState

    Returns
    -------
    slow, sound : list of Run
        Those that are far slower, with enough left to be worth a move, and those at
        the usual speed. One that is slow may be a task that is longer than the
        others; see ``SlowWorkerDetector``.
    """
    slow, sound = [], []
    runs = _judged_runs(step)
    for run in runs:
        whole = _projected_seconds(run)
        usual = _usual_seconds(step, run, runs)
        if whole is None or usual is None:
            continue
        rest = whole * (_FULL - run.percent) / _FULL
        if whole < _SOUND_FACTOR * usual:
            sound.append(run)
        elif whole > _SLOW_FACTOR * usual and rest > usual + _MOVE_SECONDS:
            slow.append(run)
    return slow, sound


def ended_within_usual_time(step, run, now):
    """Return whether a run that has just ended took no longer than is usual.

    Parameters
    ----------
    step : StepState
    run : Run
    now : float
    """
    known = step.done_seconds
    if run.is_resumed or len(known) < _LEAST_KNOWN:
        return False
    return run.worked_seconds(now) < _SOUND_FACTOR * statistics.median(known)


def _judged_runs(step):
    return [run for run in step.active_runs() if _is_judged(run)]


def _is_judged(run):
    is_at_work = run.phase == RunPhase.RUNNING and run.was_seen
    return is_at_work and run.is_measured and run.percent < _FULL


def _is_stalled(run):
    # The first list shows only where a run begins: a worker that carries out its order
    # late, or was silent since, would seem to have stood still all that time.
    if not run.was_seen_again:
        return False
    limit = _STALL_SECONDS + (_RESTORE_SECONDS if run.is_resumed else 0.0)
    return run.percent_at - run.moved_at >= limit


def may_be_stalled(runs):
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


def _usual_seconds(step, run, runs):
    """Return what the like of a run take on other workers, or None."""
    others = [_projected_seconds(one) for one in runs if one.worker != run.worker]
    known = [one for one in others if one is not None] + step.done_seconds
    return statistics.median(known) if len(known) >= _LEAST_KNOWN else None


def _projected_seconds(run):
    """Return what a run will have taken in all, going by its progress, or None."""
    elapsed = run.worked_seconds(run.percent_at)
    is_early = elapsed < _LEAST_SECONDS or run.percent < _LEAST_PERCENT
    if run.is_resumed or is_early:
        return None
    return elapsed * _FULL / run.percent


def projected_remaining_seconds(step, run, now):
    """Return how long a run may still take, going by its progress.

    A run that was taken over half done did not do that half since this owner knows of
    it: it would seem to end at once, and after a takeover advice would be asked on the
    next step of each running job, before what waits.

    Parameters
    ----------
    step : StepState
    run : Run
    now : float

    Returns
    -------
    float
        Seconds; negative where it should have ended.
    """
    if run.since is None:
        return step.step.estimate_seconds
    done = run.percent / _FULL
    if run.is_resumed:
        return step.step.estimate_seconds * (1 - done) - (now - run.percent_at)
    if done <= _LEAST_PROGRESS:
        return step.step.estimate_seconds - run.worked_seconds(now)
    return run.worked_seconds(run.percent_at) / done - run.worked_seconds(now)


def remaining_seconds(step, run, now):
    """Return the seconds until the room of a run is free, or None if that is not known.

    Parameters
    ----------
    step : StepState or None
        None where its job is over or forgotten.
    run : Run
    now : float
    """
    if run.stop_requested is not None or step is None or step.job.is_final:
        return _STOP_SECONDS
    if step.step.is_lasting or run.demand is None:
        return None
    return max(0.0, projected_remaining_seconds(step, run, now))


class SlowWorkerDetector:
    """Tell a slow worker from a long task: on a slow worker all that runs lags.

    Moved for itself alone, a task that is three times as long as its like loses what
    it has done, and its caller waits for it.
    """

    __slots__ = ("_slow", "_sound")

    def __init__(self):
        # By worker: when each slow run was last seen there, and when any sound one.
        self._slow = {}
        self._sound = {}

    def note_normal(self, run, now):
        """Take in a run at the usual speed."""
        self._sound[run.worker] = now

    def note_slow(self, run, now):
        """Take in a slow run; return whether its worker is slow.

        Parameters
        ----------
        run : Run
        now : float
        """
        seen = self._slow.setdefault(run.worker, {})
        seen[run.name] = now
        for name in [name for name, at in seen.items() if now - at > SUSPECT_SECONDS]:
            del seen[name]
        since_sound = now - self._sound.get(run.worker, float("-inf"))
        return len(seen) >= _SLOW_RUNS and since_sound > _SOUND_SECONDS

    def forget(self, worker):
        """Drop what is known of a worker."""
        self._slow.pop(worker, None)
        self._sound.pop(worker, None)


class FailingWorkerDetector:
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
        if len(jobs) < _FAILURES_IN_A_ROW:
            jobs.add(job)
        return len(jobs) >= _FAILURES_IN_A_ROW

    def forget(self, worker):
        """Drop what is known of a worker."""
        self._failed_jobs.pop(worker, None)
