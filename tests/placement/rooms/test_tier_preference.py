"""The order in which steps use workers of unlike speed."""

import time
from types import SimpleNamespace

import pytest
from hypothesis import given
from hypothesis import strategies as st

from papayapick.forecasts import DeclaredTimes
from papayapick.jobs import JobDocument, JobRegistry, Queue, Step
from papayapick.ledger import Amounts
from papayapick.placement.rooms.rooms import Rooms, WorkerRoom
from papayapick.placement.rooms.tier_preference import (
    TierPreference,
    _chain_length,
    order_tiers,
)
from papayapick.pool.workers.reports import Registration
from papayapick.speeds import SpeedTier, UnknownSpeeds
from tests.forecasts.speeds import KnownSpeeds

QUEUE = Queue("q", "h", "/q/", "pool", 0, 2, 2.0, 0.5, 3.0, False, None)
TASK = Amounts(1000, 10)
SPEEDS = {"slow": 0.6, "normal": 1.0, "fast": 2.0}
SLOW_FIRST = (SpeedTier.SLOW, SpeedTier.NORMAL, SpeedTier.FAST)
FAST_FIRST = (SpeedTier.FAST, SpeedTier.NORMAL, SpeedTier.SLOW)


@pytest.fixture
def knowledge():
    return SimpleNamespace(speeds=KnownSpeeds(SPEEDS), task_times=DeclaredTimes())


@pytest.fixture
def rooms():
    found = Rooms()
    for name in SPEEDS:
        registration = Registration(name, "pool", "a:1", "z", Amounts(4000, 4000), ())
        room = WorkerRoom(registration)
        room.is_open = True
        found.add(room)
    return found


@pytest.fixture
def preference(knowledge, rooms):
    found = rooms.preference = TierPreference(knowledge)
    found.refresh(rooms, 0.0)
    return found


def _step(*steps, queue=QUEUE, **document):
    document = JobDocument("0" * 16, "q", "pool", "t", steps, 0.0, **document)
    job = JobRegistry().add(document, queue, 0.0)
    job.open_occurrence(0)
    return job.steps()[0]


def _tiers(preference, step, now):
    preference.begin_round(now)
    return preference.tiers(step)


def test_job_with_slack_uses_slow_workers_first(preference):
    # It has 20.5 s, and takes 14 s on a slow worker with the margin and overheads.
    step = _step(Step(1, TASK, 10.0), queue=_patient())
    assert _tiers(preference, step, 0.0) == SLOW_FIRST


def test_job_uses_the_slowest_workers_on_which_it_is_in_time(preference):
    step = _step(Step(1, TASK, 10.0))
    expected = (SpeedTier.NORMAL, SpeedTier.FAST, SpeedTier.SLOW)
    assert _tiers(preference, step, 0.0) == expected


def test_job_that_has_waited_uses_fast_workers_first(preference):
    step = _step(Step(1, TASK, 10.0))
    assert _tiers(preference, step, 10.0) == FAST_FIRST


def test_late_job_uses_fast_workers_while_it_is_useful(preference):
    step = _step(Step(1, TASK, 10.0))
    assert _tiers(preference, step, 30.0) == FAST_FIRST
    assert _tiers(preference, step, 62.0) == SLOW_FIRST


def test_steps_that_follow_count(preference):
    """Guards against a first step that leaves no time for the second one."""
    alone = _step(Step(1, TASK, 1.0), queue=_patient())
    preceding = _step(Step(1, TASK, 1.0), Step(1, TASK, 30.0, [0]), queue=_patient())
    assert _tiers(preference, alone, 0.0) == SLOW_FIRST
    preference.begin_round(0.0)
    assert _tiers(preference, preceding, 50.0) == FAST_FIRST


@pytest.mark.parametrize(
    "step",
    [
        Step(1, TASK, 1.0, is_lasting=True),
        Step(1, TASK, 1.0, is_filler=True),
        Step(1, TASK, 0.0),
    ],
    ids=["lasting", "filler", "no estimate"],
)
def test_speed_does_not_matter_to_steps_without_an_expected_end(preference, step):
    assert _tiers(preference, _step(step), 0.0) == ()


def test_speed_does_not_matter_to_timed_jobs(preference):
    step = _step(Step(1, TASK, 1.0), occurrences=3, first_due=0.0, interval_seconds=1)
    assert _tiers(preference, step, 0.0) == ()


def test_speed_does_not_matter_once_speeds_differ_no_more(knowledge, rooms, preference):
    """Guards against classes that are kept from before a pool was replaced."""
    step = _step(Step(1, TASK, 10.0))
    assert _tiers(preference, step, 0.0)
    knowledge.speeds = UnknownSpeeds()
    preference.refresh(rooms, 0.1)
    assert preference.tiers(step) == ()
    assert {room.tier for room in rooms} == {SpeedTier.NORMAL}


def test_workers_are_filed_by_their_new_class(knowledge, rooms, preference):
    """Guards against a worker that stays among the fast ones after it slowed down."""
    knowledge.speeds.speeds = SPEEDS | {"fast": 0.6, "slow": 2.0}
    preference.refresh(rooms, 10.0)
    step = _step(Step(1, TASK, 10.0))
    preference.begin_round(10.0)
    assert rooms.choose(step, 0).worker == "slow"


def test_advice_is_asked_about_preferred_workers_with_room_first(rooms, preference):
    """Guards against advice on a hundred workers that are full, or too slow."""
    step = _step(Step(1, TASK, 10.0))
    tiers = _tiers(preference, step, 10.0)
    names = [room.worker for room in rooms.most_free(step.step, tiers)]
    assert names == ["fast", "normal", "slow"]
    rooms.get("fast").processors = 0
    names = [room.worker for room in rooms.most_free(step.step, tiers)]
    assert names == ["normal", "slow", "fast"]


def test_step_that_many_others_follow_is_judged_at_once(preference):
    """Guards against an owner that holds its lock until another host takes the pool.

    The time to find the longest chain doubled with each step that follows all others:
    3.5 s for 22 of them, in each round.
    """
    steps = [Step(1, TASK, 0.05, range(number)) for number in range(40)]
    step = _step(*steps)
    began_at = time.process_time()
    assert _tiers(preference, step, 0.0) == FAST_FIRST
    assert time.process_time() - began_at < 1.0


@pytest.mark.parametrize(
    ("after", "length"),
    [([[], [0], [0], [1, 2], [2]], 3), ([[], [], [1], [0]], 2), ([[], [], [1]], 1)],
)
def test_each_step_of_the_longest_chain_takes_time(preference, after, length):
    """Guards against a job that is late by what the starts of its steps take."""
    step = _step(*(Step(1, TASK, 0.0, one) for one in after))
    assert _chain_length(step.job.document.steps, 0) == length


@given(st.sets(st.sampled_from(list(SpeedTier))))
def test_every_class_is_in_the_order_once(in_time):
    """Guards against a step that waits although a worker of some class has room."""
    order = order_tiers(in_time)
    assert sorted(order) == list(SpeedTier)
    assert set(order[: len(in_time)]) == in_time


def _patient():
    return Queue("q", "h", "/q/", "pool", 1, 2, 3.0, 0.5, 3.0, False, None)
