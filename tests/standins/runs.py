"""Runs as the stand-ins of workers saw them, and those that overlapped."""

import collections
import itertools

# Two measurements of the same moment differ by up to this.
TOLERANCE_SECONDS = 0.002


class RunRecord:
    """A run as its worker saw it, in monotonic seconds of this process.

    ``ended`` is infinite while the run is active.
    """

    def __init__(self, worker, task, attempt, token, began):
        self.worker = worker
        self.task = task
        self.attempt = attempt
        self.token = token
        self.began = began
        self.ended = float("inf")
        self.how = ""

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
