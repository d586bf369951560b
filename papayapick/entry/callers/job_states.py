"""Cache job states and queue backlogs, to answer polls without the store."""

import math
import threading
from collections import Counter, OrderedDict

from papayapick.entry.exceptions import CountUnknown
from papayapick.jobs.state import JobStatus

__all__ = ["JobStateCache"]

# About 100 bytes each; half a day of jobs at the target load of 41,000 jobs a day.
_STATES_LIMIT = 20_000
# Callers are guaranteed that a count of waiting jobs is no older than this.
_COUNT_MAX_AGE_SECONDS = 2.0


class _PoolBacklogs:
    """Hold the latest reports of a pool's owners about its queues.

    Attributes
    ----------
    epoch : int
        Newest epoch received.
    counts : dict of str to QueueBacklog
        By queue, as of ``known_at``; queues without waiting jobs are left out.
    known_at : float
        Monotonic seconds.
    refusals : dict of str to QueueBacklog
        By queue, as received at ``received_at``.
    received_at : float
        Monotonic seconds.
    forecast : PoolForecast or None
        Of the newest owner that was received.
    forecast_epoch : int
        Newest epoch from which a forecast, or none, was received.
    """

    __slots__ = (
        "counts",
        "epoch",
        "forecast",
        "forecast_epoch",
        "known_at",
        "received_at",
        "refusals",
    )

    def __init__(self):
        self.epoch = 0
        self.forecast = None
        self.forecast_epoch = 0
        self.counts = {}
        self.known_at = float("-inf")
        self.refusals = {}
        self.received_at = float("-inf")


class JobStateCache:
    """Hold the latest known status of jobs and the backlogs of queues.

    Parameters
    ----------
    clock : Clock
    """

    __slots__ = ("_clock", "_lock", "_pools", "_states", "_teams")

    def __init__(self, clock):
        self._clock = clock
        self._states = OrderedDict()
        # Team by job; jobs without a team are left out.
        self._teams = {}
        self._pools = {}
        self._lock = threading.Lock()

    def state(self, identifier):
        """Return the status of a job, or None if it is not cached."""
        with self._lock:
            return self._states.get(identifier)

    def team(self, identifier):
        """Return the team of a job whose state is cached; empty if it has none."""
        with self._lock:
            return self._teams.get(identifier, "")

    def note_statuses(self, states, teams):
        """Store statuses by job, unless an earlier message was newer.

        Messages of a replaced owner can arrive late, and those that a relay passes on
        may overtake direct ones. A status that callers may have received as final must
        not change afterwards, and a job that has begun does not wait again.

        Parameters
        ----------
        states : dict of str to str
            Status by job id.
        teams : dict of str to str
            Team by job id; empty or missing for a job without a team.
        """
        with self._lock:
            for identifier, status in states.items():
                if teams.get(identifier):
                    self._teams[identifier] = teams[identifier]
                known = self._states.get(identifier)
                if known in JobStatus.FINAL:
                    continue
                if known == JobStatus.RUNNING and status == JobStatus.WAITING:
                    continue
                self._states[identifier] = status
                self._states.move_to_end(identifier)
            while len(self._states) > _STATES_LIMIT:
                removed, _ = self._states.popitem(last=False)
                self._teams.pop(removed, None)

    def note_accepted(self, identifier, team=""):
        """Record a job that was just stored."""
        with self._lock:
            self._states.setdefault(identifier, JobStatus.WAITING)
            if team:
                self._teams[identifier] = team

    def note_backlogs(self, pool, epoch, backlogs, known_at=None):
        """Store an owner's report about the queues of its pool.

        Messages can arrive late: a report of a replaced owner is discarded, and a
        count is never replaced by one as of an earlier time.

        Parameters
        ----------
        pool : str
        epoch : int
            Of the owner.
        backlogs : dict of str to QueueBacklog
            By queue; queues without waiting jobs are left out.
        known_at : float, optional
            Monotonic time as of which the counts hold; None if the owner does not
            know them.
        """
        with self._lock:
            latest = self._pools.setdefault(pool, _PoolBacklogs())
            if epoch < latest.epoch:
                return
            latest.epoch = epoch
            latest.refusals = backlogs
            latest.received_at = self._clock.monotonic()
            if known_at is not None and known_at >= latest.known_at:
                latest.counts = backlogs
                latest.known_at = known_at

    def note_forecast(self, pool, epoch, forecast):
        """Store an owner's forecast for its pool.

        A delayed message never replaces a later count, and a new owner's heartbeat
        ends the forecast of the one before, even if it has none yet.

        Parameters
        ----------
        pool : str
        epoch : int
            Of the owner.
        forecast : PoolForecast or None
        """
        with self._lock:
            latest = self._pools.setdefault(pool, _PoolBacklogs())
            if epoch < latest.forecast_epoch:
                return
            if epoch > latest.forecast_epoch:
                latest.forecast_epoch, latest.forecast = epoch, None
            if forecast is None:
                return
            known = latest.forecast
            if known is None or forecast.counted_at >= known.counted_at:
                latest.forecast = forecast

    def forecast(self, pool):
        """Return the forecast of a pool that was received last, or None."""
        with self._lock:
            latest = self._pools.get(pool)
            return None if latest is None else latest.forecast

    def recent_forecasts(self):
        """Return the QueueForecast by queue of all pools with a recent forecast."""
        now = self._clock.monotonic()
        with self._lock:
            found = [latest.forecast for latest in self._pools.values()]
        return {
            name: one
            for forecast in found
            if forecast is not None and forecast.is_recent(now)
            for name, one in forecast.queues.items()
        }

    def all_waiting(self):
        """Return the recent, non-zero counts of waiting jobs by queue."""
        now = self._clock.monotonic()
        with self._lock:
            fresh = [
                latest.counts
                for latest in self._pools.values()
                if now - latest.known_at <= _COUNT_MAX_AGE_SECONDS
            ]
        total = Counter()
        for counts in fresh:
            total.update({name: one.waiting for name, one in counts.items()})
        return {name: count for name, count in total.items() if count}

    def waiting(self, queue, former_pools=()):
        """Return how many jobs of a queue have not begun.

        Parameters
        ----------
        queue : Queue
        former_pools : iterable of str, optional
            Other pools that may hold jobs of the queue.

        Raises
        ------
        CountUnknown
            No owner of one of the pools has reported, or not recently: only in a
            recent report does a queue that is left out have no waiting jobs.
        """
        pools = (queue.pool, *former_pools)
        return sum(self._waiting_in(pool, queue.name) for pool in pools)

    def _waiting_in(self, pool, queue):
        with self._lock:
            latest = self._pools.get(pool, _PoolBacklogs())
            age = self._clock.monotonic() - latest.known_at
            backlog = latest.counts.get(queue)
        if age > _COUNT_MAX_AGE_SECONDS:
            shown = None if math.isinf(age) else round(age, 3)
            raise CountUnknown(pool=pool, age_seconds=shown)
        return backlog.waiting if backlog is not None else 0

    def retry_after(self, pool, queue):
        """Return the seconds for which a queue refuses new jobs; 0 if it accepts them.

        A refusal expires after its own duration, counted from its receipt: otherwise
        the last report of an owner that is gone would reject callers for ever.
        """
        with self._lock:
            latest = self._pools.get(pool, _PoolBacklogs())
            backlog = latest.refusals.get(queue)
            elapsed = self._clock.monotonic() - latest.received_at
        if backlog is None:
            return 0
        return max(0, math.ceil(backlog.retry_after - elapsed))
