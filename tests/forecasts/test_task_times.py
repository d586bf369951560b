"""Durations of tasks, learned from the runs that have ended."""

from types import SimpleNamespace

import pytest
from hypothesis import given
from hypothesis import strategies as st

from papayapick.forecasts import DeclaredTimes, TaskTimes
from papayapick.forecasts.ratios import RatioHistogram
from papayapick.jobs import JobDocument, JobRegistry, Queue, Step
from papayapick.jobs.runs import RunPhase
from papayapick.ledger import Amounts
from papayapick.speeds import UnknownSpeeds
from tests.forecasts.speeds import KnownSpeeds

QUEUE = Queue("q", "h", "/q/", "pool", 0, 2, 1.5, 0.5, 3.0, False, None)
TASK = Amounts(1000, 10)


class Runs:
    """Runs of the tasks of one queue that end after given times."""

    def __init__(self, speeds):
        self.job_registry = JobRegistry()
        self.times = TaskTimes(SimpleNamespace(speeds=KnownSpeeds(speeds)))
        self.number = 0

    def step(self, *steps, tasks=30, estimate=1.0):
        """Return the states of the steps of a new job."""
        self.number += 1
        steps = steps or (Step(tasks, TASK, estimate),)
        name = f"{self.number:016x}"
        document = JobDocument(name, "q", "pool", "t", steps, 0.0)
        return self.job_registry.add(document, QUEUE, 0.0).steps()

    def end(self, step, seconds, worker="w", unseen_seconds=0.0):
        index = min(step.waiting)
        run = self.job_registry.begin_run(step, index, worker, 0.0)
        run.phase = RunPhase.RUNNING
        run.note_sent(0.0)
        run.percent_at = seconds - unseen_seconds
        self.times.note_done(step, run, seconds)


def test_estimate_counts_before_any_run_has_ended():
    runs = Runs({})
    (step,) = runs.step(estimate=2.0)
    assert runs.times.expected_seconds(step) == 2.0
    assert runs.times.likely_seconds(step, 0.9) == 2.0
    assert runs.times.critical_path_seconds(step.job, 0) == 2.0


def test_estimates_of_a_queue_are_corrected():
    """Guards against jobs that are late because their callers estimate too low."""
    runs = Runs({})
    (step,) = runs.step()
    for _ in range(30):
        runs.end(step, 2.0)
    (later,) = runs.step(estimate=3.0)
    assert runs.times.expected_seconds(later) == pytest.approx(6.0, rel=0.1)


@pytest.mark.parametrize("estimate", [1e-313, float("inf"), float("nan")])
def test_any_estimate_leaves_the_end_of_a_run_to_be_processed(estimate):
    """Guards against a worker of which no end is processed any more.

    The ratio to such an estimate has no logarithm, and the error came before the end
    was marked as processed, at each report again.
    """
    runs = Runs({})
    (step,) = runs.step(estimate=estimate)
    runs.end(step, 2.0)
    (later,) = runs.step(estimate=3.0)
    assert runs.times.expected_seconds(later) == 3.0


def test_end_that_was_read_late_tells_nothing_of_the_task():
    """Guards against tasks that seem long as their worker could not be reached."""
    runs = Runs({})
    (step,) = runs.step(estimate=1.0)
    for _ in range(10):
        runs.end(step, 6.0, unseen_seconds=5.0)
    assert runs.times.expected_seconds(step) == 1.0
    runs.end(step, 6.0, unseen_seconds=0.6)
    assert runs.times.expected_seconds(step) > 1.0


def test_duration_is_that_of_a_worker_of_speed_one():
    """Guards against tasks that seem long because they ran on slow workers."""
    runs = Runs({"slow": 0.5})
    (step,) = runs.step()
    for _ in range(20):
        runs.end(step, 2.0, "slow")
    assert runs.times.expected_seconds(step) == pytest.approx(1.0, rel=0.05)


def test_runs_of_the_step_count_more_than_those_of_its_queue():
    """Guards against one job's wrong estimate that others correct away."""
    runs = Runs({})
    (right,) = runs.step()
    for _ in range(30):
        runs.end(right, 1.0)
    (wrong,) = runs.step()
    for _ in range(8):
        runs.end(wrong, 1.9)
    assert runs.times.expected_seconds(wrong) > 1.6
    assert runs.times.expected_seconds(right) < 1.3


