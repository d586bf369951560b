"""A host refuses only jobs that could be of no use any more."""

import math

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from papayapick.overload.admission import ForecastAdmission, JobShape, retry_after
from papayapick.overload.forecast import PoolForecast, QueueForecast
from papayapick.overload.types import RefusalReason
from tests.overload.loads import NOW, REBUILD, RUSH, Load, document_of

SMALL = [(1, 2.0, 1.0)]
# A rush job of one second is of use for 6 s, and may wait for 5.
PATIENCE = 5.0


def forecast_of(earliest=0.0, surplus=0.0, teams=None, cores=100.0, age=0.0):
    one = QueueForecast(
        earliest, earliest, 0.0, earliest + 9, surplus, surplus, surplus + 9
    )
    return PoolForecast(
        {"rush": one, "rebuild": one}, teams or {}, cores, NOW - age, NOW - age
    )


def decide(forecast, steps=SMALL, team="", queue=RUSH, number=1):
    admission = ForecastAdmission(lambda pool: forecast)
    return admission.decide(document_of(number, queue, steps, team), queue, NOW)


def test_job_that_begins_in_time_is_accepted():
    assert decide(forecast_of(PATIENCE - 0.1)).is_accepted


def test_job_that_is_too_late_at_best_is_refused_without_a_time():
    """Guards against callers that come again for a job that is of no use any more."""
    decision = decide(forecast_of(PATIENCE + 0.1))
    assert decision.reason == RefusalReason.TOO_LATE
    assert decision.retry_after is None


def test_estimate_that_is_far_too_low_refuses_nobody():
    """Guards against refusing a job that is of use for longer than it seems.

    The caller's estimate is a tenth of what the job takes, and so is the time for
    which the job would be of use.
    """
    forecast = forecast_of(PATIENCE - 0.1)
    forecast.queues["rush"].patience = PATIENCE
    assert decide(forecast, [(1, 2.0, 0.1)]).is_accepted
    forecast = forecast_of(PATIENCE + 0.1)
    forecast.queues["rush"].patience = PATIENCE
    assert not decide(forecast, [(1, 2.0, 0.1)]).is_accepted


def test_age_of_a_forecast_counts_for_the_caller():
    assert decide(forecast_of(PATIENCE + 0.4, age=0.5)).is_accepted
    assert not decide(forecast_of(PATIENCE + 0.6, age=0.5)).is_accepted


@pytest.mark.parametrize("age", [1.01, 60.0, -0.01, math.inf, math.nan])
def test_forecast_that_is_old_or_undated_refuses_nobody(age):
    """Guards against refusing for ever after the owner died while its pool was full."""
    assert decide(forecast_of(99.0, age=age)).is_accepted


def test_host_without_a_forecast_accepts():
    assert decide(None).is_accepted
    assert decide(PoolForecast({}, {}, 9.0, NOW, NOW)).is_accepted


def test_pool_without_open_workers_refuses_nobody():
    assert decide(forecast_of(99.0, cores=0.0)).is_accepted


def test_team_within_its_rate_is_not_refused_for_a_surplus():
    """Guards against teams that are refused for the burst of another."""
    forecast = forecast_of(0.0, surplus=99.0, teams={"hot": 2.0})
    assert decide(forecast, team="quiet").is_accepted
    assert decide(forecast, team="").is_accepted


def test_job_beyond_the_rate_is_refused_with_the_time_at_which_its_team_is_owed():
    forecast = forecast_of(0.0, surplus=99.0, teams={"hot": 1.5})
    found = [decide(forecast, team="hot", number=number) for number in range(99)]
    assert {one.reason for one in found} == {RefusalReason.BEYOND_RATE}
    assert {one.retry_after for one in found} == {2, 3, 4, 5}


def test_job_beyond_the_rate_is_accepted_while_there_is_room():
    forecast = forecast_of(0.0, surplus=1.0, teams={"hot": 99.0})
    assert decide(forecast, team="hot").is_accepted


@pytest.mark.parametrize("again", [5.1, 600.0, math.inf])
def test_team_that_is_owed_too_late_gets_no_time(again):
    decision = decide(forecast_of(0.0, 99.0, {"hot": again}), team="hot")
    assert (decision.is_accepted, decision.retry_after) == (False, None)


def test_team_that_is_owed_again_since_the_count_is_judged_as_owed():
    forecast = forecast_of(0.0, 99.0, {"hot": 0.4}, age=0.5)
    assert decide(forecast, team="hot").is_accepted


def test_retry_times_are_spread():
    """Guards against a crowd that comes back at once and is refused at once."""
    found = [retry_after(f"{number:016x}", 0.3, 6.2) for number in range(600)]
    assert set(found) == {1, 2, 3, 4, 5, 6}
    assert max(found.count(second) for second in set(found)) < 150


def test_what_this_host_accepted_since_the_count_counts():
    """Guards against a crowd that is accepted between two forecasts."""
    forecast = forecast_of(0.0, cores=10.0)
    admission = ForecastAdmission(lambda pool: forecast)
    accepted = 0
    for number in range(60):
        document = document_of(number, RUSH, [(10, 2.0, 1.0)])
        if admission.decide(document, RUSH, NOW + 0.1).is_accepted:
            admission.note_accepted(document, RUSH, NOW + 0.1)
            accepted += 1
    # Each keeps the pool busy for 2 s; the last of those before a job may begin after
    # 5 s and run for 1 s.
    assert accepted == 4


