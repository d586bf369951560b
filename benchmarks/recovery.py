"""Inject faults into a cell of processes and measure its recovery.

Run as ``python -m benchmarks.recovery [--json]``. Callers send urgent requests to every
gateway throughout. ``served_s`` is the time from the fault until every shard is served
again; latencies are those of the requests answered after the fault, in milliseconds;
``refused`` counts answers with the outcome ``not_run``.
"""

import signal
import threading
import time

from benchmarks.tables import percentile, print_rows
from demo.cells import Cell
from tests.failures.loads import Load

BEFORE = 200
AFTER_SECONDS = 3.0
POLL_INTERVAL = 0.02


def main():
    rows = []
    for name, fault in FAULTS.items():
        with Cell("footfall") as cell:
            rows.append(measure(cell, name, fault))
    print_rows(rows)


def measure(cell, name, fault):
    cell.wait_until(lambda: is_settled(cell), "a shard away from its zone")
    gateways = [found.addresses["http"] for found in cell.gateways]
    with Load(gateways, threads=9) as load:
        load.wait_for_more(BEFORE)
        count = len(load.answers)
        began = time.monotonic()
        is_over = fault(cell)
        while not is_over():
            threading.Event().wait(POLL_INTERVAL)
        served = time.monotonic() - began
        threading.Event().wait(AFTER_SECONDS)
        calm = load.answers[:count]
        during = load.answers[count:]
    waits = [found[3] for found in during if found[0] == 200]
    counts = cell.control("counts")
    return {
        "fault": name,
        "served_s": served,
        "answers": len(during),
        "refused": sum(found[2] == "not_run" for found in during),
        "unknown": sum(found[0] != 200 and found[2] != "not_run" for found in during),
        "calm_p99_ms": percentile([found[3] for found in calm], 0.99) * 1000,
        "p50_ms": percentile(waits, 0.5) * 1000,
        "p99_ms": percentile(waits, 0.99) * 1000,
        "most_ms": max(waits) * 1000,
        "overfilled": counts["overfilled"],
        "most_slots": counts["most"],
    }


def is_settled(cell):
    """Return whether each shard is owned by the placer of its zone.

    Right after the start, the first placer that is ready may own several or all shards.
    """
    return all(cell.owner_of(f"{zone}.0") == f"placer-{zone}" for zone in cell.zones)


def owner_of_a_shard(cell):
    """Return the owner of the first zone's shard, maybe a placer of another zone."""
    zone = next(iter(cell.zones))
    return cell.daemons[cell.owner_of(f"{zone}.0")]


def kill(cell):
    placer = owner_of_a_shard(cell)
    placer.signal(signal.SIGKILL)
    return taken_by_others(cell, placer)


def freeze(cell):
    placer = owner_of_a_shard(cell)
    placer.signal(signal.SIGSTOP)
    return taken_by_others(cell, placer)


def hand_over(cell):
    placer = owner_of_a_shard(cell)
    placer.signal(signal.SIGTERM)
    return taken_by_others(cell, placer)


def lose_rack(cell):
    """Make all instances and workers of one zone's rack unavailable."""
    zone = next(iter(cell.zones))
    names = [f"worker-{zone}-{number:02d}" for number in range(1, 9)]
    services = [found["name"] for found in cell.bundle["services"]]
    for worker in names:
        for target in (worker, *[f"{service}-{worker}" for service in services]):
            cell.control("faults", target=target, kind="down")
    began = time.monotonic()
    # Shards stay served, so the row shows the latencies over a fixed time.
    return lambda: time.monotonic() - began > AFTER_SECONDS


def lose_table(cell):
    cell.control("faults", target="table", kind="down")
    began = time.monotonic()
    return lambda: time.monotonic() - began > AFTER_SECONDS


def taken_by_others(cell, placer):
    count = cell.bundle["topology"]["shards_per_zone"] * len(cell.zones)
    others = [found for found in cell.placers if found is not placer]

    def is_over():
        owned = [cell.metric(found, "papayapick_owned_shards") for found in others]
        return sum(owned) >= count

    return is_over


FAULTS = {
    "placer killed": kill,
    "placer frozen": freeze,
    "placer told to stop": hand_over,
    "rack of eight workers lost": lose_rack,
    "table down": lose_table,
}


if __name__ == "__main__":
    main()
