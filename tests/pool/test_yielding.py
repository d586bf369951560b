"""Jobs of a real owner that yield while more waits than can be in time."""

import pytest

from papayapick.entry.gauges import _refresh_plans
from papayapick.jobs import JobDocument, JobStatus, Queue, Step
from papayapick.ledger import Amounts
from papayapick.overload.features import OverloadFeatures
from papayapick.placement.order.timeliness import Timeliness, latest_start
from papayapick.pool.metrics import PLANNED_JOBS
from papayapick.pool.rounds.yielding import Standing
from tests.pool.standins import QUEUE, PoolSimulation

SECONDS = 0.8
OBJECTIVE = QUEUE.stretch * SECONDS + QUEUE.objective_seconds
OTHER = Queue("o", "h", "/o/", "pool", 2, 2, 1.5, 0.5, 3.0, False, None)


def _load(is_in_use=True, workers=8):
    load = PoolSimulation(workers=workers, length=SECONDS)
    load.owner.knowledge.features = OverloadFeatures(is_in_use)
    return load


def _yielding(load):
    return {job.identifier for job in load.owner.job_registry.jobs() if job.is_yielding}


def _burst(is_in_use):
    """Submit wide and narrow jobs at 1.6 times the capacity of the pool."""
    load = _load(is_in_use)
    for number in range(90):
        load.submit_job(tasks=16 if number % 6 == 0 else 5, estimate=SECONDS)
        load.run(0.1)
    load.run(30.0)
    assert len(load.finished) == 90
    took = load.job_durations()
    return sum(one <= OBJECTIVE for one in took) / len(took)


def test_more_jobs_are_in_time_when_the_largest_yield():
    """Guards against a burst in which each job is begun just too late."""
    assert _burst(is_in_use=True) > _burst(is_in_use=False)


def test_nothing_yields_unless_overload_is_expected():
    load = _load(is_in_use=False)
    for _ in range(40):
        load.submit_job(tasks=8, estimate=SECONDS)
    load.run(1.0)
    assert _yielding(load) == set()


def test_nothing_yields_while_the_pool_has_room():
    load = _load()
    load.submit_job(tasks=20, estimate=SECONDS)
    load.run(0.2)
    assert _yielding(load) == set()


def test_jobs_that_yield_are_served_after_those_in_time():
    load = _load()
    for number in range(40):
        load.submit_job(tasks=8 if number % 2 else 4, estimate=SECONDS)
    load.run(0.1)
    yielding = _yielding(load)
    assert yielding
    steps = load.owner.job_registry.waiting_steps()
    found = {
        step.key.job: latest_start(step, load.now)[0]
        for step in steps
        if step.key.job in yielding
    }
    assert set(found.values()) == {Timeliness.YIELDING}
    rounds = load.owner.decisions._rounds
    served = [step.job.is_yielding for step in rounds._order]
    assert served == sorted(served)


def test_jobs_come_back_when_room_is_left():
    """Guards against jobs that yield though nobody needs the room any more."""
    load = _load()
    first = [load.submit_job(tasks=8, estimate=SECONDS) for _ in range(40)]
    load.run(0.1)
    assert _yielding(load)
    for identifier in first[4:]:
        load.owner.job_registry.cancel(identifier, load.now)
    load.run(0.7)
    assert _yielding(load) == set()


@pytest.mark.parametrize("kind", ["lasting", "timed"])
def test_lasting_and_timed_jobs_never_yield(kind):
    load = _load(workers=1)
    for _ in range(20):
        load.submit_job(tasks=8, estimate=SECONDS)
    step = Step(40, Amounts(1000, 10), SECONDS, is_lasting=kind == "lasting")
    times = 2 if kind == "timed" else 0
    document = JobDocument("a" * 16, "q", "pool", "t", [step], 0.0, times, 1e12, 1.0)
    job = load.owner.job_registry.add(document, QUEUE, load.now)
    load.run(0.3)
    assert _yielding(load)
    assert not job.is_yielding


def test_jobs_beyond_the_rate_of_their_team_stay_behind_the_owed_ones():
    load = _load(workers=2)
    beyond = load.submit_job(tasks=1, estimate=SECONDS)
    load.owner.job_registry.get(beyond).is_owed = False
    load.owner.job_registry.step_queue.note_policy_change()
    owed = [load.submit_job(tasks=8, estimate=SECONDS) for _ in range(8)]
    load.run(0.1)
    assert _yielding(load) & set(owed)
    *_, last = load.owner.decisions._rounds._order
    assert last.key.job == beyond


def test_each_accepted_job_ends_although_it_yields():
    """Guards against jobs that yield again and again while others arrive."""
    load = _load(workers=2)
    large = load.submit_job(tasks=12, estimate=SECONDS)
    for _ in range(60):
        load.submit_job(tasks=2, estimate=SECONDS)
        load.run(0.1)
    load.run(20.0)
    assert load.owner.job_registry.get(large).status == JobStatus.COMPLETED
    assert len(load.finished) == 61


def test_plan_is_counted_by_queue_and_logged_at_most_each_second(caplog):
    caplog.set_level("INFO", logger="papayapick")
    load = _load()
    for _ in range(40):
        load.submit_job(tasks=8, estimate=SECONDS)
    load.run(0.2)
    counts = load.owner.decisions.planned_jobs["q"]
    assert sum(counts.values()) == len(load.owner.job_registry.live_jobs()) == 40
    assert counts[Standing.YIELDING] == len(_yielding(load))
    load.run(0.7)
    (line,) = [one for one in caplog.records if one.msg == "jobs yield"]
    assert line.fields["queue"] == "q"
    load.run(30.0)
    assert load.owner.decisions.planned_jobs == {}


def test_gauge_shows_the_plan_only_while_there_is_one():
    load = _load()
    for _ in range(40):
        load.submit_job(tasks=8, estimate=SECONDS)
    load.run(0.2)
    _refresh_plans([load.owner])
    samples = [one for family in PLANNED_JOBS.collect() for one in family.samples]
    assert {one.labels["standing"] for one in samples} <= set(Standing)
    assert sum(one.value for one in samples) == 40
    _refresh_plans([])
    assert not [one for family in PLANNED_JOBS.collect() for one in family.samples]
