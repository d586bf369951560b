"""Durations of ended runs, as far as they are known.

Guards against a worker that counts as slow because it could not be reached for a while.
"""

import math

__all__ = ["is_read_late", "known_duration"]

# Durations are known to some 10 ms; of shorter runs the start is a large part.
_MIN_SECONDS = 0.2
# A run's end is read late from a worker that was silent meanwhile: its duration is
# known only up to the time since its last report.
_MAX_UNSEEN_SECONDS = 1.0
_MAX_UNSEEN_SHARE = 0.2


def known_duration(run, now):
    """Return the duration of a run whose end was read just now.

    Parameters
    ----------
    run : Run
    now : float
        Monotonic seconds.

    Returns
    -------
    float or None
        Seconds; None if it is not known, or tells nothing of the run's worker.
    """
    seconds = run.worked_seconds(now)
    if run.is_resumed or not run.shows_worker_speed:
        return None
    if not _MIN_SECONDS <= seconds < math.inf:
        return None
    return None if is_read_late(run, now) else seconds


def is_read_late(run, now):
    """Return whether the end of a run, read just now, may be long past.

    Parameters
    ----------
    run : Run
    now : float
        Monotonic seconds.
    """
    unseen = now - run.percent_at
    seconds = run.worked_seconds(now)
    return unseen > max(_MAX_UNSEEN_SECONDS, _MAX_UNSEEN_SHARE * seconds)
