"""Detect runs that have stalled or are much slower than the other runs of their step.

Guards against workers that stall, slow down or fail the tasks they start while they
report good health. The slack of a short urgent task is half its run time: a task left
on such a worker is certainly late, and best fit would place more tasks there. Runs are
compared by what they would take on a worker of speed 1, where speeds are known to
differ: otherwise each task on a worker of the slow kind would seem to be slow, and a
task without checkpoints would begin anew elsewhere.
"""

import statistics

from papayapick.jobs.runs import RunPhase
from papayapick.speeds.types import UnknownSpeeds

__all__ = [
    "REPLACED_LIMIT",
    "STALL_SECONDS",
    "compare_runs",
    "ended_within_usual_time",
    "may_be_stalled",
    "project_runs",
    "projected_remaining_seconds",
    "remaining_seconds",
    "stalled_runs",
]

# A run without progress for this time has stalled: the progress of a task of a minute
# grows by one percent in 0.6 s.
STALL_SECONDS = 0.7
# Restoring a checkpoint takes up to 0.6 s, during which there is no progress.
_RESTORE_SECONDS = 0.8
# The worker of a run without progress for this time is polled again soon.
_POSSIBLE_STALL_SECONDS = 0.3
# Maximum number of times that a task is moved. A task that takes many minutes gains one
# percent of progress in seconds, so it would seem to have stalled on any worker.
REPLACED_LIMIT = 2
# Above the usual variation of run times within a step, which is a factor of two.
_SLOW_FACTOR = 2.5
# A run within this factor of the usual time shows that its worker is not slow.
_NORMAL_FACTOR = 1.6
# Minimum number of runs of a step from which the usual time is derived.
_MIN_KNOWN_RUNS = 2
# With less elapsed time or progress the projection is too inaccurate: reports are 10 ms
# old, and percents are integers.
_MIN_ELAPSED_SECONDS = 0.35
_MIN_PERCENT = 2
# Duration of a stop, the report of its end, and the new start.
_MOVE_SECONDS = 0.4
# With a smaller share done, progress does not indicate how long a run takes.
_MIN_DONE_SHARE = 0.05
# Time within which a stop is carried out and its end reported.
_STOP_SECONDS = 0.25
_FULL = 100
# Probability that a run which seems slow is a long task, wherever it runs. It counts
# where speeds are known to differ.
_LONG_TASK_CHANCE = 1 / 3
# A run has stalled if it gained no percent in this many times its usual time for one.
_STALL_PERCENTS = 3.0
_NO_SPEEDS = UnknownSpeeds()


def stalled_runs(step, speeds=_NO_SPEEDS):
    """Return the runs of a step that have stalled.

    Parameters
    ----------
    step : StepState
    speeds : SpeedSource, optional

    Returns
    -------
    list of Run
        Empty for a gang, whose members wait for each other and end together.
    """
    return [
        run
        for run in _runs_reporting_progress(step)
        if _is_stalled(run) and not (speeds.differ and _gains_slowly(run))
    ]


def project_runs(step):
    """Project the whole run times of the active runs of a step.

    Parameters
    ----------
    step : StepState

    Returns
    -------
    list of tuple of Run and float
        Runs whose progress indicates how long they take, and that time in seconds.
    """
    projections = [
        (run, _projected_seconds(run)) for run in _runs_reporting_progress(step)
    ]
    return [(run, whole) for run, whole in projections if whole is not None]


def compare_runs(step, speeds=_NO_SPEEDS, projections=None):
    """Compare the runs of a step with those on other workers.

    Parameters
    ----------
    step : StepState
    speeds : SpeedSource, optional
        If its speeds differ, runs are compared as if each were on a worker of speed 1.
    projections : list of tuple of Run and float, optional
        What ``project_runs`` returns for the step, if it is known.

    Returns
    -------
    slow, normal : list of Run
        Runs that are much slower, with enough time left to be worth a move, and runs at
        the usual speed. A slow run may also be a task that is longer than the others;
        see ``SlowWorkerDetector``.
    """
    slow, normal = [], []
    if projections is None:
        projections = project_runs(step)
    # Corrected once for each run, although each is compared with all others.
    corrected = [
        (run, whole * _speed(speeds, run.worker)) for run, whole in projections
    ]
    done = _done_seconds(step, speeds)
    for (run, whole), (_, length) in zip(projections, corrected, strict=True):
        usual = _usual_seconds(run, corrected, done)
        if usual is None:
            continue
        remaining = whole * (_FULL - run.percent) / _FULL
        if length < _NORMAL_FACTOR * usual:
            normal.append(run)
        elif length > _SLOW_FACTOR * usual:
            elsewhere = _seconds_elsewhere(run, length, usual, speeds)
            if remaining > elsewhere + _MOVE_SECONDS:
                slow.append(run)
    return slow, normal


