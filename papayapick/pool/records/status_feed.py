"""Provide the job statuses and queue backlogs of a pool that callers may see."""

import collections
import math

from papayapick.jobs.state import JobStatus
from papayapick.overload.duty_cycle import DutyCycle
from papayapick.overload.forecaster import Forecaster
from papayapick.placement.order.timeliness import useful_seconds
from papayapick.pool.metrics import PROMISES_MISSED
from papayapick.pool.rounds.waiting import WaitReason

__all__ = ["StatusFeed"]

# Well below the two seconds that a number may be old when a caller reads it.
_COUNT_INTERVAL_SECONDS = 0.1
# A forecast costs several times a count, and is sent no more often than this.
_FORECAST_INTERVAL_SECONDS = 0.2
# Share of the owner's time that forecasts may take.
_FORECAST_TIME_SHARE = 0.05
# Steps that wait for these keep no room from others.
_REASONS_APART = frozenset((WaitReason.ADVICE, WaitReason.QUOTA))
_MILLICORES = 1000


class StatusFeed:
    """Read statuses and backlogs from an owner's jobs for hosts that answer callers.

    Parameters
    ----------
    owner : PoolOwner
    """

    __slots__ = (
        "_backlogs",
        "_counted_at",
        "_forecast",
        "_forecast_cycle",
        "_forecaster",
        "_known_at",
        "_owner",
    )

    def __init__(self, owner):
        self._owner = owner
        self._backlogs = {}
        self._counted_at = float("-inf")
        self._known_at = None
        self._forecast = None
        self._forecast_cycle = DutyCycle(
            _FORECAST_TIME_SHARE, _FORECAST_INTERVAL_SECONDS
        )
        self._forecaster = None
        if owner.knowledge.features.is_in_use:
            self._forecaster = Forecaster(_REASONS_APART)

    @property
    def forecast(self):
        """Return the forecast made with the last count, or None if there is none."""
        return self._forecast

    @property
    def known_at(self):
        """Return the monotonic time as of which the last count is true, or None.

        Read it together with ``backlogs``, under the owner's lock.
        """
        return self._known_at

    def take_changes(self):
        """Return the visible status of each job that changed since the last call.

        Returns
        -------
        dict of str to str
            By job id.
        """
        with self._owner.lock:
            changed, self._owner.job_registry.status_changes = (
                self._owner.job_registry.status_changes,
                set(),
            )
            jobs = [self._owner.job_registry.get(identifier) for identifier in changed]
            return {
                job.identifier: _visible_status(job) for job in jobs if job is not None
            }

    def all_states(self):
        """Return the visible status of each job, by job id."""
        with self._owner.lock:
            return {
                job.identifier: _visible_status(job)
                for job in self._owner.job_registry.jobs()
            }

    def teams(self, identifiers):
        """Return the teams of jobs by id; jobs that were removed are left out."""
        with self._owner.lock:
            jobs = [self._owner.job_registry.get(one) for one in identifiers]
            return {
                job.identifier: job.document.team for job in jobs if job is not None
            }

    def backlogs(self):
        """Return the backlog of each queue with jobs that have not started.

        Each count goes over all live jobs, so it is repeated only a few times a second,
        however many hosts read it.

        Returns
        -------
        dict of str to QueueBacklog
            By queue name.
        """
        with self._owner.lock:
            now = self._owner.now()
            if now - self._counted_at >= _COUNT_INTERVAL_SECONDS:
                self._counted_at = now
                self._backlogs = self._count_backlogs(now)
                self._known_at = self._compute_known_at()
                self._refresh_forecast(now)
            return self._backlogs

    def _compute_known_at(self):
        """Return the time as of which all waiting jobs are known, or None.

        An owner whose feed of jobs gets no answers counts too few jobs. An owner that
        was replaced without knowing it counts jobs that its successor has started. An
        owner that took over without complete records counts jobs that may be running on
        a worker that has not reported yet.
        """
        owner = self._owner
        if not (owner.has_read_state and owner.reconciliation.knows_starts):
            return None
        known_at = min(
            owner.store_sync.complete_at, owner.ownership_status.confirmed_at
        )
        return None if math.isinf(known_at) else known_at

    def _refresh_forecast(self, now):
        if self._forecaster is None:
            return
        if self._known_at is None:
            self._forecast = None
        elif self._forecast is None or self._forecast_cycle.is_due(now):
            self._forecast = self._make_forecast(now)
            self._forecast_cycle.note_run(now, self._owner.now())

    def _make_forecast(self, now):
        owner = self._owner
        configuration = owner.host.configuration.current
        queues = () if configuration is None else configuration.queues.values()
        missed_before = self._forecaster.missed
        forecast = self._forecaster.forecast(
            owner.job_registry.live_jobs(),
            [queue for queue in queues if queue.pool == owner.pool],
            self._open_processors() / _MILLICORES,
            owner.knowledge.task_times,
            lambda limit: owner.entitlements.beyond_rate(now, limit),
            now,
        )
        PROMISES_MISSED.inc(self._forecaster.missed - missed_before)
        forecast.known_at = min(self._known_at, now)
        return forecast

    def _open_processors(self):
        return sum(
            room.registration.capacity.processors
            for room in self._owner.rooms
            if room.is_open
        )

    def _count_backlogs(self, now):
        counts, ready = collections.Counter(), collections.Counter()
        useful = collections.Counter()
        for job in self._owner.job_registry.live_jobs():
            if job.status == JobStatus.WAITING:
                queue = job.document.queue
                counts[queue] += 1
                useful[queue] += useful_seconds(job)
                # A job that waits for its due time adds no load yet.
                ready[queue] += not job.document.is_timed
        monitor = self._owner.decisions.backlog
        backlogs = {}
        for queue, count in counts.items():
            backlog = monitor.backlog(queue, ready[queue], now, useful[queue] / count)
            backlog.waiting = count
            backlogs[queue] = backlog
        return backlogs


def _visible_status(job):
    """Return the status that callers may see; a final one only once it is durable.

    A final status shown during an outage of the store could be revoked: if all hosts
    lose power and the worker that listed the end is replaced, no trace of the end is
    left and the job runs again. Callers wait until the store is available instead.
    """
    if job.status in JobStatus.FINAL and job.durable_status != job.status:
        return JobStatus.RUNNING
    return job.status
