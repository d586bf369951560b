"""Waiting and running jobs, and the orders in which jobs start."""

import math
from typing import Protocol

__all__ = [
    "ArrivalOrder",
    "DeadlineOrder",
    "JobOrder",
    "Place",
    "RunningJob",
    "WaitingJob",
]


class WaitingJob:
    """Job that waits to be started.

    Parameters
    ----------
    name : str
        Id of the request.
    demand : Amounts
        Room that each member takes.
    members : int
    run_seconds : float
        Maximum run time; a run that exceeds it is stopped.
    arrival, deadline : float
        Seconds on the clock of the scheduling decisions.
    is_urgent : bool
    can_pause : bool
        Whether it may be checkpointed and resumed later.
    team : str
    attempt : int
        Number of the start, part of the names of its tasks.
    avoid : frozenset of str
        Hosts on which it failed.
    checkpoints : tuple of str
        Tasks of an earlier start from whose checkpoints its members resume.

    Attributes
    ----------
    is_borrowing : bool
        Whether its start would exceed the quota of its team.
    """

    __slots__ = (
        "arrival",
        "attempt",
        "avoid",
        "can_pause",
        "checkpoints",
        "deadline",
        "demand",
        "is_borrowing",
        "is_urgent",
        "members",
        "name",
        "run_seconds",
        "team",
    )

    def __init__(
        self,
        name,
        demand,
        members=1,
        run_seconds=3600.0,
        arrival=0.0,
        deadline=float("inf"),
        is_urgent=False,
        can_pause=False,
        team="",
        attempt=1,
        avoid=frozenset(),
        checkpoints=(),
    ):
        self.name = name
        self.demand = demand
        self.members = members
        self.run_seconds = run_seconds
        self.arrival = arrival
        self.deadline = deadline
        self.is_urgent = is_urgent
        self.can_pause = can_pause
        self.team = team
        self.attempt = attempt
        self.avoid = avoid
        self.checkpoints = checkpoints
        self.is_borrowing = False

    def requeued(self):
        """Return the job to queue again after its members were checkpointed.

        It keeps its arrival, and thereby its place in the order.
        """
        tasks = (f"{self.name}.{self.attempt}.{n}" for n in range(self.members))
        return WaitingJob(
            self.name,
            self.demand,
            self.members,
            self.run_seconds,
            self.arrival,
            self.deadline,
            self.is_urgent,
            self.can_pause,
            self.team,
            self.attempt + 1,
            self.avoid,
            tuple(tasks),
        )

    @property
    def rank(self):
        """Return 0 for an urgent job, 1 for a deferred and 2 for a borrowing one."""
        if self.is_borrowing:
            return 2
        return 0 if self.is_urgent else 1

    @property
    def latest_start(self):
        """Return the latest start with which the deadline is surely met."""
        return self.deadline - self.run_seconds


class Place:
    """Host and task name of one member of a job."""

    __slots__ = ("host", "task")

    def __init__(self, host, task):
        self.host = host
        self.task = task


class RunningJob:
    """Job that was started, with the places of its members.

    Parameters
    ----------
    job : WaitingJob
    places : list of Place
    end : float
        Time at which the run ends at the latest.

    Attributes
    ----------
    last_report_at : float
        Monotonic time at which all its members were last reported.
    is_given_up : bool
        Whether its leases are no longer renewed, so that it ends.
    is_pausing : bool
        Whether it is being checkpointed to make room.
    """

    __slots__ = ("end", "is_given_up", "is_pausing", "job", "last_report_at", "places")

    def __init__(self, job, places, end):
        self.job = job
        self.places = places
        self.end = end
        self.last_report_at = float("-inf")
        self.is_given_up = False
        self.is_pausing = False

    @property
    def tasks(self):
        """Return the names of its members' tasks."""
        return [place.task for place in self.places]


class JobOrder(Protocol):
    """Order of waiting jobs; the key of a job does not change while it waits."""

    def key(self, job):
        """Return the sort key of a job, a tuple."""

    def due(self, job):
        """Return the time from which a job precedes all others."""


class ArrivalOrder:
    """Serve jobs in the order of arrival; a baseline for benchmarks."""

    __slots__ = ()

    def key(self, job):
        """Return the time of arrival."""
        return (job.arrival,)

    def due(self, job):
        """Return infinity: no job precedes those that arrived earlier."""
        return math.inf


class DeadlineOrder:
    """Serve urgent jobs by arrival, then deferred jobs by latest start, with ageing.

    A deferred job whose latest start is near precedes urgent jobs, so that it meets
    its deadline. A deferred job that has waited for ``ageing_seconds`` precedes all
    deferred jobs that arrive from then on, so that a stream of jobs with nearer
    deadlines cannot starve it.

    Parameters
    ----------
    ageing_seconds : float
    margin_seconds : float
        How long before its latest start a deferred job is due.

    Examples
    --------
    >>> from papayapick.ledger import Amounts
    >>> order = DeadlineOrder(ageing_seconds=600, margin_seconds=60)
    >>> job = WaitingJob("a", Amounts(1), run_seconds=100, deadline=500)
    >>> order.key(job), order.due(job)
    ((1, 400), 340)
    """

    __slots__ = ("_ageing_seconds", "_margin_seconds")

    def __init__(self, ageing_seconds=3600.0, margin_seconds=300.0):
        self._ageing_seconds = ageing_seconds
        self._margin_seconds = margin_seconds

    def key(self, job):
        """Return a key that sorts urgent jobs by arrival before all others."""
        if job.is_urgent:
            return (0, job.arrival)
        return (1, min(job.latest_start, job.arrival + self._ageing_seconds))

    def due(self, job):
        """Return the latest start of a deferred job less the margin."""
        if job.is_urgent:
            return math.inf
        return job.latest_start - self._margin_seconds
