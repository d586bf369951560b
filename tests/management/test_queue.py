"""The queue command reads the store and the metrics of entry hosts only."""

import collections

import pytest

from papayapick.jobs import JobDocument, Step
from papayapick.ledger import Amounts
from papayapick.management.exit_codes import EXIT_FAILED, EXIT_OK
from papayapick.management.pools import JobView, StepView
from papayapick.management.queues import read_refusals, read_waits, sum_up_queues
from tests.entry.cell import EntryCell, free_ports, job
from tests.management.commands import run_command
from tests.standins.cluster import Cluster

PAGE = """# HELP papayapick_pool_predicted_wait_seconds Seconds
# TYPE papayapick_pool_predicted_wait_seconds gauge
papayapick_pool_predicted_wait_seconds{queue="rush",bound="earliest"} 1.5
papayapick_pool_predicted_wait_seconds{queue="rush",bound="latest"} +Inf
# HELP papayapick_entry_refusals_total Requests
# TYPE papayapick_entry_refusals_total counter
papayapick_entry_refusals_total{code="entry.too-late"} 7.0
papayapick_entry_refusals_total{code="entry.beyond-rate"} 2.0
"""


@pytest.fixture(scope="module")
def cell(tmp_path_factory):
    cluster = Cluster()
    cluster.add_worker("w1", task_seconds=60)
    cluster.configure()
    with EntryCell(cluster, tmp_path_factory.mktemp("cell"), hosts=1) as cell:
        yield cell
    cluster.close()


def run_queue_command(cell, *arguments):
    environment = {"PAPAYAPICK_CONFIG": str(cell.hosts[0].path)}
    return run_command("queue", *arguments, "--json", environment=environment)


def test_status_shows_jobs_and_refusals(cell):
    host = cell.hosts[0]
    assert host.call("POST", "/quick/" + "0" * 16, job(1))[0] == 200
    assert host.call("POST", "/quick/" + "1" * 16, b"no job")[0] == 400
    address = f"--metrics=127.0.0.1:{host.metrics}"
    result = run_queue_command(cell, "status", address)
    assert result.code == EXIT_OK
    queue, *refusals = result.lines
    assert (queue["queue"], queue["waiting"] + queue["running"]) == ("quick", 1)
    assert any(one["refused"] >= 1 for one in refusals)


def test_metrics_that_cannot_be_read_are_told(cell):
    (port,) = free_ports(1)
    result = run_queue_command(cell, "status", f"--metrics=127.0.0.1:{port}")
    assert result.code == EXIT_FAILED
    assert "command.metrics-unreadable" in result.err


def test_waits_and_refusals_are_read_from_a_page():
    assert read_waits(PAGE) == {"rush": {"earliest": 1.5, "latest": float("inf")}}
    assert read_refusals(PAGE) == collections.Counter(
        {"entry.too-late": 7, "entry.beyond-rate": 2}
    )


def test_work_ahead_is_that_of_unfinished_tasks():
    steps = [Step(4, Amounts(2000, 10), 3.0), Step(2, Amounts(1000, 10), 5.0, [0])]
    document = JobDocument("a" * 16, "rush", "pool", "t", steps, 0.0)
    begun = [StepView(0, 0, 4, 3, {}, {}), StepView(0, 1, 2, 0, {}, {})]
    jobs = [
        JobView(document, "running", False, begun),
        JobView(document, "waiting", False, []),
        JobView(document, "completed", False, []),
    ]
    (view,) = sum_up_queues(["rush"], jobs)
    assert view.work == pytest.approx((6 + 10) + (24 + 10))
    assert dict(view.jobs) == {"running": 1, "waiting": 1}