def test_likely_duration_covers_a_share_of_the_tasks():
    runs = Runs({})
    (step,) = runs.step(tasks=120)
    for number in range(100):
        runs.end(step, 3.0 if number % 5 == 0 else 1.0)
    (later,) = runs.step()
    assert runs.times.likely_seconds(later, 0.5) == pytest.approx(1.0, rel=0.1)
    assert runs.times.likely_seconds(later, 0.95) == pytest.approx(3.0, rel=0.1)


def test_wrong_estimates_do_not_make_tasks_seem_unlike():
    """Guards against fast workers for all jobs of callers who estimate badly."""
    runs = Runs({})
    for estimate in (0.5, 1.0, 4.0) * 8:
        (step,) = runs.step(estimate=estimate)
        for _ in range(9):
            runs.end(step, 2.0)
    (later,) = runs.step()
    expected = runs.times.expected_seconds(later)
    assert runs.times.likely_seconds(later, 0.9) == pytest.approx(expected, rel=0.1)


def test_critical_path_follows_the_corrected_times():
    runs = Runs({})
    (step,) = runs.step()
    for _ in range(30):
        runs.end(step, 2.0)
    steps = runs.step(Step(1, TASK, 1.0), Step(1, TASK, 3.0, [0]), Step(1, TASK, 1.0))
    job = steps[0].job
    assert runs.times.critical_path_seconds(job, 0) == pytest.approx(8.0, rel=0.1)
    assert runs.times.critical_path_seconds(job, 2) == pytest.approx(2.0, rel=0.1)


def test_answers_are_the_estimates_while_speeds_do_not_differ():
    """Guards against decisions that change on pools of equal workers."""
    runs = Runs({})
    (step,) = runs.step(estimate=2.0)
    for _ in range(10):
        runs.end(step, 9.0)
    runs.times._knowledge.speeds = UnknownSpeeds()
    declared = DeclaredTimes()
    assert runs.times.expected_seconds(step) == declared.expected_seconds(step)
    assert runs.times.likely_seconds(step, 0.9) == declared.likely_seconds(step, 0.9)
    assert runs.times.critical_path_seconds(step.job, 0) == 2.0


def test_records_are_bounded():
    """Guards against an owner whose memory grows with the jobs that have ended."""
    runs = Runs({})
    for _ in range(1100):
        (step,) = runs.step(tasks=2)
        runs.end(step, 1.0)
        step.job.document.queue = f"q{runs.number}"
    assert len(runs.times._by_step) <= 1000
    for _ in range(100):
        (step,) = runs.step(tasks=2)
        step.job.document.queue = f"q{runs.number}"
        runs.end(step, 1.0)
    assert len(runs.times._by_queue) <= 64


def test_records_of_a_step_end_with_it():
    runs = Runs({})
    (step,) = runs.step(tasks=2)
    runs.end(step, 1.0)
    assert runs.times._by_step
    step.unfinished_tasks = 0
    runs.end(step, 1.0)
    assert not runs.times._by_step


def test_what_is_old_is_forgotten():
    """Guards against a queue whose callers begin to estimate better."""
    histogram = RatioHistogram()
    for _ in range(5000):
        histogram.add(4.0)
    for _ in range(1000):
        histogram.add(1.0)
    assert histogram.mean() < 1.5


@given(st.floats(1e-9, 1e9))
def test_any_ratio_is_counted(ratio):
    histogram = RatioHistogram()
    for _ in range(300):
        histogram.add(ratio)
    expected = min(max(ratio, 1 / 16), 16.0)
    assert histogram.quantile(0.5) == pytest.approx(expected, rel=0.1)


@given(
    st.lists(st.floats(0.01, 100.0), max_size=40),
    st.floats(0.0, 1.0),
    st.floats(0.0, 1.0),
)
def test_greater_share_needs_no_less_time(ratios, share, other):
    histogram = RatioHistogram()
    for ratio in ratios:
        histogram.add(ratio)
    low, high = sorted((share, other))
    assert histogram.quantile(low) <= histogram.quantile(high)
