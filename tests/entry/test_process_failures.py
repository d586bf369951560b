"""Entry hosts as processes that are killed, frozen, cut off or restarted."""

import signal
import time

import pytest

from tests.entry.cell import EntryCell, job, wait_for
from tests.entry.quick_jobs import IDS, completed, runs_once, state_of, submit


@pytest.mark.parametrize(
    "end",
    [signal.SIGKILL, signal.SIGSTOP, signal.SIGTERM],
    ids=["killed", "frozen", "stopped"],
)
def test_takeover_keeps_running_tasks_and_places_the_others(cluster, cell, end):
    """Guards against jobs that are late or run twice after their owner has ended.

    The owner is killed, frozen or stopped while tasks run. Another host takes over,
    finds the tasks at their workers and places the others; no lease expires and no task
    runs twice.
    """
    owner = cell.owner()
    survivor = cell.others(owner)[0]
    for worker in cluster.workers.values():
        worker.task_seconds = 1.0
    identifiers = IDS[:8]
    for identifier in identifiers[:4]:
        assert submit(survivor, identifier, job(3)) == 200
    wait_for(lambda: len(cluster.starts()) == 12)
    owner.signal(end)
    for identifier in identifiers[4:]:
        assert submit(survivor, identifier, job(3)) == 200
    wait_for(lambda: cell.owner() not in (None, owner))
    wait_for(completed(survivor, identifiers), 15)
    assert runs_once(cluster)
    lapsed = [
        end
        for worker in cluster.workers.values()
        for end in worker.finished
        if end[3] == "lapsed"
    ]
    assert lapsed == []


def test_frozen_owner_that_resumes_sends_no_orders(cluster, cell):
    """Guards against a task that runs twice because a replaced owner continues."""
    owner = cell.owner()
    owner.signal(signal.SIGSTOP)
    wait_for(lambda: cell.owner() not in (None, owner))
    survivor = cell.others(owner)[0]
    assert submit(survivor, IDS[0], job(4)) == 200
    wait_for(completed(survivor, IDS[:1]))
    owner.signal(signal.SIGCONT)
    assert submit(survivor, IDS[1], job(4)) == 200
    wait_for(completed(survivor, IDS[1:2]))
    wait_for(lambda: state_of(owner, IDS[1]) == "completed")
    assert runs_once(cluster)


def test_end_reported_to_a_killed_owner_is_read_again(cluster, cell):
    """Guards against a finished task that runs again after its owner was killed.

    The store refuses writes, so the end is not recorded, and then the owner is killed.
    The worker still lists the end, and the new owner reads it from there.
    """
    owner = cell.owner()
    survivor = cell.others(owner)[0]
    assert submit(survivor, IDS[0], job(2)) == 200
    wait_for(lambda: len(cluster.starts()) == 2)
    cluster.rows.is_down = True
    wait_for(lambda: not any(w.running for w in cluster.workers.values()))
    time.sleep(0.3)
    owner.signal(signal.SIGKILL)
    time.sleep(0.3)
    cluster.rows.is_down = False
    wait_for(completed(survivor, IDS[:1]), 15)
    assert runs_once(cluster)


def test_restart_of_all_hosts_keeps_accepted_jobs(cluster, cell):
    """Guards against the loss of accepted jobs after a power loss of all hosts."""
    for worker in cluster.workers.values():
        worker.task_seconds = 1.5
    assert submit(cell.hosts[0], IDS[0], job(2)) == 200
    wait_for(lambda: len(cluster.starts()) == 2)
    assert submit(cell.hosts[0], IDS[1], job(2)) == 200
    for host in cell.hosts:
        host.end()
    for host in cell.hosts:
        host.start()
    wait_for(lambda: all(host.is_ready() for host in cell.hosts), 20)
    wait_for(completed(cell.hosts[1], IDS[:2]), 15)
    assert runs_once(cluster)


def _reported_count(host):
    """Return the count of waiting jobs that a host reports, or its error status."""
    try:
        status, body = host.call("GET", "/quick/")
    except OSError:
        return 503
    return body["queued_jobs"] if status == 200 else status


def test_hosts_that_have_just_started_report_the_right_count_or_none(cluster, cell):
    """Guards against a count of 0 before a host has received a report.

    All hosts lose power and restart while jobs wait.
    """
    too_large = job(tasks=1, cpu=1_000_000)
    for identifier in IDS[:3]:
        assert submit(cell.hosts[0], identifier, too_large) == 200
    wait_for(lambda: all(_reported_count(host) == 3 for host in cell.hosts))
    for host in cell.hosts:
        host.end()
    for host in cell.hosts:
        host.start()
    reported = []

    def all_report_three():
        reported.append([_reported_count(host) for host in cell.hosts])
        return reported[-1] == [3, 3, 3]

    wait_for(all_report_three, 20)
    assert {count for counts in reported for count in counts} <= {3, 503}


