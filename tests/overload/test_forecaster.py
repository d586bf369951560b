"""Work ahead by priority, and the bounds for work that comes now."""

import math

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from papayapick.forecasts import DeclaredTimes
from papayapick.overload.arrivals import Arrivals
from papayapick.overload.throughput import Throughput
from papayapick.overload.work_ahead import Level, WorkAhead
from tests.overload.loads import NOW, REBUILD, RUSH, Load, queue_of


def work_of(load, now=NOW):
    work = WorkAhead(DeclaredTimes())
    for job in load.registry.live_jobs():
        work.add(job, now)
    return work


def test_work_is_summed_up_by_priority_and_entitlement():
    load = Load(100)
    load.add(RUSH, [(10, 2.0, 1.0)])
    load.add(REBUILD, [(20, 4.0, 3.0), (10, 4.0, 3.0)])
    load.add(REBUILD, [(1, 4.0, 3.0)], is_owed=False)
    levels = work_of(load).levels
    assert levels[Level(False, 0)].ready == pytest.approx(20)
    assert levels[Level(False, 3)].ready == pytest.approx(240)
    assert levels[Level(False, 3)].other == pytest.approx(120)
    assert levels[Level(True, 3)].ready == pytest.approx(12)


def test_running_tasks_count_between_nothing_done_and_all_since_ready_done():
    load = Load(100)
    load.begin(load.add(RUSH, [(10, 2.0, 1.0)]), 4)
    work = work_of(load, NOW + 0.25).levels[Level(False, 0)]
    assert (work.ready, work.running_most) == (pytest.approx(12), pytest.approx(8))
    assert work.running_least == pytest.approx(6)


JOBS = st.lists(
    st.tuples(
        st.sampled_from([RUSH, REBUILD]),
        st.lists(
            st.tuples(st.integers(1, 5), st.floats(0.001, 8), st.floats(0, 9)),
            min_size=1,
            max_size=3,
        ),
        st.booleans(),
        st.integers(0, 5),
        st.floats(0, 40),
    ),
    max_size=8,
)


@settings(derandomize=True, max_examples=150, deadline=None)
@given(JOBS)
def test_sums_of_all_levels_are_the_work_of_all_unfinished_tasks(jobs):
    load, expected = Load(100), 0.0
    for queue, steps, is_owed, begun, age in jobs:
        job = load.add(queue, steps, is_owed=is_owed, age=age)
        load.begin(job, min(begun, len(job.steps()[0].tasks)))
        expected += sum(
            step.tasks * step.demand.processors / 1000 * step.estimate_seconds
            for step in job.document.steps
        )
    work = work_of(load)
    total = sum(one.total for one in work.levels.values())
    assert total == pytest.approx(expected)
    assert sum(amount for _, amount in work.jobs.values()) == pytest.approx(expected)
    for level in work.levels.values():
        assert 0 <= level.running_least <= level.running_most
        assert level.ready_before(math.inf) == pytest.approx(level.ready)


@settings(derandomize=True, max_examples=150, deadline=None)
@given(JOBS, st.sampled_from([0.0, 0.5, 40.0]))
def test_bounds_are_in_order(jobs, cores):
    load = Load(cores)
    for queue, steps, is_owed, begun, age in jobs:
        job = load.add(queue, steps, is_owed=is_owed, age=age)
        load.begin(job, min(begun, len(job.steps()[0].tasks)))
    for one in load.forecast().queues.values():
        assert one.earliest <= one.patient_earliest <= one.latest + 1e-9
        assert one.surplus_earliest <= one.surplus_patient_earliest
        assert one.surplus_patient_earliest <= one.surplus_latest + 1e-9
        assert max(0, one.earliest) <= max(0, one.surplus_earliest)


def test_urgent_work_waits_for_no_patient_work():
    load = Load(100)
    load.begin(load.add(REBUILD, [(200, 4.0, 3.8)]), 25)
    forecast = load.forecast().queues
    assert forecast["rush"].earliest <= 0
    assert forecast["rebuild"].patient_earliest == pytest.approx(3040 / 100 - 3.8)
    # A job that may wait for a shorter time is served before these.
    assert forecast["rebuild"].earliest <= 0


def test_surplus_waits_for_all_that_is_owed():
    load = Load(100)
    load.add(REBUILD, [(200, 4.0, 3.8)])
    one = load.forecast().queues["rush"]
    assert one.surplus_earliest == pytest.approx(3040 / 100 - 3.8)


