"""Workers of two speeds under wide steps of an urgent queue without checkpoints."""

import pytest

from papayapick.jobs import TaskKey
from papayapick.ownership.pools import PoolRow
from papayapick.pool.owner import PoolOwner
from papayapick.speeds import SpeedTier, UnknownSpeeds
from tests.pool.standins import PoolSimulation

# Two thirds of the workers take 2.4 times as long as the others.
SPEEDS = {"plain": 0.7, "also-plain": 0.7, "quick": 1.7}
KNOWN_SECONDS = 10.0
# By length of the tasks, number in a job, and seconds between two jobs.
LOADS = [(1.0, 20, 0.5), (2.0, 20, 0.8), (1.0, 40, 1.0), (3.0, 12, 0.8)]


def open_load(length=1.0, long_share=0.03, speeds=SPEEDS, workers=24):
    return PoolSimulation(
        workers,
        length,
        long_share=long_share,
        speeds=speeds,
        variation=0.25,
        long_factor=7.0,
    )


def replay(length, tasks, interval, is_learning):
    """Return stops after the first seconds, jobs that were in time, and the load."""
    load = open_load(length)
    if not is_learning:
        load.owner.knowledge.speeds = UnknownSpeeds()
    submit(load, tasks, interval, KNOWN_SECONDS)
    stops = load.stops
    submit(load, tasks, interval, 15.0)
    load.run(15.0)
    return load.stops - stops, jobs_in_time(load), load


def submit(load, tasks, interval, seconds):
    for _ in range(round(seconds / interval)):
        load.submit_job(tasks)
        load.run(interval)


def jobs_in_time(load):
    """Count jobs that took at most one and a half times their longest task."""
    found = 0
    for job in load.owner.job_registry.jobs():
        (step,) = job.occurrences[0]
        longest = max(
            load._length_of((TaskKey(*step.key, index), 1))
            for index in range(len(step.tasks))
        )
        ended_at = load.finished.get(job.identifier, load.now)
        took = ended_at - load.submitted_at[job.identifier]
        found += took <= 1.5 * longest + 0.5
    return found


@pytest.mark.parametrize(("length", "tasks", "interval"), LOADS)
def test_no_run_is_stopped_for_the_known_speed_of_its_worker(length, tasks, interval):
    """Guards against tasks that begin anew as their worker is of the slow kind.

    On one day 339 runs were stopped for being slow, mostly of an urgent queue without
    checkpoints. Others were stopped because their task was long wherever it ran.
    """
    before_stops, before_in_time, _ = replay(length, tasks, interval, False)
    stops, in_time, load = replay(length, tasks, interval, True)
    assert load.owner.knowledge.speeds.differ
    assert before_stops >= 10
    assert stops == 0
    assert in_time > before_in_time
    assert in_time >= 0.95 * len(load.submitted_at)


def degrade(load, speed):
    for name in ("w0", "w2"):
        load.workers[name].speed *= speed


@pytest.mark.parametrize("speed", [0.0, 1 / 6])
def test_degraded_worker_is_found_among_uneven_ones(speed):
    """Guards against a worker that stalls, and is taken for one with long tasks."""
    load = open_load(long_share=0.0)
    submit(load, 20, 0.5, KNOWN_SECONDS)
    assert load.owner.knowledge.speeds.differ
    assert load.stops == 0
    degrade(load, speed)
    submit(load, 20, 0.5, 5.0)
    load.run(3.0)
    assert load.stops >= 4
    assert load.job_durations()[-1] < 5.0


def test_speeds_are_learned_by_the_owner_and_handed_on():
    """Guards against a new owner that begins anew in the middle of the load."""
    load = open_load()
    submit(load, 20, 0.5, KNOWN_SECONDS)
    owner = load.owner
    speeds = owner.knowledge.speeds
    assert {name: speeds.tier(name) for name in ("w0", "w1", "w2")} == {
        "w0": SpeedTier.SLOW,
        "w1": SpeedTier.SLOW,
        "w2": SpeedTier.FAST,
    }
    owner.memory.take_changed(load.now)
    (write,) = owner.memory.take_changed(load.now + 5.0)
    load.host.put(write.table, write.partition, write.key, write.value)
    successor = PoolOwner(load.host, PoolRow("pool", "h2", 4, "a:2", 10), True)
    successor.store_sync.load()
    known = successor.knowledge.speeds
    known.refresh(load.now)
    assert known.differ
    assert known.speed("w2") == pytest.approx(speeds.speed("w2"), rel=0.05)
    assert [job.identifier for job in successor.job_registry.jobs()] == []


def test_equal_workers_write_nothing_and_are_all_normal():
    """Guards against a cost for deployments whose workers are alike."""
    load = open_load(speeds={"plain": 1.0}, long_share=0.0)
    submit(load, 20, 0.5, KNOWN_SECONDS)
    assert not load.owner.knowledge.speeds.differ
    load.owner.memory.take_changed(load.now)
    assert load.owner.memory.take_changed(load.now + 5.0) == []
