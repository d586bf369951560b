"""A host that serves callers and receives an owner's forecasts."""

from concurrent.futures import Future
from types import SimpleNamespace

from papayapick.clients.exceptions import TableUnavailable
from papayapick.clients.rows import StoredRow
from papayapick.clock import ManualClock
from papayapick.entry.callers.acceptance import Acceptance
from papayapick.entry.callers.job_states import JobStateCache
from papayapick.overload.forecast import PoolForecast, QueueForecast
from tests.overload.loads import RUSH, document_of

FULL_SECONDS = 60.0
SMALL = [(1, 1.0, 1.0)]
JOB = document_of(1, RUSH, SMALL)


class FakeStore:
    """Hold the row of one job, and store what is submitted."""

    def __init__(self, stored=(), is_away=False):
        self._stored = stored
        self._is_away = is_away
        self.written = []

    def read(self, table, partition, first, end, limit):
        if self._is_away:
            raise TableUnavailable()
        return [StoredRow("jobs", "pool", key, {}, 1) for key in self._stored]

    def submit(self, expectation, write):
        self.written.append(write.key)
        done = Future()
        done.set_result(True)
        return done


def forecast_of(seconds, counted_at, teams=None, surplus=None):
    surplus = seconds if surplus is None else surplus
    one = QueueForecast(seconds, seconds, 0.0, seconds, surplus, surplus, surplus)
    return PoolForecast({"rush": one}, teams or {}, 100.0, counted_at, counted_at)


class CallerHost:
    """A host that serves callers, under settings that expect overload."""

    def __init__(self, store=None, expects_overload=True):
        self.clock = ManualClock(100.0)
        self.settings = SimpleNamespace(
            expects_overload=expects_overload,
            readiness_address=("127.0.0.1", 1),
            metrics_port=0,
        )
        self.job_states = JobStateCache(self.clock)
        self.relayed_store = self.writer = store or FakeStore()
        self.queue_pools = None
        self.acceptance = Acceptance.from_host(self)
        self.store_health = SimpleNamespace(
            logged_age=lambda: None, reported_age=lambda: 0.0
        )

    @property
    def now(self):
        return self.clock.monotonic()

    def receive(self, seconds, epoch=3, **fields):
        forecast = forecast_of(seconds, self.now, **fields)
        self.job_states.note_forecast("pool", epoch, forecast)