def test_order_that_a_worker_executes_late_runs_nothing_twice(cluster, cell):
    """Guards against a task that runs twice because its first order was delayed."""
    for worker in cluster.workers.values():
        worker.starts_to_delay = 1
    identifiers = IDS[:4]
    for identifier in identifiers:
        assert submit(cell.hosts[0], identifier, job(2)) == 200
    wait_for(completed(cell.hosts[0], identifiers), 15)
    before = len([one for w in cluster.workers.values() for one in w.starts])
    for worker in cluster.workers.values():
        worker.execute_delayed_starts()
    after = len([one for w in cluster.workers.values() for one in w.starts])
    assert after == before
    assert runs_once(cluster)


def test_unavailable_store_refuses_new_jobs_and_keeps_running_ones(cluster, cell):
    """Guards against callers that run into their time limit during a store outage."""
    for worker in cluster.workers.values():
        worker.task_seconds = 1.0
    host = cell.hosts[0]
    assert submit(host, IDS[0], job(2)) == 200
    wait_for(lambda: len(cluster.starts()) == 2)
    cluster.rows.is_down = True
    wait_for(lambda: submit(host, IDS[1], job(1)) == 503, 5)
    cluster.rows.is_down = False
    wait_for(completed(host, IDS[:1]), 15)
    assert runs_once(cluster)
    assert [task for task in cluster.starts() if task.startswith(IDS[1])] == []


def test_tasks_of_a_crashed_worker_do_not_wait_for_the_end_of_its_lease(cluster, cell):
    """Guards against a job of one second that takes five because its worker crashed.

    The worker does not answer, and its lease lasts 3.6 s. The list of machines shows at
    once that the worker no longer exists.
    """
    for worker in cluster.workers.values():
        worker.task_seconds = 1.0
    host = cell.hosts[0]
    assert submit(host, IDS[0], job(4)) == 200
    wait_for(lambda: len(cluster.starts()) == 4)
    crashed = next(name for name, one in cluster.workers.items() if one.running)
    cluster.crash(crashed)
    wait_for(completed(host, IDS[:1]))
    lost = [line for line in cell.owner().events() if "runs lost" in line["event"]]
    assert [(line["worker"], line["reason"]) for line in lost] == [
        (crashed, "no such worker")
    ]


def test_jobs_are_placed_soon_after_an_outage_in_which_all_hosts_restarted(
    cluster, cell
):
    """Guards against a pool without an owner for ten times the rest of an outage."""
    cluster.rows.is_down = True
    for host in cell.hosts:
        host.signal(signal.SIGKILL)
    for host in cell.hosts:
        host.process.wait()
        host.start()
    time.sleep(1.5)
    cluster.rows.is_down = False
    wait_for(lambda: all(host.is_ready() for host in cell.hosts))
    assert submit(cell.hosts[0], IDS[0], job(1)) == 200
    wait_for(completed(cell.hosts[1], IDS[:1]), seconds=6)


@pytest.mark.parametrize(
    "end", [signal.SIGKILL, signal.SIGSTOP], ids=["killed", "frozen"]
)
def test_polls_and_takeover_do_not_depend_on_the_relay_of_a_zone(
    cluster, tmp_path, end
):
    """Guards against callers without news, or no new owner, after a relay has failed.

    In a zone of this size the owner tells the changes to one host, which tells the
    others.
    """
    with EntryCell(cluster, tmp_path, hosts=7) as cell:
        owner = cell.owner()
        # Hosts of one size are chosen by name.
        relay = max(cell.others(owner), key=lambda host: host.name)
        rest = [host for host in cell.others(owner) if host is not relay]
        assert submit(rest[0], IDS[0], job(2)) == 200
        for host in cell.hosts:
            wait_for(completed(host, IDS[:1]))
        relay.signal(end)
        assert submit(rest[0], IDS[1], job(2)) == 200
        for host in [owner, *rest]:
            wait_for(completed(host, IDS[:2]))
        owner.signal(signal.SIGKILL)
        wait_for(lambda: cell.owner() not in (None, owner))
        assert submit(rest[0], IDS[2], job(2)) == 200
        for host in rest:
            wait_for(completed(host, IDS[:3]))
        assert runs_once(cluster)
