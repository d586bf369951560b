"""Which jobs yield when not all can be in time, and what is gained by it."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from papayapick.overload.plan import YieldPlan
from papayapick.overload.types import DelayedJob
from tests.overload.replays import REBUILD, RUSH, LatestStart, Yielding, hard_load

SEEDS = range(20)
CORES = 10
WORK = st.floats(0.1, 100.0)
JOBS = st.lists(
    st.tuples(WORK, st.floats(0.0, 20.0), st.booleans(), WORK, st.sampled_from("ab")),
    max_size=60,
)


def _delayed(rows):
    return [
        DelayedJob(f"{number:03d}", work, finish_by, has_begun, size, queue)
        for number, (work, finish_by, has_begun, size, queue) in enumerate(rows)
    ]


def _plan(jobs, plan=None):
    return (plan or YieldPlan()).yielding(jobs, 1000 * CORES, 0.0)


def _excess(jobs, yielding):
    """Return the most core-seconds that are beyond what can be done by a time."""
    work = excess = 0.0
    for job in sorted(jobs, key=lambda job: (job.finish_by, job.identifier)):
        if job.identifier not in yielding:
            work += job.work
            excess = max(excess, work - CORES * job.finish_by)
    return excess


def _ranks(jobs):
    """Return by identifier the share of the jobs of its queue that are smaller."""
    sizes = {}
    for job in jobs:
        sizes.setdefault(job.queue, []).append(job.size)
    return {
        job.identifier: sum(size < job.size for size in sizes[job.queue])
        / len(sizes[job.queue])
        for job in jobs
    }


@given(JOBS)
def test_nobody_yields_when_all_fit(rows):
    jobs = _delayed(rows)
    if _excess(jobs, set()) <= 0:
        assert _plan(jobs) == set()


@given(JOBS)
def test_what_does_not_yield_fits_or_may_not_yield(rows):
    jobs = _delayed(rows)
    yielding = _plan(jobs)
    if _excess(jobs, yielding) > 1e-6:
        ranks = _ranks(jobs)
        unbegun = [job for job in jobs if not job.has_begun]
        kept = [job for job in unbegun if job.identifier not in yielding]
        assert any(ranks[job.identifier] >= 0.7 for job in kept)


@given(JOBS)
def test_begun_jobs_do_not_yield_to_others(rows):
    """Guards against room that was used in vain for jobs that are then left."""
    jobs = _delayed(rows)
    yielding = _plan(jobs)
    last = max(
        (job.finish_by for job in jobs if job.has_begun and job.identifier in yielding),
        default=None,
    )
    if last is None:
        return
    # One that needs its room earlier would have yielded in its place.
    begun = [job for job in jobs if job.has_begun and job.identifier in yielding]
    earliest = min(job.finish_by for job in begun)
    for job in jobs:
        if not job.has_begun and job.finish_by < earliest:
            assert job.identifier in yielding


@given(JOBS)
def test_at_most_half_of_the_large_jobs_of_a_queue_yield(rows):
    """Guards against callers with large jobs that are never served.

    Not counted are jobs that could not be in time even by themselves.
    """
    jobs = _delayed(rows)
    if min((sum(job.queue == name for job in jobs) for name in "ab"), default=0) < 10:
        return
    yielding, ranks = _plan(jobs), _ranks(jobs)
    for queue in "ab":
        for low, high in ((0.7, 0.9), (0.9, 1.0)):
            alike = [
                job.identifier
                for job in jobs
                if job.queue == queue and low <= ranks[job.identifier] < high
            ]
            unbegun = {
                job.identifier
                for job in jobs
                if not job.has_begun and not job.work > CORES * job.finish_by > 0
            }
            assert len(yielding & unbegun & set(alike)) <= len(alike) / 2


def test_large_jobs_that_have_yielded_count_in_later_plans():
    """Guards against large jobs that come one at a time and yield each time."""
    plan, yielded = YieldPlan(), 0
    for number in range(40):
        small = [
            DelayedJob(f"{number}-{one}", 4.0, 2.0, False, 4.0 + one / 10, "a")
            for one in range(9)
        ]
        large = DelayedJob(f"{number}-large", 15.0, 2.0, False, 15.0, "a")
        yielded += large.identifier in _plan([*small, large], plan)
    assert 10 <= yielded <= 20


def test_the_largest_yields_to_the_others():
    jobs = [
        DelayedJob("large", 30.0, 1.0, False, 30.0),
        DelayedJob("small", 5.0, 1.0, False, 5.0),
        DelayedJob("later", 5.0, 2.0, False, 5.0),
    ]
    assert _plan(jobs) == {"large"}


def test_without_processors_all_yield():
    jobs = _delayed([(1.0, 5.0, False, 1.0, "a"), (1.0, 5.0, True, 1.0, "a")])
    assert YieldPlan().yielding(jobs, 0.0, 0.0) == {"000", "001"}


def _sum_up(replays, queue, low=0.0, high=1.0):
    """Return the share of jobs in time, by count and by worth, of a span of sizes."""
    jobs = [job for replay in replays for job in replay.of_size(queue, low, high)]
    in_time = sum(job.is_in_time for job in jobs) / len(jobs)
    return in_time, sum(job.worth for job in jobs) / sum(job.size for job in jobs)


@pytest.fixture(scope="module")
def replays():
    """Return replays of the same loads by latest start and with the plan."""
    return {
        way.__name__: [hard_load(way(), seed) for seed in SEEDS]
        for way in (LatestStart, Yielding)
    }


def test_more_jobs_are_in_time_than_by_latest_start(replays):
    """Guards against a burst in which each job is begun just too late.

    The pool loses a third of its cores during bursts of both queues. The urgent jobs
    precede the patient ones in either way, and must not be worse off.
    """
    before, before_worth = _sum_up(replays["LatestStart"], REBUILD)
    after, after_worth = _sum_up(replays["Yielding"], REBUILD)
    assert after > before + 0.05
    assert after_worth > before_worth + 0.05
    assert _sum_up(replays["Yielding"], RUSH)[0] > (
        _sum_up(replays["LatestStart"], RUSH)[0] - 0.01
    )


@pytest.mark.parametrize(("low", "high"), [(0.9, 1.0), (0.7, 0.9)])
def test_large_jobs_are_in_time_at_least_half_as_often_as_all(replays, low, high):
    all_jobs, _ = _sum_up(replays["Yielding"], REBUILD)
    large, _ = _sum_up(replays["Yielding"], REBUILD, low, high)
    assert large >= all_jobs / 2


def test_every_accepted_job_ends(replays):
    """Guards against jobs that yield for ever."""
    for replay in replays["Yielding"]:
        assert all(job.finished_at is not None for job in replay.jobs)


def test_job_that_can_not_be_in_time_alone_makes_no_others_yield():
    """Guards against one job with an absurd estimate behind which all others yield.

    It is the only one of the largest of its queue, half of which may yield: none.
    """
    works = [1.0 + number % 7 for number in range(20)]
    jobs = [
        DelayedJob(str(number), work, 5.0 + number % 11, False, work, "q")
        for number, work in enumerate(works)
    ]
    for work in (1000.0, 1e300, float("inf")):
        huge = DelayedJob("huge", work, 6.0, False, work, "q")
        assert YieldPlan().yielding([*jobs, huge], 15000, 0.0) == {"huge"}
