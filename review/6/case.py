"""A job whose field times is written as 2.0 stops a whole pool for good.

Judged by the clients and the workers: accepted jobs have to run while all workers are
idle.
"""

import json
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
# `finish_s` of the site; also longer than `contact_ms` and the 3 s of the rule.
FINISH_SECONDS = 14.0


def case(record, has_trouble):
    """Return whether the rule held."""
    cluster = Platform()
    for number in range(WORKERS):
        cluster.add_worker(f"w{number}", task_seconds=0.5)
    cluster.configure()
    with Cell(record, cluster=cluster) as cell:
        scheduled, other = new_identifier(), new_identifier()
        body = {
            **json.loads(job({"task_count": 2})),
            # As many as fit in two seconds: a division gives 2.0 in many languages.
            "times": 4 / 2 if has_trouble else 2,
            "start_at_ms": int(time.time() * 1000) + 1000,
            "interval_ms": 1000,
        }
        _submit(cell, "host-1", scheduled, json.dumps(body))
        time.sleep(1.0)
        _submit(cell, "host-2", other, job({"task_count": 3}))
        until = time.monotonic() + FINISH_SECONDS
        while time.monotonic() < until:
            time.sleep(2.0)
            states = [_state(cell, one) for one in (scheduled, other)]
            if states == ["completed", "completed"]:
                break
        for task, starts in cluster.starts().items():
            record.write(f"starts of {task}: {starts}")
        for host in cell.hosts.values():
            failures = host.log_lines('"loop of the pool failed"')
            record.write(f"{host.name}: {len(failures)} owners ended by an error")
        return states == ["completed", "completed"]


def _submit(cell, host, identifier, body):
    if cell.call(host, "POST", identifier, body)[0] != 200:
        raise CannotRunError("a job was not accepted")


def _state(cell, identifier):
    status, body = cell.call("host-3", "GET", identifier)
    return json.loads(body)["state"] if status == 200 else status


main(FOLDER, case)
