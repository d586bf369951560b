"""A host that was frozen stores a repeated job in the pool that its queue had before.

The client sends a job to a host that is frozen, gets no answer, and sends it again to
another host. Meanwhile the operator has moved the queue to another service. Judged by
the workers: no task may run twice at the same time.
"""

import pathlib
import signal
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from harness2 import Cell, Platform, job, main, new_identifier, wait_for  # noqa: E402

from tests.standins.runs import overlapping_runs  # noqa: E402

TASK_SECONDS = 6.0
# A client that gets no answer for this long sends its request to another host.
PATIENCE_SECONDS = 1.0
# The freeze lasts 3.3 s; the site allows 4 s.
BEFORE_CHANGE_SECONDS = 1.6
AFTER_CHANGE_SECONDS = 0.4


def case(record, has_trouble):
    """Return whether the rule held."""
    cluster = Platform()
    for number in range(3):
        cluster.add_worker(f"old{number}", "pool-1", task_seconds=TASK_SECONDS)
        cluster.add_worker(f"new{number}", "pool-2", task_seconds=TASK_SECONDS)
    cluster.configure()
    with Cell(record, cluster=cluster) as cell:
        # The first job of the queue: from now on all hosts know its pool.
        cell.call("host-1", "POST", new_identifier(), job({}))
        time.sleep(1.0)
        owner = cell.owner()
        frozen, other = [name for name in cell.hosts if name != owner]
        identifier = new_identifier()
        if has_trouble:
            record.write(f"{frozen} is frozen (SIGSTOP)")
            cell.hosts[frozen].process.send_signal(signal.SIGSTOP)
        time.sleep(BEFORE_CHANGE_SECONDS)
        record.write("operator -> store: version 2 sends the queue to pool-2")
        cluster.configure(version=2, service="pool-2")
        wait_for(lambda: _has_version_2(cell.hosts[other]), 2.5)
        time.sleep(AFTER_CHANGE_SECONDS)
        cell.call(frozen, "POST", identifier, job({}), PATIENCE_SECONDS)
        cell.call(other, "POST", identifier, job({}))
        time.sleep(0.2)
        if has_trouble:
            record.write(f"{frozen} goes on (SIGCONT)")
            cell.hosts[frozen].process.send_signal(signal.SIGCONT)
        time.sleep(3.0)
        status = cell.call(other, "GET", identifier)
        for worker in cluster.workers.values():
            for run in worker.all_records():
                record.write(f"run: {run}")
        twice = overlapping_runs(list(cluster.workers.values()))
        for first, second in twice:
            record.write(f"at the same time: {first} / {second}")
        for key in sorted(cluster.rows.rows):
            if key[0] == "jobs":
                record.write(f"row in the store: {key}")
        return status[0] == 200 and not twice


def _has_version_2(host):
    lines = host.log_lines('"configuration in force"')
    return any('"version": 2' in line for line in lines)


main(FOLDER, case)
