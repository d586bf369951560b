"""Derive the speeds of workers from the record that the owner of their pool wrote."""

from papayapick.pool.records.memory import UNREADABLE, join_rows
from papayapick.speeds import WorkerSpeeds

__all__ = ["WorkerView", "recorded_speeds"]


class WorkerView:
    """Hold what the record tells of one worker.

    Parameters
    ----------
    worker : str
    labels : tuple of str
    speed, certainty : float
    tier : SpeedTier
    """

    __slots__ = ("certainty", "labels", "speed", "tier", "worker")

    def __init__(self, worker, labels, speed, certainty, tier):
        self.worker = worker
        self.labels = labels
        self.speed = speed
        self.certainty = certainty
        self.tier = tier


def recorded_speeds(rows, registrations, stretch, time):
    """Return the workers of a pool with their recorded speeds, the slowest first.

    Parameters
    ----------
    rows : list of dict
        Rows of the record; empty if there is none.
    registrations : list of Registration
    stretch : float or None
        The tightest of the pool's queues.
    time : float
        Unix seconds.

    Returns
    -------
    age_seconds : float or None
        Age of the record; None if there is none that can be read.
    workers : list of WorkerView
    """
    speeds = WorkerSpeeds()
    speeds.set_stretch(stretch)
    for registration in registrations:
        speeds.add_worker(registration)
    age = _restore(speeds, rows, time)
    speeds.refresh(0.0)
    workers = [
        WorkerView(
            one.worker,
            one.labels,
            speeds.speed(one.worker),
            speeds.certainty(one.worker),
            speeds.tier(one.worker),
        )
        for one in registrations
    ]
    return age, sorted(workers, key=lambda view: (view.speed, view.worker))


def _restore(speeds, rows, time):
    if not rows:
        return None
    try:
        at, version, record = join_rows(rows)
        if version != speeds.version:
            return None
        # As it was recorded: its owner has learned more since.
        speeds.restore(record, 0.0)
    except UNREADABLE:
        # The owner logs that it left such a record out, and why.
        return None
    return time - at