def test_owed_work_waits_for_no_surplus():
    load = Load(100)
    load.add(REBUILD, [(200, 4.0, 3.8)], is_owed=False)
    one = load.forecast().queues["rebuild"]
    assert one.patient_earliest <= 0
    assert one.surplus_patient_earliest == pytest.approx(3040 / 100 - 3.8)


def test_jobs_of_no_more_use_keep_nobody_waiting():
    load = Load(10)
    load.add(RUSH, [(100, 2.0, 1.0)], age=60.0)
    assert load.forecast().queues["rush"].earliest <= 0


def test_surplus_waits_longer_while_owed_work_goes_on_coming():
    load = Load(100)
    load.forecast()
    for number in range(1, 101):
        now = NOW + number / 10
        job = load.add(REBUILD, [(2, 4.0, 1.0)], now=now)
        load.forecast(now)
        load.registry.finish(job, "cancelled", now)
    load.add(REBUILD, [(200, 4.0, 3.8)], now=now)
    one = load.forecast(now).queues["rebuild"]
    # What came for ten seconds wants some 80 of the 100 cores, and may go on as long.
    assert 4 < one.surplus_earliest - one.patient_earliest < 8
    assert one.surplus_latest > one.surplus_earliest


def test_low_bound_of_arrivals_is_below_their_mean_and_the_high_one_above():
    arrivals = Arrivals()
    level = Level(False, 0)
    for number in range(101):
        arrivals.note([(level, 5.0)], number / 10)
    low, high = arrivals.bounds(lambda _: True, 10.0)
    assert 0 < low < 50 < high
    assert arrivals.bounds(lambda other: other < level, 10.0) == (0, 0)
    assert arrivals.work_since(9.0) == pytest.approx(50)


def test_throughput_is_measured_only_while_jobs_wait():
    throughput = Throughput()
    for number in range(31):
        throughput.note(1000 - 40 * number / 10, True, 0.8, number / 10)
    assert throughput.completed(lambda _: 0.0, 3.0) == pytest.approx(40)
    assert throughput.completed(lambda _: 30.0, 3.0) == pytest.approx(50)
    assert throughput.share() == pytest.approx(0.8)
    throughput.note(0.0, False, 0.1, 3.1)
    assert throughput.completed(lambda _: 0.0, 3.1) is None
    assert throughput.share() == 1


def test_pool_of_slow_workers_is_forecast_by_what_it_completes():
    """Guards against a latest time that supposes workers as fast as the estimates."""
    load = Load(100)
    for _ in range(60):
        load.add(REBUILD, [(40, 2.0, 1.0)])
    first, second, *_ = load.registry.jobs()
    load.begin(first, 40)
    load.begin(second, 10)
    for number in range(31):
        load.forecast(NOW + number / 10)
    load.registry.finish(first, "completed", NOW + 3)
    one = load.forecast(NOW + 3.1).queues["rebuild"]
    done_a_second = 80 / 3.1
    assert one.latest == pytest.approx(59 * 80 / done_a_second, rel=0.05)
    assert one.patient_earliest < one.latest


def test_missed_promise_is_counted_once():
    """Guards against forecasts that promise too much without anybody seeing it."""
    load = Load(100)
    job = load.add(RUSH, [(1, 2.0, 1.0)])
    load.forecast(NOW)
    useful = 3 * (1.5 + 0.5)
    load.forecast(NOW + useful - 0.1)
    assert load.forecaster.missed == 0
    load.forecast(NOW + useful + 0.1)
    load.forecast(NOW + useful + 0.2)
    assert load.forecaster.missed == 1
    load.registry.finish(job, "completed", NOW + 9)


def test_job_without_hope_by_the_latest_time_is_no_promise():
    load = Load(1)
    for _ in range(5):
        load.add(RUSH, [(10, 2.0, 1.0)])
    load.forecast(NOW)
    load.forecast(NOW + 60)
    assert load.forecaster.missed == 0


def test_pool_without_workers_has_no_bound_that_refuses():
    load = Load(0)
    load.add(RUSH, [(10, 2.0, 1.0)])
    assert load.forecast().processors == 0


def test_queue_that_allows_less_time_than_its_work_takes_has_no_patience():
    tight = queue_of("tight", 0, stretch=0.1, objective=0.0)
    load = Load(1)
    load.add(tight, [(10, 2.0, 1.0)])
    assert load.forecast().queues["tight"].earliest <= 0
