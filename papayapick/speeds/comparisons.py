"""Comparison of the runs of one step, which tells of the speeds of their workers.

Guards against speeds learned from estimates: those of callers are wrong by up to nine
tenths, and the tasks of one step have a common length.
"""

import math

from papayapick.speeds.types import Deviation

__all__ = ["StepComparison"]

# The median of a step is known once this share of its tasks has ended. Compared among
# the first ends only, all workers would seem to be equally fast.
_ENDED_SHARE = 0.75
# With fewer tasks the median is one of another run, and mostly noise.
_MIN_TASKS = 3


class StepComparison:
    """Hold the ended runs of one step until the length of its tasks is known.

    It lives as long as its step, and holds a run for each of its tasks at most.

    Attributes
    ----------
    log_length : float or None
        Logarithm of the seconds that a task of the step takes on a worker of speed 1;
        None while too few tasks have ended.
    """

    __slots__ = ("_ended", "log_length")

    def __init__(self):
        self._ended = []
        self.log_length = None

    def note_done(self, step, worker, seconds, speed_of):
        """Record a run that ended as done.

        Parameters
        ----------
        step : StepState
        worker : str
        seconds : float
            Its duration, above 0.
        speed_of : callable
            Takes a worker and returns its present speed.

        Returns
        -------
        list of Deviation
            What is known now of the logarithm of the speeds of workers.
        """
        log_seconds = math.log(seconds)
        if self.log_length is not None:
            return [Deviation(worker, self.log_length - log_seconds, 1.0)]
        self._ended.append((worker, log_seconds))
        total = len(step.tasks)
        if total < _MIN_TASKS:
            return []
        if step.is_done:
            total = len(self._ended)
        elif len(self._ended) < _ENDED_SHARE * total:
            return []
        if len(self._ended) < _MIN_TASKS:
            return []
        found = deviations(self._ended, total, speed_of)
        lengths = sorted(one + math.log(speed_of(name)) for name, one in self._ended)
        self.log_length = _middle(lengths, total)
        self._ended = []
        return found

    def compare_projected(self, projected, speed_of):
        """Compare runs that are active, by durations projected from their progress.

        Parameters
        ----------
        projected : list of tuple of str and float
            Worker of each active run, and its projected seconds, above 0.
        speed_of : callable

        Returns
        -------
        list of Deviation
            One for each of ``projected``; empty if there are too few runs.
        """
        if self.log_length is not None:
            return [
                Deviation(worker, self.log_length - math.log(seconds), 1.0)
                for worker, seconds in projected
            ]
        logs = [(worker, math.log(seconds)) for worker, seconds in projected]
        known = logs + self._ended
        if len(known) < _MIN_TASKS:
            return []
        return deviations(known, len(known), speed_of)[: len(logs)]


def deviations(runs, total, speed_of):
    """Compare each run with the median of the others, corrected by their workers.

    Parameters
    ----------
    runs : list of tuple of str and float
        Worker and logarithm of the duration of each run.
    total : int
        Number of runs, including those that are not in the list as they take longer.
    speed_of : callable

    Returns
    -------
    list of Deviation
        In the order of ``runs``. Its weight is the share of the runs that were on other
        workers: runs compared with their own worker tell nothing.
    """
    lengths = [one + math.log(speed_of(worker)) for worker, one in runs]
    order = sorted(range(len(runs)), key=lengths.__getitem__)
    ranked = [lengths[number] for number in order]
    rank_of = {number: rank for rank, number in enumerate(order)}
    counts = {}
    for worker, _ in runs:
        counts[worker] = counts.get(worker, 0) + 1
    return [
        Deviation(
            worker,
            _middle_without(ranked, rank_of[number], total) - log_seconds,
            1.0 - counts[worker] / len(runs),
        )
        for number, (worker, log_seconds) in enumerate(runs)
    ]


def _middle(ranked, total):
    """Return the median of ``total`` numbers of which the lowest are given."""
    last = len(ranked) - 1
    low, high = (total - 1) // 2, total // 2
    return (ranked[min(low, last)] + ranked[min(high, last)]) / 2


def _middle_without(ranked, left_out, total):
    """Return the median without the number of one rank."""
    last = len(ranked) - 2
    middle = 0.0
    for place in ((total - 2) // 2, (total - 1) // 2):
        place = min(place, last)
        middle += ranked[place if place < left_out else place + 1] / 2
    return middle
