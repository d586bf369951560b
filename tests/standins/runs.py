"""Runs as the stand-ins of workers saw them, and those that overlapped."""

import collections
import itertools

# Two measurements of the same moment differ by up to this.
TOLERANCE_SECONDS = 0.002
# An end that was listed this long before counts as known without an acknowledgement.
NOTED_SECONDS = 0.1


class RunRecord:
    """A run as its worker saw it, in monotonic seconds of this process.

    ``ended`` is infinite while the run is active. ``listed_at`` and ``acknowledged_at``
    tell when an answer of the worker first had its end, and when a call named it as
    recorded with no lapse of the lease since it ended; infinite if never. ``is_stray``
    tells that its order was executed late by another life of the worker than the one
    that had confirmed its stop, which no owner can prevent.
    """

    def __init__(self, worker, task, attempt, token, began):
        self.worker = worker
        self.task = task
        self.attempt = attempt
        self.token = token
        self.began = began
        self.ended = float("inf")
        self.how = ""
        self.is_stray = False
        self.listed_at = self.acknowledged_at = float("inf")

    def __repr__(self):
        return (
            f"{self.task} run {self.attempt} on {self.worker}, epoch {self.token}, "
            f"{self.began:.3f} to {self.ended:.3f} {self.how}"
        )


def overlapping_runs(workers):
    """Return the pairs of runs of one task that were active at the same time.

    Parameters
    ----------
    workers : list of WorkerStandin

    Returns
    -------
    list of (RunRecord, RunRecord)
    """
    by_task = collections.defaultdict(list)
    for worker in workers:
        for record in worker.all_records():
            by_task[record.task].append(record)
    found = []
    for records in by_task.values():
        records.sort(key=lambda one: one.began)
        for first, second in itertools.combinations(records, 2):
            if second.began < first.ended - TOLERANCE_SECONDS:
                found.append((first, second))
    return found


def starts_after_done(workers, is_calm):
    """Return the pairs of a run that ended as done and a later run of its task.

    Parameters
    ----------
    workers : list of WorkerStandin
    is_calm : callable
        Takes two times; returns whether an answer given at the first one had reached
        an owner that still acted at the second. An end that is acknowledged sooner or
        later counts anyway.

    Returns
    -------
    list of (RunRecord, RunRecord)
    """
    records = [one for worker in workers for one in worker.all_records()]
    done = [one for one in records if one.how == "done"]
    by_task = collections.defaultdict(list)
    for record in records:
        by_task[record.task].append(record)
    return [
        (first, second)
        for first in done
        for second in by_task[first.task]
        if second.began >= first.ended
        and not second.is_stray
        and (
            first.acknowledged_at < float("inf")
            or (
                second.began > first.listed_at + NOTED_SECONDS
                and is_calm(first.listed_at, second.began)
            )
        )
    ]
