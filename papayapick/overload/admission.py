"""Decide on a host whether a new job could still be of use when it is done.

Load pattern: bursts of wide jobs on a full pool, and teams that send several times
their usual. A job that is done when its caller no longer needs it costs room that
others need, and its caller learns too late that it must do without. A job is refused
only if it would be too late by the earliest time that the owner's forecast gives; a
host without a recent forecast accepts.
"""

import collections
import math
import zlib

from papayapick.jobs.documents import remaining_critical_paths
from papayapick.overload.forecast import MAX_AGE_SECONDS
from papayapick.overload.types import AdmissionDecision, RefusalReason
from papayapick.overload.work_ahead import Level
from papayapick.placement.order.timeliness import useful_seconds_of

__all__ = ["AcceptedWork", "ForecastAdmission", "JobShape", "retry_after", "useful_for"]

# Bounds the memory; more than a host stores in the time that a forecast holds.
_MAX_ACCEPTED = 1000
# Loads change within this time.
_MAX_RETRY_AFTER_SECONDS = 30
_MILLICORES = 1000
_HASHES = 1 << 32


class JobShape:
    """Hold what a new job needs, by its caller's estimates.

    Parameters
    ----------
    document : JobDocument
    queue : Queue

    Attributes
    ----------
    longest : float
        Seconds of its longest task.
    path : float
        Seconds of its critical path.
    work : float
        Core-seconds.
    patience : float
        Seconds that its critical path may wait.
    useful : float
        Seconds from its acceptance for which it is of use.
    """

    __slots__ = ("longest", "path", "patience", "useful", "work")

    def __init__(self, document, queue):
        self.longest = max(
            (step.estimate_seconds for step in document.steps), default=0.0
        )
        self.path = max(remaining_critical_paths(document.steps), default=0.0)
        self.work = sum(
            step.tasks * step.room_demand.processors * step.estimate_seconds
            for step in document.steps
        )
        self.work /= _MILLICORES
        self.useful = useful_seconds_of(queue, self.path)
        self.patience = self.useful - self.path


class AcceptedWork:
    """Sum up what one host has accepted since the count of a forecast."""

    __slots__ = ("_accepted",)

    def __init__(self):
        # For each job its time, level, latest useful start and shape.
        self._accepted = collections.deque(maxlen=_MAX_ACCEPTED)

    def note(self, shape, level, now):
        """Record a job that was accepted.

        Parameters
        ----------
        shape : JobShape
        level : Level
        now : float
            Monotonic seconds.
        """
        self._accepted.append((now, level, now + shape.patience, shape))
        while now - self._accepted[0][0] > MAX_AGE_SECONDS:
            self._accepted.popleft()

    def ahead(self, level, latest_start, since):
        """Return the work that is served before a new job, and its longest task.

        Parameters
        ----------
        level : Level
            Of the new job.
        latest_start, since : float
            Monotonic seconds.

        Returns
        -------
        tuple of float
            Core-seconds and seconds.
        """
        total = longest = 0.0
        for at, other, other_start, shape in self._accepted:
            is_ahead = other == level and other_start <= latest_start
            if at > since and (other < level or is_ahead):
                total += shape.work
                longest = max(longest, shape.longest)
        return total, longest


class ForecastAdmission:
    """Decide by the forecast of the pool's owner.

    Parameters
    ----------
    forecast_of : callable
        Takes the name of a pool; returns the PoolForecast received last, or None.
    """

    __slots__ = ("_accepted", "_forecast_of")

    def __init__(self, forecast_of):
        self._forecast_of = forecast_of
        self._accepted = collections.defaultdict(AcceptedWork)

    def decide(self, document, queue, now):
        """Return whether to accept a new job; see ``AdmissionPolicy``.

        Parameters
        ----------
        document : JobDocument
        queue : Queue
        now : float
            Monotonic seconds.

        Returns
        -------
        AdmissionDecision
        """
        if document.is_timed or document.is_lasting:
            return AdmissionDecision()
        forecast = self._recent(queue.pool, now)
        if forecast is None or queue.name not in forecast.queues:
            return AdmissionDecision()
        shape = JobShape(document, queue)
        useful = useful_for(shape, forecast.queues[queue.name])
        again = forecast.owed_again.get(document.team, 0.0) if document.team else 0.0
        owed_done = self._earliest_done(shape, False, queue, forecast, now)
        again -= now - forecast.counted_at
        if again <= 0:
            if owed_done <= useful:
                return AdmissionDecision()
            # Its caller's time runs as fast as the work ahead is done.
            return AdmissionDecision(RefusalReason.TOO_LATE)
        if self._earliest_done(shape, True, queue, forecast, now) <= useful:
            return AdmissionDecision()
        # Told to come again, it has to be of use by its own estimate too.
        last = shape.useful - owed_done
        return AdmissionDecision(
            RefusalReason.BEYOND_RATE, retry_after(document.identifier, again, last)
        )

    def note_accepted(self, document, queue, now):
        """Record that a job was accepted, by the time at which it was decided on.

        Parameters
        ----------
        document : JobDocument
        queue : Queue
        now : float
            Monotonic seconds.
        """
        if document.is_timed or document.is_lasting:
            return
        forecast = self._recent(queue.pool, now)
        if forecast is None:
            return
        is_surplus = document.team in forecast.owed_again
        level = Level(is_surplus, queue.priority)
        self._accepted[queue.pool].note(JobShape(document, queue), level, now)

    def _recent(self, pool, now):
        """Return the forecast of a pool if it may be relied on, or None."""
        forecast = self._forecast_of(pool)
        if forecast is None or not forecast.processors > 0:
            return None
        return forecast if forecast.is_recent(now) else None

    def _earliest_done(self, shape, is_surplus, queue, forecast, now):
        """Return the seconds until a job could be done at the earliest."""
        one = forecast.queues[queue.name]
        begin = one.earliest_for(shape.patience, is_surplus)
        level = Level(is_surplus, queue.priority)
        work, longest = self._accepted[queue.pool].ahead(
            level, now + shape.patience, forecast.counted_at
        )
        # The last of the accepted tasks begins when no more than one for each core is
        # left, as for those that the owner counted.
        begin += max(0.0, work / forecast.processors - longest)
        begin -= now - forecast.counted_at
        return max(max(0.0, begin) + shape.path, shape.work / forecast.processors)


def useful_for(shape, forecast):
    """Return the seconds for which a job may be of use.

    An estimate that is far too low makes a job seem of use for a short time only, and
    it would be refused wrongly. So none is taken to be less patient than usual.

    Parameters
    ----------
    shape : JobShape
    forecast : QueueForecast
        Of its queue.
    """
    return shape.path + max(shape.patience, forecast.patience)


def retry_after(identifier, first, last):
    """Return after how many seconds a refused job may come again, or None.

    Jobs refused together are spread over the time in which they would be of use, by
    their identifiers: otherwise they would all come back at once, and be refused again.

    Parameters
    ----------
    identifier : str
    first, last : float
        Seconds at which it would be accepted, and at which it would still be of use.

    Returns
    -------
    int or None

    Examples
    --------
    >>> retry_after("5c0e7a21d94b36f8", 0.2, 0.9), retry_after("a", 1.2, 2.1)
    (None, 2)
    """
    last = min(last, _MAX_RETRY_AFTER_SECONDS)
    if not first <= last:
        return None
    earliest, latest = max(1, math.ceil(first)), math.floor(last)
    if earliest > latest:
        return None
    share = zlib.crc32(identifier.encode()) / _HASHES
    return earliest + int(share * (latest - earliest + 1))