def test_patient_work_that_this_host_accepted_delays_no_urgent_job():
    forecast = forecast_of(0.0, cores=10.0)
    admission = ForecastAdmission(lambda pool: forecast)
    wide = document_of(1, REBUILD, [(200, 4.0, 3.8)])
    admission.note_accepted(wide, REBUILD, NOW + 0.1)
    urgent = document_of(2, RUSH, SMALL)
    assert admission.decide(urgent, RUSH, NOW + 0.1).is_accepted


@pytest.mark.parametrize("is_owed", [True, False])
def test_wide_patient_job_is_not_refused_for_work_that_is_served_after_it(is_owed):
    load = Load(100)
    for _ in range(50):
        load.add(REBUILD, [(40, 4.0, 3.8)], is_owed=False)
    wide = document_of(99, REBUILD, [(40, 4.0, 3.8)] * 2, "large")
    if not is_owed:
        load.owed_again = {"large": 60.0}
    admission = ForecastAdmission(lambda pool: load.forecast())
    assert admission.decide(wide, REBUILD, NOW).is_accepted == is_owed


def test_memory_of_accepted_work_is_bounded():
    forecast = forecast_of(0.0, cores=1e9)
    admission = ForecastAdmission(lambda pool: forecast)
    for number in range(1500):
        admission.note_accepted(document_of(number, RUSH, SMALL), RUSH, NOW)
    assert len(admission._accepted["pool"]._accepted) == 1000


NUMBERS = st.one_of(
    st.floats(-5, 60), st.sampled_from([math.inf, 0.0, -0.0, math.nan, -math.inf])
)


@settings(derandomize=True, max_examples=300, deadline=None)
@given(
    st.lists(NUMBERS, min_size=7, max_size=7),
    st.dictionaries(st.sampled_from(["hot", "quiet"]), NUMBERS, max_size=2),
    st.sampled_from([0.0, 1e-9, 100.0, -1.0]),
    NUMBERS,
    st.integers(0, 5),
    st.floats(0, 99),
)
def test_any_forecast_gives_a_decision(numbers, teams, cores, age, tasks, seconds):
    forecast = PoolForecast(
        {"rush": QueueForecast(*numbers)}, teams, cores, NOW - age, NOW - age
    )
    admission = ForecastAdmission(lambda pool: forecast)
    document = document_of(1, RUSH, [(tasks, 2.0, seconds)], "hot")
    admission.note_accepted(document, RUSH, NOW)
    decision = admission.decide(document, RUSH, NOW)
    if not decision.is_accepted:
        assert 0 <= NOW - forecast.known_at <= 1
        assert cores > 0
        assert decision.retry_after is None or 1 <= decision.retry_after <= 30


def served_exactly(jobs, new, cores):
    """Return whether a new job is of use, by a computation for tasks of one core.

    Parameters
    ----------
    jobs : list of JobState
        Of one step each; none is begun.
    new : JobState
    cores : int
        As many tasks run at the same time; they are started in the order of service:
        by entitlement and priority, then by the latest useful start. No more jobs come.
    """

    def order(job):
        shape = JobShape(job.document, job.queue)
        latest = job.arrived_at + shape.patience
        return not job.is_owed, job.queue.priority, latest < NOW, latest, job.identifier

    free_at = [0.0] * cores
    for job in sorted([*jobs, new], key=order):
        (step,) = job.document.steps
        for _ in range(step.tasks):
            free_at.sort()
            free_at[0] += step.estimate_seconds
            ends_at = free_at[0]
        if job is new:
            break
    # All tasks of a step take equally long, so the one started last ends last.
    return ends_at <= JobShape(new.document, new.queue).useful


SIZES = st.tuples(
    st.sampled_from([RUSH, REBUILD]),
    st.integers(1, 9),
    st.sampled_from([0.5, 1.0, 2.0, 3.5]),
    st.booleans(),
    st.floats(0, 6),
)


@settings(derandomize=True, max_examples=500, deadline=None)
@given(st.lists(SIZES, max_size=12), SIZES, st.integers(1, 4))
def test_nobody_who_could_be_served_is_refused(sizes, new_size, cores):
    load = Load(cores)
    jobs = [
        load.add(queue, [(tasks, 1.0, seconds)], is_owed=is_owed, age=age)
        for queue, tasks, seconds, is_owed, age in sizes
    ]
    queue, tasks, seconds, is_owed, _ = new_size
    load.owed_again = {} if is_owed else {"t": 60.0}
    forecast = load.forecast()
    admission = ForecastAdmission(lambda pool: forecast)
    document = document_of(99, queue, [(tasks, 1.0, seconds)], "t")
    is_accepted = admission.decide(document, queue, NOW).is_accepted
    new = load.add(queue, [(tasks, 1.0, seconds)], is_owed=is_owed)
    if served_exactly(jobs, new, cores):
        assert is_accepted
