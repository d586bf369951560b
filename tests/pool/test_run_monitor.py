"""Runs on degraded workers are detected by their progress and placed elsewhere."""

import pytest

from tests.pool.standins import PoolSimulation

LENGTH = 0.8
# Objective of the queue for short jobs: one and a half times the work plus half a
# second.
OBJECTIVE = 1.5 * LENGTH + 0.5


def replay(degrade):
    """Submit four jobs of six tasks a second; degrade a worker after 1.5 s."""
    load = PoolSimulation(workers=8, length=LENGTH)
    for number in range(32):
        if number == 6:
            degrade(load.workers["w0"])
        load.submit_job(tasks=6)
        load.run(0.25)
    load.run(3.0)
    return load


def late(load):
    return sum(seconds > OBJECTIVE for seconds in load.job_durations())


def stall(worker):
    worker.speed = 0.0


def slow_down(worker):
    worker.speed = 1 / 6


def fail(worker):
    worker.is_failing = True


def test_healthy_workers_keep_all_their_runs():
    load = replay(lambda worker: None)
    assert load.stops == 0
    assert late(load) == 0


@pytest.mark.parametrize("degrade", [stall, slow_down])
def test_no_job_waits_for_a_degraded_worker_to_the_end(degrade):
    # One of eight workers stalls, or works at a sixth of its speed, although it reports
    # good health. Without the monitor, each job with a task on it takes until the
    # worker recovers: jobs of one second took ten and five seconds.
    load = replay(degrade)
    assert load.job_durations()[-1] < 2 * OBJECTIVE
    assert late(load) <= 3


def test_worker_that_fails_all_its_runs_is_used_last():
    # A worker that fails each task at once is the emptiest, gets more tasks and uses up
    # the attempts of every job: 24 starts in six seconds, but 16 if it is used last
    # after failures of two jobs.
    load = replay(fail)
    assert late(load) == 0
    assert len(load.workers["w0"].ends) <= 18


def test_task_that_is_longer_than_its_siblings_is_not_stopped():
    # One task in ten is three times as long as the others. If its worker is taken for a
    # slow one, the task is stopped and restarted elsewhere, and its job is late.
    load = PoolSimulation(workers=8, length=LENGTH, long_share=0.1)
    for _ in range(24):
        load.submit_job(tasks=6)
        load.run(0.25)
    load.run(4.0)
    assert load.stops <= 1
    assert load.job_durations()[-1] < 3 * LENGTH + 0.5


def test_task_of_an_hour_is_moved_twice_at_most():
    # A percent of a task of an hour takes half a minute, so that the task seems to
    # stall wherever it runs. Without a limit it would be moved forever, never done.
    load = PoolSimulation(workers=4, length=3600.0)
    load.submit_job(tasks=1)
    load.run(20.0)
    assert load.stops == 2
    (job,) = load.owner.job_registry.jobs()
    (run,) = job.occurrences[0][0].active_runs()
    assert run.attempt == 3