def _speed(speeds, worker):
    return speeds.speed(worker) if speeds.differ else 1.0


def _done_seconds(step, speeds):
    """Return the durations of the latest done runs, as on workers of speed 1."""
    if not speeds.differ:
        return step.done_seconds
    return [
        seconds * speeds.speed(worker)
        for seconds, worker in zip(step.done_seconds, step.done_workers, strict=True)
    ]


def _seconds_elsewhere(run, length, usual, speeds):
    """Return what a run that seems slow is expected to take on another worker."""
    if not speeds.differ:
        return usual
    seconds = usual + _LONG_TASK_CHANCE * (length - usual)
    return seconds * (_FULL - run.percent) / _FULL if run.checkpoint else seconds


def ended_within_usual_time(step, run, now, speeds=_NO_SPEEDS):
    """Return whether a run that has just ended took about the usual time or less.

    Parameters
    ----------
    step : StepState
    run : Run
    now : float
    speeds : SpeedSource, optional
    """
    known = _done_seconds(step, speeds)
    if run.is_resumed or len(known) < _MIN_KNOWN_RUNS:
        return False
    length = run.worked_seconds(now) * _speed(speeds, run.worker)
    return length < _NORMAL_FACTOR * statistics.median(known)


def _runs_reporting_progress(step):
    return [run for run in step.active_runs() if _reports_progress(run)]


def _reports_progress(run):
    is_at_work = run.phase == RunPhase.RUNNING and run.was_listed
    return is_at_work and run.shows_worker_speed and run.percent < _FULL


def _is_stalled(run):
    # The first report only shows the initial progress. A worker that carried out the
    # start order late, or did not report since, would seem to have stalled meanwhile.
    if not run.was_listed_again:
        return False
    limit = STALL_SECONDS + (_RESTORE_SECONDS if run.is_resumed else 0.0)
    return run.percent_at - run.progressed_at >= limit


def _gains_slowly(run):
    """Return whether the time without progress is usual for a run.

    A long task on a slow worker takes more than the time of a stall for one percent.
    """
    if run.is_resumed or run.percent < 1:
        return False
    per_percent = run.worked_seconds(run.progressed_at) / run.percent
    return run.percent_at - run.progressed_at < _STALL_PERCENTS * per_percent


def may_be_stalled(runs):
    """Return whether one of a worker's runs may have stalled.

    The worker is then polled again soon. A long poll returns when a run ends or after
    0.6 s; a second poll of half that time detects a stalled run 0.4 s sooner.

    Parameters
    ----------
    runs : iterable of Run
        All runs of the worker.
    """
    return any(
        run.percent_at - run.progressed_at >= _POSSIBLE_STALL_SECONDS
        for run in runs
        if _reports_progress(run)
    )


def _usual_seconds(run, projections, done):
    """Return the median time of a step's runs on other workers, or None."""
    others = [whole for one, whole in projections if one.worker != run.worker]
    known = others + done
    return statistics.median(known) if len(known) >= _MIN_KNOWN_RUNS else None


def _projected_seconds(run):
    """Return the whole run time projected from the progress of a run, or None."""
    elapsed = run.worked_seconds(run.percent_at)
    is_early = elapsed < _MIN_ELAPSED_SECONDS or run.percent < _MIN_PERCENT
    if run.is_resumed or is_early:
        return None
    return elapsed * _FULL / run.percent


def projected_remaining_seconds(step, run, now):
    """Return the remaining time of a run, projected from its progress.

    For a run that was taken over with some progress, this owner does not know how long
    that progress took. Attributed to the time since the takeover, it would make the run
    seem to end at once, and advice would be requested for the next step of each running
    job, ahead of the steps that wait.

    Parameters
    ----------
    step : StepState
    run : Run
    now : float

    Returns
    -------
    float
        Seconds; negative if the run should have ended already.
    """
    if run.since is None:
        return step.step.estimate_seconds
    done = run.percent / _FULL
    if run.is_resumed:
        return step.step.estimate_seconds * (1 - done) - (now - run.percent_at)
    if done <= _MIN_DONE_SHARE:
        return step.step.estimate_seconds - run.worked_seconds(now)
    return run.worked_seconds(run.percent_at) / done - run.worked_seconds(now)


def remaining_seconds(step, run, now):
    """Return the seconds until the room of a run is free, or None if not known.

    Parameters
    ----------
    step : StepState or None
        None if its job has ended or is no longer known.
    run : Run
    now : float
    """
    if run.stop_requested is not None or step is None or step.job.is_final:
        return _STOP_SECONDS
    if step.step.is_lasting or run.demand is None:
        return None
    return max(0.0, projected_remaining_seconds(step, run, now))
