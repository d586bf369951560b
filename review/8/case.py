"""A lowered maximum keeps an accepted job waiting as long as its team runs anything.

Judged by the clients and the workers: the job has nothing running although a task's
turn has come, all workers but one are idle, and the team uses a fifteenth of its
maximum.
"""

import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from harness2 import (  # noqa: E402
    CONTRACTS,
    CannotRunError,
    Cell,
    Platform,
    job,
    main,
    new_identifier,
    wait_for,
)

KEY = "key-of-the-team"
WORKERS = 4
HIGH_MILLICORES, LOW_MILLICORES = 8000, 3000
LASTING_MILLICORES, FIRST_MILLICORES, SECOND_MILLICORES = 200, 500, 4000
TASK_SECONDS = 4.0
FOREVER_SECONDS = 10_000.0
# `finish_s` of the site, and the 3 s of the rule.
JUDGED_SECONDS = 14.0 + 3.0


def case(record, has_trouble):
    """Return whether the rule held."""
    cluster = Platform()
    for number in range(WORKERS):
        cluster.add_worker(f"w{number}", task_seconds=TASK_SECONDS)
    _configure(cluster, 1, HIGH_MILLICORES)
    contracts = [*CONTRACTS, "tenants", "quota"]
    with Cell(record, cluster=cluster, key=KEY, contracts=contracts) as cell:
        lasting, steps = new_identifier(), new_identifier()
        one = {"cpu": LASTING_MILLICORES, "long_running": True}
        _submit(cell, lasting, job(one))
        wait_for(lambda: cluster.starts(), 5.0)
        _let_run_on(cluster, lasting)
        two = [{"cpu": FIRST_MILLICORES}, {"cpu": SECOND_MILLICORES, "after": [0]}]
        _submit(cell, steps, job(*two))
        wait_for(lambda: f"{steps}.0.0.0" in cluster.starts(), 5.0)
        if has_trouble:
            record.write(f"operator -> store: maximum of the team {LOW_MILLICORES}")
            _configure(cluster, 2, LOW_MILLICORES)
        time.sleep(TASK_SECONDS + 1.0)
        record.write("the turn of the second step has come")
        until = time.monotonic() + JUDGED_SECONDS
        second = f"{steps}.0.1.0"
        while time.monotonic() < until and second not in cluster.starts():
            time.sleep(1.0)
        for host in cell.hosts:
            cell.call(host, "GET", steps)
        for worker in cluster.workers.values():
            for run in worker.all_records():
                record.write(f"run: {run}")
        return second in cluster.starts()


def _submit(cell, identifier, body):
    if cell.call("host-1", "POST", identifier, body)[0] != 200:
        raise CannotRunError("a job was not accepted")


def _let_run_on(cluster, identifier):
    """Let the lasting task run until it is stopped, as it was asked for."""
    for worker in cluster.workers.values():
        with worker.changed:
            for name in worker.running:
                if name[0].startswith(identifier):
                    worker.running[name] += FOREVER_SECONDS


def _configure(cluster, version, millicores):
    team = {
        "name": "team",
        "api_keys": [KEY],
        "weight": 5.0,
        "maximum": {"cpu": millicores, "mem_mb": 0, "gpu": 0},
    }
    cluster.configure(version=version, teams=[team])


main(FOLDER, case)
