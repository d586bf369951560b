"""The pool commands read pools, hosts and jobs from the store only."""

import pytest

from papayapick.management.exit_codes import (
    EXIT_FAILED,
    EXIT_OK,
    EXIT_PARTLY,
    EXIT_SETTINGS,
)
from tests.entry.cell import EntryCell, job, wait_for
from tests.management.commands import run_command
from tests.standins.cluster import Cluster

ID = "5c0e7a21d94b36f8"


@pytest.fixture(scope="module")
def cluster():
    cluster = Cluster()
    for number in range(1, 3):
        cluster.add_worker(f"w{number}", task_seconds=60)
    cluster.configure()
    yield cluster
    cluster.close()


@pytest.fixture(scope="module")
def cell(cluster, tmp_path_factory):
    with EntryCell(cluster, tmp_path_factory.mktemp("cell"), hosts=2) as cell:
        yield cell


def run_pool_command(cell, *arguments):
    environment = {"PAPAYAPICK_CONFIG": str(cell.hosts[0].path)}
    return run_command("pool", *arguments, "--json", environment=environment)


def test_status_names_owner_queues_and_hosts(cell):
    result = run_pool_command(cell, "status")
    assert result.code == EXIT_OK
    head, pool, *hosts = result.lines
    assert head["configuration"] == 1
    assert pool["owner"] == cell.owner().name
    assert (pool["pool"], pool["queues"], pool["is_served"]) == (
        "pool-1",
        ["quick"],
        True,
    )
    assert [(host["host"], host["is_reached"]) for host in hosts] == [
        ("host-1", True),
        ("host-2", True),
    ]


def test_status_names_entries_of_workers_that_cannot_be_used(cell, cluster):
    cluster.rows.write("servers", "", "x1", {"service": "pool-1", "address": ".:80"})
    try:
        result = run_pool_command(cell, "status")
    finally:
        cluster.rows.remove("servers", "", "x1")
    assert result.lines[1] == {"unusable_workers": ["x1"]}


def test_job_shows_its_progress(cell, cluster):
    assert cell.hosts[0].call("POST", f"/quick/{ID}", job(tasks=2))[0] == 200
    wait_for(lambda: len(cluster.starts()) == 2)
    result = wait_for(lambda: _result_if_running(run_pool_command(cell, "job", ID)))
    job_line, step = result.lines
    assert (job_line["status"], job_line["queue"], job_line["pool"]) == (
        "running",
        "quick",
        "pool-1",
    )
    assert (step["done"], step["tasks"]) == (0, 2)
    assert set(step["places"].values()) <= {"w1", "w2"}


def _result_if_running(result):
    return result if result.lines[0]["status"] == "running" else None


def test_unknown_job_is_reported(cell):
    result = run_pool_command(cell, "job", "0" * 16)
    assert result.code == EXIT_FAILED
    assert "command.job-missing" in result.err


def test_pool_without_its_owner_is_reported(cluster):
    # The row of the pool names a host that is no longer registered.
    value = {"owner": "h9", "epoch": 4, "address": "127.0.0.1:1"}
    other = Cluster()
    try:
        other.configure()
        other.rows.write("cell", "pool-1", "owner", value)
        result = _run_pool_status(other)
        assert result.code == EXIT_PARTLY
        assert (result.lines[1]["owner"], result.lines[1]["is_served"]) == ("h9", False)
    finally:
        other.close()


def test_store_without_a_configuration_is_reported():
    other = Cluster()
    try:
        result = _run_pool_status(other)
        assert result.code == EXIT_FAILED
        assert "command.configuration-missing" in result.err
    finally:
        other.close()


def test_missing_settings_file_is_reported(tmp_path):
    environment = {"PAPAYAPICK_CONFIG": str(tmp_path / "none")}
    result = run_command("pool", "status", environment=environment)
    assert result.code == EXIT_SETTINGS


def _run_pool_status(cluster):
    import tempfile
    from pathlib import Path

    from tests.entry.cell import EntryProcess

    with tempfile.TemporaryDirectory() as folder:
        host = EntryProcess("h1", cluster.address, Path(folder))
        environment = {"PAPAYAPICK_CONFIG": str(host.path)}
        return run_command("pool", "status", "--json", environment=environment)


def run_on_platform(cell, *arguments):
    environment = {"PAPAYAPICK_CONFIG": str(cell.hosts[0].path)}
    return run_command(*arguments, "--json", environment=environment)


def test_cell_status_shows_the_pools_of_the_platform(cell):
    result = run_on_platform(cell, "cell", "status")
    assert result.code == EXIT_OK
    assert result.lines == run_pool_command(cell, "status").lines


def test_explain_names_where_a_job_was_placed(cell, cluster):
    identifier = "1" * 16
    assert cell.hosts[0].call("POST", f"/quick/{identifier}", job(tasks=1))[0] == 200

    def placed():
        (line,) = run_on_platform(cell, "request", "explain", identifier).lines
        return line if line["reasons"][0]["code"] == "placed.on" else None

    line = wait_for(placed)
    assert line["state"] == "running"
    assert "task 0 on w" in line["reasons"][0]["text"]


def test_explain_reports_an_unknown_job(cell):
    result = run_on_platform(cell, "request", "explain", "2" * 16)
    assert result.code == EXIT_FAILED
    assert "command.job-missing" in result.err
