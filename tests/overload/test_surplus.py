"""Whether jobs beyond their teams' rates get room, and until when they will not."""

import pytest

from papayapick.overload.forecaster import Forecaster
from papayapick.overload.surplus import SurplusRoom
from papayapick.overload.work_ahead import Level
from tests.overload.loads import NOW, REBUILD, RUSH, Load

RUSH_LEVEL, REBUILD_LEVEL = Level(True, 0), Level(True, 3)


def note(room, *counts):
    """Record counts of the waiting tasks of two jobs, each half a second."""
    for number, (rush, rebuild) in enumerate(counts):
        jobs = {"a": (RUSH_LEVEL, rush), "b": (REBUILD_LEVEL, rebuild)}
        room.note(jobs, number / 2)
    return (len(counts) - 1) / 2


def test_level_that_was_not_served_for_long_is_closed():
    room = SurplusRoom()
    now = note(room, (5, 9), (5, 9), (5, 8), (5, 8), (5, 8))
    assert room.is_closed(RUSH_LEVEL, now)
    assert not room.is_closed(REBUILD_LEVEL, now)


def test_level_without_waiting_jobs_is_open():
    """Guards against refusing for ever once nobody waits any more."""
    room = SurplusRoom()
    now = note(room, (5, 0), (5, 0), (5, 0), (5, 0), (5, 0), (0, 0))
    assert not room.is_closed(RUSH_LEVEL, now)
    assert not room.is_closed(REBUILD_LEVEL, now)
    room.note({}, now)
    assert not room.is_closed(RUSH_LEVEL, now)


def test_surplus_waits_on_a_pool_that_owed_work_just_fills():
    """Guards against accepting what waits in vain though little waits before it.

    Each core that becomes free goes to owed work that has come meanwhile.
    """
    load = Load(100)
    load.add(RUSH, [(10, 2.0, 1.0)], is_owed=False)
    load.add(REBUILD, [(20, 2.0, 1.0)])
    load.forecast()
    for number in range(1, 46):
        now = NOW + number / 10
        owed = [load.add(REBUILD, [(1, 1.0, 1.0)], now=now) for _ in range(10)]
        for job in owed:
            load.begin(job, 1, now)
        found = load.forecast(now).queues["rush"]
        for job in owed:
            load.registry.finish(job, "completed", now)
    assert found.earliest <= 0
    # 40 core-seconds wait; what comes wants some 85 of the 100 cores at least.
    assert found.surplus_earliest == pytest.approx(3.3, abs=1)


def test_surplus_that_waits_for_its_team_does_not_tell_that_there_is_no_room():
    """Guards against refusals of all surplus because one team uses all it may."""
    load = Load(100)
    load.forecaster = Forecaster(("quota",))
    job = load.add(REBUILD, [(10, 2.0, 10.0)], is_owed=False)
    job.steps()[0].wait_reason = "quota"
    load.forecast()
    now = NOW + 2.5
    load.add(REBUILD, [(100, 2.0, 2.0)], now=now)
    found = load.forecast(now).queues["rebuild"]
    # 200 of the 400 core-seconds have to be begun before the last of the tasks can.
    assert found.surplus_earliest == pytest.approx(2.0)
