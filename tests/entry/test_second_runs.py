"""No task runs twice, although what an owner reads of a worker may be old."""

import time

import pytest

from tests.entry.cell import EntryCell, job, wait_for
from tests.standins.cluster import Cluster
from tests.standins.runs import overlapping_runs

TASK_SECONDS = 3.0
# Longer than a list of machines is taken to be behind.
KNOWN_SECONDS = 3.5


@pytest.fixture
def cluster():
    cluster = Cluster()
    for number in range(1, 4):
        cluster.add_worker(f"w{number}", task_seconds=TASK_SECONDS)
    cluster.configure()
    yield cluster
    cluster.close()


def _submit(cell, numbers):
    for number in numbers:
        path = f"/quick/{number:016x}"
        assert cell.hosts[0].call("POST", path, job(4, cpu=2000))[0] == 200


def test_worker_that_an_old_list_of_machines_lacks_keeps_its_runs(cluster, tmp_path):
    """Guards against a second run of tasks whose worker is not on the list yet.

    The worker has just started again, and the list still shows its machine as down.
    One call without an answer makes the owner look there.
    """
    workers = list(cluster.workers.values())
    with EntryCell(cluster, tmp_path, hosts=2) as cell:
        # By the time of its restart the worker was known for long.
        time.sleep(KNOWN_SECONDS)
        restarted = cluster.workers["w1"]
        cluster.down.add("w1")
        with restarted.changed:
            restarted.restart()
        wait_for(lambda: restarted.token)
        _submit(cell, range(1, 4))
        wait_for(lambda: len(cluster.starts()) == 12)
        assert restarted.running
        restarted.is_silent = True
        time.sleep(1.3)
        restarted.is_silent = False
        wait_for(lambda: not any(one.running for one in workers))
    assert overlapping_runs(workers) == []
