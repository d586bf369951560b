"""Repeated computations of an owner that take a bounded share of its time."""

import pytest

from papayapick.overload.duty_cycle import DutyCycle
from papayapick.overload.features import OverloadFeatures
from papayapick.pool.records import status_feed
from papayapick.pool.rounds import urgent_stops, yielding
from tests.pool.standins import PoolSimulation

PLAN_SECONDS = 0.06
SECONDS = 10.0


@pytest.mark.parametrize(("took", "share"), [(0.001, 0.1), (0.06, 0.1), (2.0, 0.05)])
def test_share_of_the_time_is_bounded(took, share):
    """Guards against an owner that plans all the time on a small host."""
    cycle, now, spent = DutyCycle(share), 0.0, 0.0
    while now < 100.0:
        if cycle.is_due(now):
            cycle.note_run(now, now + took)
            spent += took
        now += 0.05
    assert spent <= share * now + took


def test_quick_computation_runs_at_its_interval():
    cycle = DutyCycle(0.1, 0.5)
    runs = []
    for tenth in range(31):
        if cycle.is_due(tenth / 10):
            cycle.note_run(tenth / 10, tenth / 10)
            runs.append(tenth)
    assert runs == [0, 5, 10, 15, 20, 25, 30]


@pytest.mark.parametrize(
    ("owner_class", "method", "share"),
    [
        (urgent_stops.UrgentStops, "_plan", urgent_stops._MAX_TIME_SHARE),
        (yielding.YieldingJobs, "_choose", yielding._MAX_TIME_SHARE),
        (status_feed.StatusFeed, "_make_forecast", status_feed._FORECAST_TIME_SHARE),
    ],
    ids=["stops", "plan", "forecast"],
)
def test_owner_keeps_most_of_its_time_for_placing(
    monkeypatch, owner_class, method, share
):
    """Guards against leases that lapse while an owner on a small host plans.

    With hundreds of steps waiting each plan takes tens of milliseconds of its lock.
    """
    load = PoolSimulation(workers=4, length=0.5)
    load.owner.knowledge.features = OverloadFeatures(expects_overload=True)
    load.owner.status_feed = status_feed.StatusFeed(load.owner)
    load.owner.has_read_state = True
    calls = []
    original = getattr(owner_class, method)

    def slow(self, *arguments):
        load.host.clock.advance(PLAN_SECONDS)
        calls.append(load.now)
        return original(self, *arguments)

    monkeypatch.setattr(owner_class, method, slow)
    begin = load.now
    while load.now - begin < SECONDS:
        load.submit_job(tasks=20, estimate=0.5)
        load.run(0.1)
        load.owner.status_feed.backlogs()
    assert calls
    assert len(calls) * PLAN_SECONDS <= share * (load.now - begin) + PLAN_SECONDS
