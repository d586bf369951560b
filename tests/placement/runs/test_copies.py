"""Second copies where the speeds of workers differ."""

from types import SimpleNamespace

import pytest

from papayapick.forecasts import DeclaredTimes
from papayapick.jobs import JobDocument, JobRegistry, Queue, RunPhase, Step
from papayapick.ledger import Amounts
from papayapick.placement.runs.copies import (
    LateRun,
    copy_allowance,
    late_runs,
    unjudged_stragglers,
)
from tests.forecasts.speeds import KnownSpeeds

QUEUE = Queue("q", "h", "/q/", "pool", 0, 2, 1.5, 0.5, 3.0, False, None)
TASK = Amounts(1000, 10)
SPEEDS = {"slow": 0.5, "fast": 2.0}


class Runs:
    """A step of four tasks of 4 s each whose runs have made some progress.

    Its job is in time until second 6.5.
    """

    def __init__(self, estimate=4.0, times=0, **step):
        self.knowledge = SimpleNamespace(
            speeds=KnownSpeeds(SPEEDS), task_times=DeclaredTimes()
        )
        options = {"allows_copies": True} | step
        document = JobDocument(
            "0" * 16,
            "q",
            "pool",
            "t",
            [Step(4, TASK, estimate, **options)],
            0.0,
            occurrences=times,
        )
        self.job_registry = JobRegistry()
        job = self.job_registry.add(document, QUEUE, 0.0)
        if times:
            job.open_occurrence(0)
        (self.step,) = job.steps()

    def start(self, index, worker, percent, at, since=0.0, progressed_at=None):
        run = self.job_registry.begin_run(self.step, index, worker, since)
        run.note_sent(since)
        run.phase, run.was_listed = RunPhase.RUNNING, True
        run.percent, run.percent_at = percent, at
        run.progressed_at = at if progressed_at is None else progressed_at
        return run

    def late(self, now):
        runs = self.step.active_runs()
        siblings = {
            one.worker: [(run, self.step) for run in runs if run.worker == one.worker]
            for one in runs
        }
        found = late_runs(
            self.step, now, self.knowledge, lambda run: siblings[run.worker]
        )
        return {late.index: late for late in found}


def _runs(**step):
    """Return runs of which three end in time."""
    runs = Runs(**step)
    for index in (1, 2, 3):
        runs.start(index, "other", 80, 3.2)
    return runs


def test_run_that_makes_its_job_late_is_found():
    runs = _runs()
    runs.start(0, "slow", 25, 3.2)
    late = runs.late(3.2)
    assert list(late) == [0]
    assert late[0].remaining_seconds == pytest.approx(9.6)


def test_run_in_time_is_not_copied_however_slow_its_worker():
    """Guards against a copy of each run on a slow worker."""
    runs = _runs()
    runs.start(0, "slow", 50, 3.2)
    assert runs.late(3.2) == {}


def test_long_task_takes_long_on_any_worker():
    """Guards against copies that end after the run that they are copies of."""
    runs = _runs()
    runs.start(0, "fast", 20, 3.2)
    late = runs.late(3.2)[0]
    assert late.task_seconds == pytest.approx(32.0)
    assert not late.is_worth_copy("fast", runs.knowledge.speeds)
    assert not late.is_worth_copy("slow", runs.knowledge.speeds)


def test_long_task_on_a_slow_worker_is_worth_a_copy_on_a_fast_one():
    runs = _runs()
    runs.start(0, "slow", 20, 3.2)
    late = runs.late(3.2)[0]
    assert late.task_seconds == pytest.approx(8.0)
    assert late.is_worth_copy("fast", runs.knowledge.speeds)
    assert not late.is_worth_copy("slow", runs.knowledge.speeds)


def test_worker_that_is_slow_at_present_is_told_by_its_other_runs():
    """Guards against tasks taken for long ones on a worker that has slowed down."""
    runs = Runs()
    for index in range(4):
        runs.start(index, "fast", 10, 3.2)
    late = runs.late(3.2)
    assert len(late) == 4
    assert late[0].task_seconds == pytest.approx(4.0)
    assert late[0].is_worth_copy("slow", runs.knowledge.speeds)


def test_stalled_run_does_not_show_how_long_its_task_is():
    """Guards against a task that waits for a stalled worker as if it were long."""
    runs = _runs()
    runs.start(0, "fast", 10, 3.2, progressed_at=0.4)
    assert runs.late(3.2)[0].task_seconds == 4.0


def test_run_that_has_just_begun_is_not_judged():
    runs = _runs()
    runs.start(0, "fast", 1, 3.2, since=3.0)
    assert runs.late(3.2) == {}


def test_job_that_is_no_longer_useful_gets_no_copy():
    runs = _runs()
    runs.start(0, "slow", 10, 3.2)
    assert runs.late(19.4)
    assert not runs.late(19.6)


@pytest.mark.parametrize("step", [{"allows_copies": False}, {"is_gang": True}])
def test_step_that_allows_no_copies_gets_none(step):
    runs = _runs(**step)
    runs.start(0, "slow", 10, 3.2)
    assert runs.late(3.2) == {}


def test_task_with_a_copy_gets_no_other():
    runs = _runs()
    runs.start(0, "slow", 10, 3.2)
    runs.start(0, "fast", 10, 3.2)
    assert runs.late(3.2) == {}


def test_worker_of_unknown_speed_gets_no_copy():
    speeds = KnownSpeeds(SPEEDS)
    speeds.certainty = lambda worker: 0.0
    assert not LateRun(0, 100.0, 1.0).is_worth_copy("fast", speeds)


@pytest.mark.parametrize(
    ("now", "estimate", "times", "expected"),
    [
        (19.4, 4.0, 0, []),
        (19.6, 4.0, 0, [0]),
        (19.4, 4.0, 1, [0]),
        (19.4, 0.0, 0, [0]),
    ],
)
def test_straggler_of_a_job_without_a_known_end_is_copied(
    now, estimate, times, expected
):
    """Guards against a task that waits for as long as its worker stalls.

    Its job has no deadline, or is no longer useful, or its caller gave no estimate.
    """
    runs = Runs(estimate=estimate, times=times)
    for index in (1, 2, 3):
        runs.start(index, "other", 80, 3.2)
    runs.step.note_done_run(1.0, "other")
    runs.start(0, "fast", 10, now, progressed_at=0.4)
    found = unjudged_stragglers(runs.step, now, runs.knowledge)
    assert (0 in found) == bool(expected)
    if expected:
        assert runs.late(now) == {}


def test_copies_use_a_small_share_of_the_pool():
    runs = _runs()
    runs.start(0, "slow", 10, 3.2)
    assert copy_allowance([runs.step], 100_000) == 3000
    runs.start(0, "fast", 10, 3.2)
    assert copy_allowance([runs.step], 100_000) == 2000
