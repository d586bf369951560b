"""Where speeds differ, a task that is long by itself is told from a slow worker."""

import pytest

from papayapick.jobs import RunPhase
from papayapick.placement.runs.progress import (
    compare_runs,
    ended_within_usual_time,
    stalled_runs,
)
from papayapick.placement.runs.suspicion import SlowWorkerDetector
from papayapick.speeds import UnknownSpeeds
from tests.speeds.replay import run_of, step_of

NOW = 10.0


class KnownSpeeds(UnknownSpeeds):
    """Tell given speeds, which differ."""

    differ = True

    def __init__(self, **speeds):
        self._speeds = speeds

    def speed(self, worker):
        return self._speeds.get(worker, 1.0)


def active_run(step, index, worker, percent, since=NOW - 2.0, progressed_at=NOW):
    run = run_of(step, index, worker, since)
    run.phase = RunPhase.RUNNING
    run.was_listed = run.was_listed_again = True
    run.percent, run.percent_at, run.progressed_at = percent, NOW, progressed_at
    return run


def step_with_done_runs(**done):
    """Return a step of which runs have ended: seconds by worker."""
    step = step_of("1" * 16, 12)
    for worker, seconds in done.items():
        step.note_done_run(seconds, worker)
    return step


def test_run_on_a_slow_worker_is_at_the_usual_speed():
    """Guards against moving each task that runs on a worker of the slow kind."""
    step = step_with_done_runs(w1=1.0, w2=1.0, w3=1.1)
    run = active_run(step, 0, "w0", 50)
    assert compare_runs(step)[0] == [run]
    slow, normal = compare_runs(step, KnownSpeeds(w0=0.25))
    assert (slow, normal) == ([], [run])


def test_done_runs_are_compared_by_their_workers():
    """Guards against runs that seem slow beside those that ended on fast workers."""
    step = step_with_done_runs(w1=0.5, w2=0.5, w3=0.5)
    run = active_run(step, 0, "w0", 50, since=NOW - 1.0)
    speeds = KnownSpeeds(w1=2.0, w2=2.0, w3=2.0, w0=0.5)
    assert compare_runs(step, speeds)[1] == [run]
    assert not ended_within_usual_time(step, run, NOW)
    assert ended_within_usual_time(step, run, NOW, speeds)


def test_run_stays_if_it_may_take_as_long_elsewhere():
    """Guards against moving a long task that would begin anew elsewhere."""
    step = step_with_done_runs(w1=1.0, w2=1.0, w3=1.0)
    run = active_run(step, 0, "w0", 50, since=NOW - 1.8)
    assert compare_runs(step)[0] == [run]
    assert compare_runs(step, KnownSpeeds())[0] == []
    run.percent = 20
    assert compare_runs(step, KnownSpeeds())[0] == [run]


def test_checkpoint_makes_a_move_cheaper():
    step = step_with_done_runs(w1=1.0, w2=1.0, w3=1.0)
    run = active_run(step, 0, "w0", 50, since=NOW - 1.8)
    run.checkpoint = "c1"
    assert compare_runs(step, KnownSpeeds())[0] == [run]


@pytest.mark.parametrize(("since", "expected"), [(NOW - 60.0, False), (NOW - 3, True)])
def test_long_task_on_a_slow_worker_has_not_stalled(since, expected):
    """Guards against a task that takes a second for a percent, taken for stalled."""
    step = step_of("1" * 16, 3)
    run = active_run(step, 0, "w0", 50, since=since, progressed_at=NOW - 1.0)
    assert stalled_runs(step) == [run]
    assert stalled_runs(step, KnownSpeeds()) == ([run] if expected else [])


def note_slow(detector, runs, now, speeds):
    return [detector.note_slow(run, now, speeds) for run in runs]


def slow_runs(count, since=NOW - 2.0):
    step = step_of("2" * 16, count)
    return [active_run(step, index, "w0", 10, since) for index in range(count)]


def test_two_long_tasks_do_not_make_a_worker_slow():
    """Guards against moving long tasks, of which a worker often runs two."""
    runs = slow_runs(3)
    assert note_slow(SlowWorkerDetector(), runs[:2], NOW, KnownSpeeds())[-1] is False
    assert note_slow(SlowWorkerDetector(), runs[:2], NOW, UnknownSpeeds())[-1] is True
    assert note_slow(SlowWorkerDetector(), runs, NOW, KnownSpeeds())[-1] is True


def test_slow_run_beside_a_later_normal_one_is_a_long_task():
    """Guards against long tasks that are moved once the short ones have ended."""
    detector, runs = SlowWorkerDetector(), slow_runs(3)
    note_slow(detector, runs, NOW, KnownSpeeds())
    detector.note_normal(active_run(step_of("3" * 16, 1), 0, "w0", 50, NOW - 1), NOW)
    assert note_slow(detector, runs, NOW + 2.0, KnownSpeeds()) == [False] * 3
    assert note_slow(detector, runs, NOW + 2.0, UnknownSpeeds())[-1] is True


def test_slow_run_that_began_after_the_normal_ones_may_be_due_to_its_worker():
    """Guards against a worker that became slow while earlier runs were nearly done."""
    detector, runs = SlowWorkerDetector(), slow_runs(3)
    note_slow(detector, runs, NOW, KnownSpeeds())
    detector.note_normal(active_run(step_of("3" * 16, 1), 0, "w0", 90, NOW - 5), NOW)
    assert note_slow(detector, runs, NOW + 2.0, KnownSpeeds())[-1] is True
