"""Runs on sick workers are found by their progress and placed elsewhere."""

import pytest

from tests.pool.standins import PoolSimulation

LENGTH = 0.8
# What callers of the quick queue are promised: one and a half times the work, and half
# a second.
OBJECTIVE = 1.5 * LENGTH + 0.5


def replay(sicken):
    """Hand in four jobs of six tasks a second, with a sick worker from 1.5 s on."""
    load = PoolSimulation(workers=8, length=LENGTH)
    for number in range(32):
        if number == 6:
            sicken(load.workers["w0"])
        load.submit_job(tasks=6)
        load.run(0.25)
    load.run(3.0)
    return load


def late(load):
    return sum(seconds > OBJECTIVE for seconds in load.job_durations())


def stand_still(worker):
    worker.speed = 0.0


def slow_down(worker):
    worker.speed = 1 / 6


def fail(worker):
    worker.is_failing = True


def test_sound_workers_keep_all_their_runs():
    load = replay(lambda worker: None)
    assert load.stops == 0
    assert late(load) == 0


@pytest.mark.parametrize("sicken", [stand_still, slow_down])
def test_no_job_waits_for_a_sick_worker_to_the_end(sicken):
    # One of eight workers stands still, or works at a sixth of its speed, while its
    # health is good. Each job with a task on it took as long as the worker was sick:
    # managers waited ten and five seconds for counts that take one.
    load = replay(sicken)
    assert load.job_durations()[-1] < 2 * OBJECTIVE
    assert late(load) <= 3


def test_worker_that_fails_all_that_it_starts_is_used_last():
    # A worker fails each task at once. It is then the emptiest, is given more, and
    # uses up the attempts of every job: 24 starts in six seconds, 16 when it is used
    # last after failures of two jobs.
    load = replay(fail)
    assert late(load) == 0
    assert len(load.workers["w0"].ends) <= 18


def test_task_that_is_longer_than_its_like_is_left_alone():
    # One task in ten is three times as long as the others. Taken for one on a slow
    # worker, it was stopped and began anew elsewhere, and its count was late.
    load = PoolSimulation(workers=8, length=LENGTH, long_share=0.1)
    for _ in range(24):
        load.submit_job(tasks=6)
        load.run(0.25)
    load.run(4.0)
    assert load.stops <= 1
    assert load.job_durations()[-1] < 3 * LENGTH + 0.5


def test_task_of_many_minutes_is_moved_twice_at_most():
    # A report works for an hour: a percent takes half a minute, and it seems to stand
    # still wherever it runs. Moved for ever it would never be done.
    load = PoolSimulation(workers=4, length=3600.0)
    load.submit_job(tasks=1)
    load.run(20.0)
    assert load.stops == 2
    (job,) = load.owner.book.jobs()
    (run,) = job.occurrences[0][0].active_runs()
    assert run.attempt == 3
