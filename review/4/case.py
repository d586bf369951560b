"""An entry of another writer in the list of workers stops a whole pool for good.

Judged by the client and the workers: an accepted job has to run while all workers are
idle.
"""

import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from harness2 import (  # noqa: E402
    CannotRunError,
    Cell,
    Platform,
    job,
    main,
    new_identifier,
)

WORKERS = 4
ENTRY_SECONDS = 3.0
# `finish_s` of the site; also longer than `contact_ms` and the 3 s of the rule.
FINISH_SECONDS = 14.0
# A writer that names itself by an id in place of an address.
FOREIGN_ENTRY = {
    "service": "pool-1",
    "address": "9f86d081884c7d659a2feaa0c55ad015a3bf4f1b2b0b822cd15d6c15b0f00a08:8160",
    "zone": "z1",
    "version": "1",
    "slots": 8,
    "state": "ready",
    "cold_left_ms": 0,
    "seq": 1,
    "capacity": {"cpu": 16000, "mem_mb": 65536},
    "labels": ["a", "r1-1"],
}


def case(record, has_trouble):
    """Return whether the rule held."""
    cluster = Platform()
    for number in range(WORKERS):
        cluster.add_worker(f"w{number}", task_seconds=0.5)
    cluster.configure()
    with Cell(record, cluster=cluster) as cell:
        first = new_identifier()
        cell.call("host-1", "POST", first, job({"task_count": 3}))
        time.sleep(2.0)
        status, body = cell.call("host-2", "GET", first)
        if status != 200 or "completed" not in body:
            raise CannotRunError("the first job was not run")
        if has_trouble:
            record.write(f"another writer -> store: servers/x1 {FOREIGN_ENTRY}")
            cluster.rows.write("servers", "", "x1", FOREIGN_ENTRY)
        time.sleep(ENTRY_SECONDS)
        if has_trouble:
            record.write("another writer -> store: servers/x1 is removed")
            cluster.rows.remove("servers", "", "x1")
        second = new_identifier()
        status, _ = cell.call("host-1", "POST", second, job({"task_count": 3}))
        if status != 200:
            raise CannotRunError("the second job was not accepted")
        until = time.monotonic() + FINISH_SECONDS
        while time.monotonic() < until:
            time.sleep(2.0)
            found = cell.call("host-2", "GET", second)
            record.write(f"owner in the store: {cell.owner()}")
            if found[0] == 200 and "completed" in found[1]:
                break
        for task, starts in cluster.starts().items():
            record.write(f"starts of {task}: {starts}")
        for host in cell.hosts.values():
            failures = host.log_lines('"loop of the pool failed"')
            record.write(f"{host.name}: {len(failures)} owners ended by an error")
        return found[0] == 200 and "completed" in found[1]


main(FOLDER, case)
