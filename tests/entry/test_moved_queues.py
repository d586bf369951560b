"""Queues that get another pool while jobs of theirs are in the former one."""

import pytest

from tests.entry.cell import EntryCell, job, wait_for
from tests.standins.cluster import Cluster

IDS = [f"{number:016x}" for number in range(1, 20)]
TASK_SECONDS = 3.0


@pytest.fixture
def cluster():
    cluster = Cluster()
    for number in range(1, 3):
        cluster.add_worker(f"old{number}", "pool-1", task_seconds=TASK_SECONDS)
        cluster.add_worker(f"new{number}", "pool-2", task_seconds=TASK_SECONDS)
    cluster.configure()
    yield cluster
    cluster.close()


@pytest.fixture
def cell(cluster, tmp_path):
    with EntryCell(cluster, tmp_path, hosts=2) as cell:
        yield cell


def _submit(host, identifier, body=None):
    return host.call("POST", f"/quick/{identifier}", body or job(1))[0]


def _state(host, identifier):
    status, found = host.call("GET", f"/quick/{identifier}")
    return found.get("state") if status == 200 else status


def _move_queue(cluster, cell):
    cluster.configure(version=2, service="pool-2")
    for host in cell.hosts:
        wait_for(lambda host=host: _version(host) == 2)


def _version(host):
    lines = [one for one in host.events() if one["event"] == "configuration in force"]
    return lines[-1]["version"] if lines else 0


def _restart_all(cell):
    for host in cell.hosts:
        host.end()
    for host in cell.hosts:
        host.start()
    for host in cell.hosts:
        wait_for(host.is_ready)


def test_job_of_a_former_pool_ends_after_a_restart_of_all_hosts(cluster, cell):
    """Guards against accepted jobs that nobody runs, as no queue uses their pool."""
    assert _submit(cell.hosts[0], IDS[0]) == 200
    wait_for(lambda: cluster.starts())
    _move_queue(cluster, cell)
    _restart_all(cell)
    wait_for(lambda: _state(cell.hosts[0], IDS[0]) == "completed", 15)
    assert all(
        worker.startswith("old") for worker, _ in cluster.starts()[IDS[0] + ".0.0.0"]
    )
