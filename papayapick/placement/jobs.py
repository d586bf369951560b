"""Describe jobs that wait and run, and the order in which they start."""

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
    """Hold what a start is decided on.

    Parameters
    ----------
    name : str
        Id of the request.
    demand : Amounts
        Of each member.
    members : int
    run_seconds : float
        Upper bound of a run; whatever runs on is stopped.
    arrival, deadline : float
        Seconds on the clock of the decisions.
    is_urgent : bool
    can_pause : bool
        Whether it may be checkpointed and go on later.
    team : str
    attempt : int
        Number of the start, part of the tasks' names.
    avoid : frozenset of str
        Hosts that it failed on.
    checkpoints : tuple of str
        Tasks of an earlier start that its members go on from.

    Attributes
    ----------
    is_borrowing : bool
        Whether its start would take its team over the quota.
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

    def paused(self):
        """Return the job as it waits again once its members were checkpointed.

        It keeps its arrival, and so its place in the order.
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
        """Return 0 for urgent work, 1 for deferred, 2 for what borrows."""
        if self.is_borrowing:
            return 2
        return 0 if self.is_urgent else 1

    @property
    def latest_start(self):
        """Return the time after which the deadline may be missed."""
        return self.deadline - self.run_seconds


class Place:
    """Name the task of one member and its host."""

    __slots__ = ("host", "task")

    def __init__(self, host, task):
        self.host = host
        self.task = task


class RunningJob:
    """Hold a job with the places of its members.

    Parameters
    ----------
    job : WaitingJob
    places : list of Place
    end : float
        Time by which the run is over at the latest.

    Attributes
    ----------
    last_report_at : float
        Monotonic time at which all its members were last reported.
    is_given_up : bool
        Whether its leases are renewed no more, so that it ends.
    is_pausing : bool
        Whether it is being checkpointed to make room.
    """

    __slots__ = ("end", "last_report_at", "is_given_up", "is_pausing", "job", "places")

    def __init__(self, job, places, end):
        self.job = job
        self.places = places
        self.end = end
        self.last_report_at = float("-inf")
        self.is_given_up = False
        self.is_pausing = False

    @property
    def tasks(self):
        """Return the names of the members' tasks."""
        return [place.task for place in self.places]


class JobOrder(Protocol):
    """Give the place of a job in the queue; it never changes while it waits."""

    def key(self, job):
        """Return a tuple; the smaller goes first."""

    def due(self, job):
        """Return the time from which a job goes before all others."""


class ArrivalOrder:
    """Serve jobs as they come: a baseline."""

    __slots__ = ()

    def key(self, job):
        """Return the time of arrival."""
        return (job.arrival,)

    def due(self, job):
        """Return infinity: no job goes before its turn."""
        return math.inf


class DeadlineOrder:
    """Serve urgent jobs as they come, then others by latest start, with ageing.

    Deferred work whose latest start is near goes before urgent work: it must
    arrive. Among deferred work, a job that has waited for ``ageing_seconds`` stands
    before all that come from then on, so that a stream of nearer deadlines can't
    starve it.

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
        """Return urgent work by arrival, before other work by latest start."""
        if job.is_urgent:
            return (0, job.arrival)
        return (1, min(job.latest_start, job.arrival + self._ageing_seconds))

    def due(self, job):
        """Return shortly before the latest start of deferred work."""
        if job.is_urgent:
            return math.inf
        return job.latest_start - self._margin_seconds
