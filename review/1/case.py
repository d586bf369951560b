"""A scheduled job's occurrences run again after the store turned the owner away."""

import collections
import json
import os
import time
from pathlib import Path

from review.platform_standin import Cell, Platform, Record, route, run_case, wait_for

WORKERS = 6
JOBS = 8
INTERVAL_SECONDS = 2.0
TIMES = 8
TASK_SECONDS = 0.15
# Within the 7 s that the site ffct-pick gives for it.
TURNED_AWAY_SECONDS = 4.0
IS_TROUBLED = os.environ.get("TROUBLE", "1") != "0"


def main():
    """Play the case; return its exit code."""
    record = Record(Path(__file__).parent / "record.txt")
    platform = Platform(record)
    for number in range(1, WORKERS + 1):
        platform.add(f"w{number}", task_seconds=TASK_SECONDS)
    platform.write_config(1, [route("/counts/", "pool-1")], ["pool-1"])
    with Cell(platform) as cell:
        if not (cell.wait_until_ready() and wait_for(cell.owner, 10)):
            record.write("the hosts did not start")
            return 2
        first_due = time.time() + 2.0
        for number in range(JOBS):
            due = first_due + number * INTERVAL_SECONDS / JOBS
            body = {
                "spec": "count",
                "phases": [
                    {
                        "task_count": WORKERS,
                        "cpu": 500,
                        "mem_mb": 64,
                        "estimate_ms": 150,
                        "anti_affinity": 1,
                    }
                ],
                "times": TIMES,
                "start_at_ms": int(due * 1000),
                "interval_ms": int(INTERVAL_SECONDS * 1000),
            }
            status, _ = cell.hosts[number % 3].call(
                "POST", f"/counts/{number + 1:016x}", json.dumps(body)
            )
            if status != 200:
                return 2
        time.sleep(2.0 + INTERVAL_SECONDS * 2 + 0.3)
        owner = cell.owner()
        if IS_TROUBLED:
            owner.listener.is_turned_away = True
            record.write(f"the store turns {owner.name} away (503)")
        time.sleep(TURNED_AWAY_SECONDS)
        if IS_TROUBLED:
            owner.listener.is_turned_away = False
            record.write(f"the store serves {owner.name} again")
        record.write(f"owner before {owner.name}, now {cell.owner().name}")
        time.sleep(max(0.0, first_due + INTERVAL_SECONDS * TIMES + 4 - time.time()))
        for number in range(JOBS):
            cell.hosts[0].call("GET", f"/counts/{number + 1:016x}")
        platform.write_runs()
        broken = find_second_runs(platform, record)
    return 1 if broken else 0


def find_second_runs(platform, record):
    """Return the second runs of tasks, as the rule TWICE counts them."""
    runs = collections.defaultdict(list)
    noted = {}
    for worker in platform.workers.values():
        for run in worker.all_records():
            runs[run.task].append(run)
            is_noted = (run.task, run.attempt, "done") in worker.noted_ends
            noted[run] = run.how == "done" and is_noted
    broken = []
    for task, found in sorted(runs.items()):
        found.sort(key=lambda one: one.began)
        for first, second in zip(found, found[1:], strict=False):
            if second.began < first.ended - 0.002:
                broken.append(f"{task}: two runs at the same time: {first}; {second}")
            elif noted[first]:
                broken.append(f"{task}: a start after a noted end: {first}; {second}")
    for line in broken:
        record.write(f"TWICE {line}")
    record.write(f"{len(runs)} tasks, {len(broken)} ran twice")
    return broken


if __name__ == "__main__":
    run_case(main)
