"""Refuse new jobs by the forecast of their pool's owner, and log why."""

import threading

from papayapick.entry.exceptions import BeyondRate, TooLate
from papayapick.jobs.queues import Queue
from papayapick.overload.admission import ForecastAdmission, JobShape, useful_for
from papayapick.overload.events import JOB_REFUSED
from papayapick.overload.types import RefusalReason

__all__ = ["JobAdmission"]


class JobAdmission:
    """Decide on new jobs for the threads that serve callers.

    Parameters
    ----------
    job_states : JobStateCache
    clock : Clock
    """

    __slots__ = ("_clock", "_job_states", "_lock", "_policy")

    def __init__(self, job_states, clock):
        self._job_states = job_states
        self._clock = clock
        self._lock = threading.Lock()
        self._policy = ForecastAdmission(job_states.forecast)

    def now(self):
        """Return the monotonic time in seconds, for the other methods."""
        return self._clock.monotonic()

    def refusal(self, document, now):
        """Return the error with which a new job is refused, or None.

        Parameters
        ----------
        document : JobDocument
        now : float

        Returns
        -------
        TooLate or BeyondRate or None
        """
        queue = _queue_of(document)
        with self._lock:
            decision = self._policy.decide(document, queue, now)
        if decision.is_accepted:
            return None
        if decision.reason == RefusalReason.TOO_LATE:
            return TooLate(queue=queue.name, retry_after=decision.retry_after)
        return BeyondRate(
            queue=queue.name, team=document.team, retry_after=decision.retry_after
        )

    def note_refused(self, document, error, now):
        """Log a job that was refused, with what it was decided by.

        Parameters
        ----------
        document : JobDocument
        error : TooLate or BeyondRate
        now : float
            Time of the decision.
        """
        queue = _queue_of(document)
        forecast = self._job_states.forecast(queue.pool)
        shape = JobShape(document, queue)
        one = forecast.queues.get(queue.name) if forecast is not None else None
        if one is None:
            # A newer owner's forecast came in between and lacks the queue.
            return
        JOB_REFUSED.write(
            request_id=document.identifier,
            queue=queue.name,
            team=document.team,
            reason=error.reason,
            retry_after_seconds=error.retry_after,
            earliest_seconds=round(one.earliest_for(shape.patience), 3),
            surplus_earliest_seconds=_finite(one.earliest_for(shape.patience, True)),
            owed_again_seconds=_finite(forecast.owed_again.get(document.team)),
            useful_seconds=round(useful_for(shape, one), 3),
            path_seconds=round(shape.path, 3),
            pool_cores=round(forecast.processors, 1),
            forecast_age_seconds=round(now - forecast.known_at, 3),
            count_age_seconds=round(now - forecast.counted_at, 3),
        )

    def note_accepted(self, document, now):
        """Record a job that was stored, by the time at which it was decided on."""
        queue = _queue_of(document)
        with self._lock:
            self._policy.note_accepted(document, queue, now)


def _queue_of(document):
    """Return the queue of a new job by the policy under which it was submitted."""
    return Queue.from_policy(document.queue, document.pool, document.policy)


def _finite(seconds):
    """Return seconds rounded for the log; None if there are none or no end."""
    if seconds is None or seconds == float("inf"):
        return None
    return round(seconds, 3)
