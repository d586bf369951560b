"""Queues that get another pool while jobs of theirs are in the former one."""

import pytest

from papayapick.pool.records.journal import CANCEL_SUFFIX
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


def test_former_pools_of_a_queue_are_known_after_a_restart_of_all_hosts(cluster, cell):
    """Guards against jobs that callers can't find, and that run again if sent again.

    The owner of the former pool does not send their states: it can't tell yet, or the
    host that is asked has forgotten them.
    """
    assert _submit(cell.hosts[0], IDS[0]) == 200
    wait_for(lambda: cluster.starts())
    _move_queue(cluster, cell)
    for host in cell.hosts:
        host.end()
    # Nobody can own the former pool.
    cluster.rows.transact = _refuse(cluster.rows.transact, "pool-1")
    for host in cell.hosts:
        host.start()
    for host in cell.hosts:
        wait_for(host.is_ready)
    # The record of its progress may be older than its start.
    assert _state(cell.hosts[1], IDS[0]) in ("pending", "running")
    for host in cell.hosts:
        assert _submit(host, IDS[0]) == 200
        assert _jobs(cluster, IDS[0]) == {"pool-1/1"}
    assert cell.hosts[0].call("DELETE", f"/quick/{IDS[0]}")[0] == 200
    assert ("jobs", "pool-1/1", IDS[0] + CANCEL_SUFFIX) in cluster.rows.rows


def test_waiting_jobs_of_a_former_pool_are_counted(cluster, cell):
    """Guards against counts that leave out jobs stored before their queue moved."""
    too_large = job(1, cpu=999_000)
    assert _submit(cell.hosts[0], IDS[0], too_large) == 200
    _move_queue(cluster, cell)
    assert _submit(cell.hosts[0], IDS[1], too_large) == 200
    for _ in range(2):
        for host in cell.hosts:
            wait_for(lambda host=host: _waiting(host) == 2)
        _restart_all(cell)


def _waiting(host):
    status, found = host.call("GET", "/quick/")
    return found["queued_jobs"] if status == 200 else None


def _refuse(transact, pool):
    """Refuse to write the owner's row of a pool."""

    def answer(body):
        if any(
            one["table"] == "cell" and one["part"] == pool for one in body["writes"]
        ):
            return "503 Service Unavailable", {}
        return transact(body)

    return answer


def _jobs(cluster, identifier):
    """Return the partitions that hold the row of a job."""
    return {
        part
        for table, part, key in cluster.rows.rows
        if table == "jobs" and key == identifier
    }
