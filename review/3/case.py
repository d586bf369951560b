"""A queue gets another service, then all processes are killed: its jobs are lost."""

import collections
import json
import os
import time
from pathlib import Path

from review.platform_standin import Cell, Platform, Record, route, run_case, wait_for

TASK_SECONDS = 8.0
# A repeated request: "such a request also arrives seconds after the 2xx response".
JOB, REPEATED = "00000000000000a1", "00000000000000a2"
# Its route is dropped by the same config.
DROPPED = "00000000000000a3"
DOWN_SECONDS = 0.96
IS_TROUBLED = os.environ.get("TROUBLE", "1") != "0"
BODY = json.dumps(
    {
        "spec": "count",
        "phases": [
            {"task_count": 2, "cpu": 500, "mem_mb": 64, "estimate_ms": 8000},
        ],
    }
)


def main():
    """Play the case; return its exit code."""
    record = Record(Path(__file__).parent / "record.txt")
    platform = Platform(record)
    for number in range(1, 5):
        platform.add(f"old{number}", "pool-1", task_seconds=TASK_SECONDS)
        platform.add(f"new{number}", "pool-2", task_seconds=TASK_SECONDS)
        platform.add(f"third{number}", "pool-3", task_seconds=TASK_SECONDS)
    other = route("/other/", "pool-2")
    dropped = route("/weekly/", "pool-3")
    services = ["pool-1", "pool-2", "pool-3"]
    routes = [route("/counts/", "pool-1"), other, dropped]
    platform.write_config(1, routes, services)
    with Cell(platform) as cell:
        if not (cell.wait_until_ready() and wait_for(lambda: owned(cell), 10)):
            record.write("the hosts did not start")
            return 2
        first = cell.hosts[0]
        for identifier in (JOB, REPEATED):
            if first.call("POST", f"/counts/{identifier}", BODY)[0] != 200:
                return 2
        if first.call("POST", f"/weekly/{DROPPED}", BODY)[0] != 200:
            return 2
        time.sleep(2.0)
        platform.write_config(4, [route("/counts/", "pool-2"), other], services)
        acked_at = time.monotonic()
        if IS_TROUBLED:
            for host in cell.hosts:
                host.kill()
            time.sleep(DOWN_SECONDS)
            for host in cell.hosts:
                host.start()
            if not wait_for(lambda: all(h.is_ready() for h in cell.hosts), 20):
                return 2
        first.call("POST", f"/counts/{REPEATED}", BODY)
        # Later than contact_ms after the hosts are back, and all of them asked.
        broken = []
        time.sleep(6.0)
        for _ in range(6):
            for host in cell.hosts:
                status, found = host.call("GET", f"/counts/{JOB}")
                if status == 410:
                    broken.append(f"LOST {host.name} answers 410 for {JOB}")
            time.sleep(1.0)
        time.sleep(max(0.0, acked_at + 2 * TASK_SECONDS + 10 - time.monotonic()))
        for identifier in (JOB, REPEATED):
            status, found = cell.hosts[0].call("GET", f"/counts/{identifier}")
            if found.get("state") != "completed":
                broken.append(f"LOST {identifier} is shown as {status} {found}")
        platform.write_runs()
        broken += find_overlaps(platform)
        broken += find_unfinished(platform)
        for line in broken:
            record.write(line)
    return 1 if broken else 0


def owned(cell):
    """Return whether all pools have owners."""
    return all(cell.owner(pool) for pool in ("pool-1", "pool-2", "pool-3"))


def runs_by_task(platform):
    """Return the runs of each task."""
    runs = collections.defaultdict(list)
    for worker in platform.workers.values():
        for run in worker.all_records():
            runs[run.task].append(run)
    return runs


def find_overlaps(platform):
    """Return the tasks with two runs at the same time."""
    found = []
    for task, runs in sorted(runs_by_task(platform).items()):
        runs.sort(key=lambda one: one.began)
        for first, second in zip(runs, runs[1:], strict=False):
            if second.began < first.ended - 0.002:
                found.append(f"TWICE {task}: {first}; {second}")
    return found


def find_unfinished(platform):
    """Return the tasks of accepted jobs that never ended done."""
    runs = runs_by_task(platform)
    return [
        f"LOST {task} has no run that ended done"
        for task in (
            f"{one}.0.0.{index}" for one in (JOB, REPEATED, DROPPED) for index in (0, 1)
        )
        if not any(run.how == "done" for run in runs[task])
    ]


if __name__ == "__main__":
    run_case(main)
