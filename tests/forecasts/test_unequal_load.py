"""A load of urgent and patient jobs on workers of unlike speed, by way of placement."""

import statistics

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from papayapick.jobs import Step
from papayapick.ledger import Amounts
from tests.forecasts.unequal import PROCESSORS, URGENT, UnequalPool

SEEDS = range(1, 7)
CASES = {
    "even tasks": {},
    "one task in thirty is seven times as long": {"long_share": 0.03},
    "patient estimates are off by nine tenths": {"estimate_error": 0.9},
}


def _shares(way, case):
    """Return the mean shares in time of urgent and of patient jobs."""
    shares = [UnequalPool(way, seed, **CASES[case]).play() for seed in SEEDS]
    return [
        statistics.mean(share[queue] for share in shares)
        for queue in ("urgent", "patient")
    ]


@pytest.mark.parametrize("case", CASES)
def test_jobs_are_in_time_on_workers_of_unlike_speed(case, record_property):
    """Guards against wide urgent steps that wait for a last task on a slow worker.

    With best fit, half of the urgent jobs are late while fast workers run tasks of
    patient jobs that would be in time on any worker.
    """
    found = {way: _shares(way, case) for way in ("best fit", "by slack")}
    record_property("in time", found)
    print(case, found)
    (fit_urgent, fit_patient), (urgent, patient) = found.values()
    assert urgent > fit_urgent + 0.2
    assert urgent > 0.85
    assert patient > fit_patient - 0.05


def test_patient_jobs_leave_fast_workers_to_urgent_ones(record_property):
    """Guards against fast workers that are full of work with slack."""
    found = {way: _shares(way, "even tasks") for way in ("fastest first", "by slack")}
    record_property("in time", found)
    print(found)
    assert found["by slack"][0] > found["fastest first"][0]
    assert found["by slack"][1] == 1.0


def test_copies_are_started_where_they_end_earlier():
    """Guards against copies of tasks that are long on any worker.

    They take room, and end no earlier. Where speeds differ, a run that takes 2.4 times
    as long as another is no straggler either.
    """
    found = {}
    for way in ("best fit", "by slack"):
        pools = [
            UnequalPool(way, seed, long_share=0.03, allows_copies=True)
            for seed in SEEDS
        ]
        shares = statistics.mean(pool.play()["urgent"] for pool in pools)
        found[way] = shares, sum(pool.load.copies for pool in pools)
    print("urgent jobs in time, copies:", found)
    assert found["by slack"][0] > found["best fit"][0]
    assert 0 < found["by slack"][1] < found["best fit"][1]


@pytest.mark.parametrize("estimate", [0.0, 3.0])
def test_task_on_a_stalled_worker_is_copied_whatever_is_known_of_its_job(estimate):
    """Guards against a task that waits for ever for a worker that has stalled.

    Its step allows copies, so that it is not moved. Its caller gave no estimate; or no
    worker had room for a copy until its job was no longer useful.
    """
    pool = UnequalPool("by slack")
    demand = Amounts(1000, 10)
    step = Step(6, demand, estimate, allows_copies=True, tasks_per_worker=1)
    identifier = pool.load.submit_steps([step], URGENT, length=3.0)
    pool.load.run(1.0)
    stalled = next(one for one in pool.load.workers.values() if one.runs)
    stalled.speed = 0.0
    if estimate:
        for room in pool.load.owner.rooms:
            room.is_draining = True
            room.is_open = False
    pool.load.run(30.0)
    for room in pool.load.owner.rooms:
        room.is_draining = False
    pool.load.run(20.0)
    assert identifier in pool.load.finished
    assert pool.load.copies >= 1


def test_task_on_a_stalled_worker_is_copied_while_another_step_fits_no_worker():
    """Guards against one job that fits nowhere, and keeps all others from copies."""
    pool = UnequalPool("by slack")
    pool.load.submit_steps([Step(1, Amounts(PROCESSORS + 1, 10))], URGENT)
    demand = Amounts(1000, 10)
    step = Step(6, demand, 3.0, allows_copies=True, tasks_per_worker=1)
    identifier = pool.load.submit_steps([step], URGENT, length=3.0)
    pool.load.run(1.0)
    stalled = next(one for one in pool.load.workers.values() if one.runs)
    stalled.speed = 0.0
    pool.load.run(9.0)
    assert identifier in pool.load.finished
    assert pool.load.copies >= 1


@settings(max_examples=15, deadline=None)
@given(st.integers(0, 10**6), st.sampled_from([0, 1, 3]), st.booleans())
def test_copies_keep_all_limits(seed, tasks_per_worker, allows_copies):
    """Guards against copies that a step or a worker does not allow, or without end."""
    pool = UnequalPool(
        "by slack",
        seed,
        long_share=0.2,
        allows_copies=allows_copies,
        tasks_per_worker=tasks_per_worker,
    )
    owner = pool.load.owner
    for _ in range(40):
        slow = pool.draw.choice(list(pool.load.workers.values()))
        slow.speed = pool.draw.choice((0.0, 0.1, 0.7, 1.7))
        pool.advance()
        copies = 0
        for job in owner.job_registry.live_jobs():
            for step in job.steps():
                runs = [len(task.runs) for task in step.tasks]
                assert max(runs) <= 1 + allows_copies
                extra = sum(count - 1 for count in runs if count > 1)
                copies += extra * step.step.room_demand.processors
        assert copies <= 0.03 * owner.rooms.capacity_processors
        for room in owner.rooms:
            assert room.processors >= 0
            counts = room.step_counts.values()
            assert not tasks_per_worker or max(counts, default=0) <= tasks_per_worker
