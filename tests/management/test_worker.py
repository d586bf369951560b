"""The worker commands read the recorded speeds of workers from the store only."""

import time

import pytest

from papayapick.management.exit_codes import EXIT_OK
from papayapick.pool.records.journal import PROGRESS_TABLE
from papayapick.pool.records.memory import OwnerMemory
from papayapick.speeds import WorkerSpeeds
from tests.entry.cell import EntryCell
from tests.management.commands import run_command
from tests.speeds.replay import end_run, registration, run_of, step_of
from tests.standins.cluster import Cluster

# Seconds that the same task takes.
WORKERS = {"w1": 2.0, "w2": 2.0, "w3": 2.0, "w4": 0.8, "w5": 0.8, "w6": 0.8}


class Clock:
    """Tell the wall clock's time some seconds ago."""

    def __init__(self, ago):
        self._ago = ago

    def time(self):
        return time.time() - self._ago


@pytest.fixture(scope="module")
def cell(tmp_path_factory):
    cluster = Cluster()
    for name in WORKERS:
        cluster.add_worker(name, task_seconds=60)
    cluster.configure()
    with EntryCell(cluster, tmp_path_factory.mktemp("cell"), hosts=1) as cell:
        yield cell
    cluster.close()


def run_worker_command(cell, *arguments):
    environment = {"PAPAYAPICK_CONFIG": str(cell.hosts[0].path)}
    return run_command("worker", "list", *arguments, environment=environment)


def learned():
    speeds = WorkerSpeeds(uses_kinds=False)
    speeds.set_stretch(1.5)
    for worker in WORKERS:
        speeds.add_worker(registration(worker))
    now = 0.0
    for number in range(12):
        step = step_of(f"{number:016x}", len(WORKERS))
        for index, worker in enumerate(WORKERS):
            run = run_of(step, index, worker, now)
            end_run(speeds, step, run, now + WORKERS[worker])
        now += 2.0
        speeds.refresh(now)
    return speeds


def write_record(cell, ago):
    memory = OwnerMemory(PROGRESS_TABLE, "pool-1", Clock(ago))
    memory.register(learned())
    memory.take_changed(0.0)
    for write in memory.take_changed(5.0):
        cell.cluster.rows.write(write.table, write.partition, write.key, write.value)


def test_list_without_a_record_shows_that_nothing_is_known(cell):
    result = run_worker_command(cell, "--json")
    assert result.code == EXIT_OK
    head, *workers = result.lines
    assert (head["pool"], head["workers"], head["age_seconds"]) == ("pool-1", 6, None)
    assert {(one["speed"], one["tier"]) for one in workers} == {(1.0, "normal")}


def test_list_shows_the_recorded_speeds_slowest_first(cell):
    write_record(cell, ago=7.0)
    head, *workers = run_worker_command(cell, "pool-1", "--json").lines
    assert 7.0 <= head["age_seconds"] < 30.0
    assert [one["worker"] for one in workers] == list(WORKERS)
    assert [one["tier"] for one in workers] == ["slow"] * 3 + ["fast"] * 3
    assert workers[-1]["speed"] / workers[0]["speed"] == pytest.approx(2.5, rel=0.2)
    assert all(one["certainty"] > 0.5 for one in workers)
    text = run_worker_command(cell, "pool-1").out
    assert "w1" in text
    assert "slow" in text


def test_record_that_cannot_be_read_is_shown_as_none(cell):
    cell.cluster.rows.write(PROGRESS_TABLE, "pool-1", "learned-speeds-0", {"at": "x"})
    head, *workers = run_worker_command(cell, "--json").lines
    assert head["age_seconds"] is None
    assert {one["speed"] for one in workers} == {1.0}


def test_jobs_and_pools_are_shown_beside_a_record(cell):
    """Guards against a reader of the progress that takes the record for a job."""
    write_record(cell, ago=1.0)
    environment = {"PAPAYAPICK_CONFIG": str(cell.hosts[0].path)}
    for command in (("pool", "status"), ("team", "status")):
        assert run_command(*command, environment=environment).code == EXIT_OK
