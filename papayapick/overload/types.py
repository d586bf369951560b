"""Interfaces between the decisions under overload and what they decide on."""

import enum
from typing import Protocol

__all__ = [
    "AdmissionDecision",
    "AdmissionPolicy",
    "DelayedJob",
    "OverloadPlan",
    "RefusalReason",
]


class RefusalReason(enum.StrEnum):
    """Why a new job is refused; told to the caller and to operators."""

    # It would be done after the time for which its result is of use.
    TOO_LATE = "too-late"
    # It is beyond its team's rate, and would wait in vain behind what is owed.
    BEYOND_RATE = "beyond-rate"


class AdmissionDecision:
    """Whether a host accepts a new job.

    Parameters
    ----------
    reason : RefusalReason or None
        None if the job is accepted.
    retry_after : int or None
        Seconds after which it would be accepted and still be of use; None if there is
        no such time.
    """

    __slots__ = ("reason", "retry_after")

    def __init__(self, reason=None, retry_after=None):
        self.reason = reason
        self.retry_after = retry_after

    @property
    def is_accepted(self):
        """Return whether the job is accepted."""
        return self.reason is None


class AdmissionPolicy(Protocol):
    """Decide on a host whether a new job could still be of use when it is done.

    Load pattern: bursts of wide jobs on a full pool. A job that is accepted and done
    when its caller no longer needs it costs room that others need, and its caller
    learns too late that it must do without.
    """

    def decide(self, document, queue, now) -> AdmissionDecision:
        """Decide on a new job; a host without a recent forecast accepts.

        Parameters
        ----------
        document : JobDocument
        queue : Queue
        now : float
            Monotonic seconds.
        """


class DelayedJob:
    """A job that waits for room, as the plan sees it.

    Parameters
    ----------
    identifier : str
    work : float
        Core-seconds left, running tasks included.
    finish_by : float
        Monotonic seconds by which its waiting tasks must have their room so that it is
        done in time.
    has_begun : bool
        Whether a task of it runs or is done.
    size : float
        Core-seconds of the whole job, compared only with jobs of its queue.
    queue : str, optional
    """

    __slots__ = ("finish_by", "has_begun", "identifier", "queue", "size", "work")

    def __init__(self, identifier, work, finish_by, has_begun, size, queue=""):
        self.identifier = identifier
        self.work = work
        self.finish_by = finish_by
        self.has_begun = has_begun
        self.size = size
        self.queue = queue


class OverloadPlan(Protocol):
    """Choose the jobs that yield when not all that wait can be done in time.

    Load pattern: a burst above the capacity of the pool. Served by latest start alone,
    each job is begun when it can only just be in time, and all of them just miss.
    """

    def yielding(self, jobs, processors, now) -> set:
        """Return the identifiers of the jobs that are served after the others.

        Parameters
        ----------
        jobs : list of DelayedJob
            Of one priority.
        processors : float
            Millicores that this priority can use.
        now : float
            Monotonic seconds.
        """
