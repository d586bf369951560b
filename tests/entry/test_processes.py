"""Entry hosts as processes, from the request to the worker, and takeovers."""

import signal
import time

import pytest

from tests.entry.cell import EntryCell, EntryProcess, job, wait_for
from tests.entry.quick_jobs import IDS, completed, runs_once, state_of, submit
from tests.standins.cluster import Cluster


def test_job_accepted_by_one_host_is_reported_by_all(cluster, cell):
    first, *rest = cell.hosts
    assert submit(first, IDS[0], job()) == 200
    for host in cell.hosts:
        wait_for(completed(host, IDS[:1]))
    assert len(cluster.starts()) == 2
    assert runs_once(cluster)


def test_metrics_count_a_job(cluster, cell):
    first, second = cell.hosts[:2]
    assert submit(first, IDS[0], job(tasks=2)) == 200
    wait_for(completed(second, IDS[:1]))
    assert second.call("GET", "/nowhere/")[0] == 404
    page = first.metrics_page()
    assert 'papayapick_entry_requests_total{method="POST",status="200"} 1.0' in page
    assert "papayapick_entry_acceptance_seconds_count 1.0" in page
    assert 'papayapick_entry_store_seconds_count{operation="transact"' in page
    assert "papayapick_entry_configuration_version 1.0" in page
    page = second.metrics_page()
    assert 'papayapick_entry_refusals_total{code="entry.no-queue"} 1.0' in page
    page = cell.owner().metrics_page()
    assert "papayapick_pool_owned 1.0" in page
    assert 'papayapick_pool_starts_total{outcome="started"} 2.0' in page
    assert 'papayapick_pool_ends_total{outcome="done"} 2.0' in page
    assert "papayapick_pool_first_start_seconds_count 1.0" in page
    assert 'papayapick_pool_completion_seconds_count{status="completed"} 1.0' in page


def test_host_starts_without_metrics_where_their_port_is_taken(cluster, tmp_path):
    """Guards against hosts that do not start because the metrics port is in use."""
    with EntryCell(cluster, tmp_path, hosts=1) as first:
        taken = first.hosts[0].metrics
        other = EntryProcess("host-9", cluster.address, tmp_path)
        other.metrics = taken
        other.start()
        try:
            wait_for(other.is_ready)
            # Log lines are written about 20 ms after their events.
            wait_for(lambda: "metrics unserved" in _logged_events(other))
        finally:
            other.end()


def _logged_events(host):
    return [line["event"] for line in host.events()]


def test_same_id_again_is_the_same_job(cluster, cell):
    """Guards against a job that runs twice because its request was repeated.

    The repeated request went to another host, and fees were billed twice.
    """
    for host in cell.hosts:
        assert submit(host, IDS[0], job(1)) == 200
    wait_for(completed(cell.hosts[0], IDS[:1]))
    assert len(cluster.starts()) == 1


@pytest.mark.parametrize(
    ("method", "path", "body", "status"),
    [
        ("POST", "/nothing/" + IDS[0], job(), 404),
        ("POST", "/quick/xyz", job(), 404),
        ("POST", "/quick/" + IDS[0], "{", 400),
        ("POST", "/quick/" + IDS[0], '{"spec": "x", "phases": []}', 400),
        ("POST", "/quick/" + IDS[0], " " * 300_000, 413),
        ("GET", "/quick/" + IDS[0], None, 410),
        ("DELETE", "/quick/" + IDS[0], None, 410),
        ("PUT", "/quick/" + IDS[0], "{}", 405),
        ("GET", "/quick/", None, 200),
    ],
)
def test_each_kind_of_request_has_its_status(single_host, method, path, body, status):
    assert single_host.call(method, path, body)[0] == status


@pytest.fixture(scope="module")
def single_host(tmp_path_factory):
    cluster = Cluster()
    cluster.configure()
    with EntryCell(cluster, tmp_path_factory.mktemp("cell"), hosts=1) as cell:
        # A host that has just started does not know the count of waiting jobs yet.
        wait_for(lambda: cell.hosts[0].call("GET", "/quick/")[0] == 200)
        yield cell.hosts[0]
    cluster.close()


def test_cancelled_job_stops(cluster, cell):
    for worker in cluster.workers.values():
        worker.task_seconds = 60
    accepting, *_, other = cell.hosts
    assert submit(accepting, IDS[0], job(3)) == 200
    wait_for(lambda: len(cluster.starts()) == 3)
    assert other.call("DELETE", f"/quick/{IDS[0]}")[0] == 200
    wait_for(lambda: not any(w.running for w in cluster.workers.values()))
    wait_for(lambda: state_of(accepting, IDS[0]) == "cancelled")


def test_lost_history_is_read_again(cluster, cell):
    cluster.rows.discard_history()
    assert submit(cell.hosts[0], IDS[0], job(2)) == 200
    wait_for(completed(cell.hosts[0], IDS[:1]))


def test_newer_configuration_is_never_replaced_by_an_older_one(cluster, cell):
    host = cell.hosts[0]
    cluster.configure(version=5, path_prefix="/other/")
    wait_for(lambda: host.call("GET", "/other/")[0] == 200)
    assert host.call("GET", "/quick/")[0] == 404
    cluster.configure(version=3)
    time.sleep(0.5)
    assert host.call("GET", "/other/")[0] == 200


def test_stopping_host_is_not_ready_but_still_accepts_jobs(cluster, cell):
    host = cell.hosts[0]
    host.signal(signal.SIGTERM)
    wait_for(lambda: not host.is_ready())
    assert submit(host, IDS[0], job(1)) == 200
    wait_for(lambda: host.process.poll() is not None, 6)
    assert host.process.returncode == 0
    wait_for(completed(cell.hosts[1], IDS[:1]))


def test_upkeep_wave_continues_under_a_new_owner(cluster, cell):
    """An upkeep wave starts, its owner is killed, and jobs run in the meantime.

    Each machine has its upkeep once, one machine at a time, and the wave is reported as
    completed.
    """
    first = cell.hosts[0]
    assert submit(first, IDS[0], job(tasks=4)) == 200
    cluster.request_wave(7, ["w1", "w2", "w3"])
    wait_for(lambda: len(cluster.machines.orders) == 1)
    assert cluster.wave_state(7) == "running"
    owner = cell.owner()
    owner.signal(signal.SIGKILL)
    others = [host for host in cell.hosts if host is not owner]
    wait_for(lambda: cluster.wave_state(7) == "completed", seconds=20)
    machines = [machine for machine, *_ in cluster.machines.orders]
    assert sorted(machines) == ["m-w1", "m-w2", "m-w3"]
    assert cluster.machines.max_in_upkeep == 1
    assert submit(others[0], IDS[1], job(tasks=4)) == 200
    wait_for(completed(others[1], IDS[:2]))


def test_host_whose_row_was_removed_registers_again(cluster, cell):
    """Guards against a host without heartbeats after it was cut off for ten minutes.

    The owner has removed its row, and sends heartbeats to registered hosts only.
    """
    place = ("cell", "hosts", "host-2")
    wait_for(lambda: place in cluster.rows.rows)
    cluster.rows.remove(*place)
    wait_for(lambda: place in cluster.rows.rows)
    assert submit(cell.hosts[0], IDS[0], job()) == 200
    wait_for(completed(cell.hosts[1], IDS[:1]))
