"""Measure whole processes: idle, by heartbeat, by poll and by request.

Run as ``python -m benchmarks.processes [--json]``. Three gateways and three placers run
on this machine with the stand-ins; memory is resident memory, and processor time is
that of each process by the count of the operating system.
"""

import json
import os
import threading
import time
from concurrent.futures import ThreadPoolExecutor

from benchmarks.durable import run_durable
from benchmarks.tables import percentile, print_rows
from demo.cells import Cell, http_call
from papayapick.clients import HttpPool, Table

SECONDS = 10
PROCESSES = 3
CALLS = 2000
ROLLS = 5
PATH = "/v1/requests"
POLL_INTERVAL = 0.5
TICKS = os.sysconf("SC_CLK_TCK")
SETTLE_SECONDS = 2
BASE = {"PAPAYAPICK_HEARTBEAT_SECONDS": "0.5", "PAPAYAPICK_POLL_SECONDS": "1"}
VARIANTS = {
    "idle, the deployment's settings": BASE,
    "idle, heartbeats 10 times as often": BASE
    | {"PAPAYAPICK_HEARTBEAT_SECONDS": "0.05"},
    "idle, polls 10 times as often": BASE | {"PAPAYAPICK_POLL_SECONDS": "0.1"},
}
CALM = {"PAPAYAPICK_TRACES": "none", "PAPAYAPICK_DEAD_AFTER_SECONDS": "3"}


def main():
    rows = []
    for name, environment in VARIANTS.items():
        with Cell("footfall", {**environment, **CALM}) as cell:
            _sleep(SETTLE_SECONDS)
            rows += _idle(cell, name)
            if environment is BASE:
                rows += [*_loaded(cell), _call(cell), _roll(cell)]
    print_rows(rows)


def _idle(cell, name):
    before, peers = _processor_seconds(cell), _peer_bytes_by_process(cell)
    _sleep(SECONDS)
    after, peers_after = _processor_seconds(cell), _peer_bytes_by_process(cell)
    return [
        _row(
            cell,
            kind,
            name,
            _mean(cell, kind, before, after) / SECONDS * 1e6,
            "us/s",
            (_sum(cell, kind, peers_after) - _sum(cell, kind, peers))
            / SECONDS
            / PROCESSES,
        )
        for kind in ("gateway", "placer")
    ]


def _loaded(cell):
    addresses = [gateway.addresses["http"] for gateway in cell.gateways]
    for kind, (count, concurrency, send) in LOADS.items():
        before, bytes_before = _processor_seconds(cell), _peer_bytes_by_process(cell)
        writes = cell.control("counts")["writes"]
        began = time.monotonic()
        with ThreadPoolExecutor(concurrency) as executor:
            list(executor.map(lambda n, s=send: s(addresses[n % 3], n), range(count)))
        seconds = time.monotonic() - began
        writes = (cell.control("counts")["writes"] - writes) / count
        after, bytes_after = _processor_seconds(cell), _peer_bytes_by_process(cell)
        name = f"{count} {kind}, {seconds:.1f} s, {writes:.2f} writes each"
        for process in ("gateway", "placer"):
            spent = _mean(cell, process, before, after) * PROCESSES
            sent = _sum(cell, process, bytes_after) - _sum(cell, process, bytes_before)
            yield _row(
                cell, process, name, spent / count * 1e6, "us/request", sent / count
            )


def _urgent(address, number):
    body = {"service": "quick-counts", "payload": {"arcade": number}}
    assert http_call(address, "POST", PATH, body)[0] == 200


def _deferred(address, number):
    body = {"service": "tenant-comparisons", "payload": {"week": number}}
    run_durable(address, PATH, body, POLL_INTERVAL)


def _job(address, number):
    body = {"job": "season-model", "members": 3, "processors": 1000}
    body["payload"] = {"run_seconds": 0.01}
    run_durable(address, PATH, body, POLL_INTERVAL)


LOADS = {
    "urgent requests one by one": (600, 1, _urgent),
    "urgent requests 6 at a time": (1800, 6, _urgent),
    "deferred requests 24 at a time": (600, 24, _deferred),
    "jobs of 3 members 24 at a time": (120, 24, _job),
}


def _roll(cell):
    """Return the time of a step back, including the start of the command."""
    status = cell.command("bundle", "status", "--json").stdout.splitlines()[0]
    digest = json.loads(status)["digest"]
    seconds = []
    for _ in range(ROLLS):
        began = time.monotonic()
        cell.command("bundle", "step-back", digest, "--operator=ana")
        seconds.append(time.monotonic() - began)
    return {
        "process": "operator",
        "run": f"step back on 6 processes, median of {ROLLS}",
        "processor": percentile(seconds, 0.5),
        "unit": "s in all",
        "peer_bytes": 0.0,
        "resident_mb": 0.0,
    }


def _call(cell):
    """Return the client's processor time for one call to the platform."""
    pool = HttpPool(5.0)
    table = Table(cell.url + "/table", pool)
    began = time.thread_time()
    for _ in range(CALLS):
        table.read("bundle/head")
    spent = (time.thread_time() - began) / CALLS * 1e6
    pool.close()
    return {
        "process": "any",
        "run": f"{CALLS} calls of the platform",
        "processor": spent,
        "unit": "us/call",
        "peer_bytes": 0.0,
        "resident_mb": 0.0,
    }


def _row(cell, kind, name, spent, unit, sent):
    found = [one for one in cell.daemons.values() if one.kind == kind]
    return {
        "process": kind,
        "run": name,
        "processor": spent,
        "unit": unit,
        "peer_bytes": sent,
        "resident_mb": max(_resident(one.process.pid) for one in found) / 1e6,
    }


def _sleep(seconds):
    threading.Event().wait(seconds)


def _processor_seconds(cell):
    return {name: _seconds(one.process.pid) for name, one in cell.daemons.items()}


def _seconds(pid):
    with open(f"/proc/{pid}/stat") as file:
        fields = file.read().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS


def _resident(pid):
    with open(f"/proc/{pid}/statm") as file:
        return int(file.read().split()[1]) * os.sysconf("SC_PAGE_SIZE")


def _mean(cell, kind, before, after):
    names = [name for name, one in cell.daemons.items() if one.kind == kind]
    return sum(after[name] - before[name] for name in names) / len(names)


def _peer_bytes_by_process(cell):
    """Return the bytes that each process sent to and received from its peers."""
    return {name: _peer_bytes(one) for name, one in cell.daemons.items()}


def _peer_bytes(daemon):
    _, _, body = http_call(daemon.addresses["http"], "GET", "/metrics")
    lines = body.decode().splitlines()
    found = [line for line in lines if line.startswith("papayapick_peer_bytes_total{")]
    return sum(float(line.rpartition(" ")[2]) for line in found)


def _sum(cell, kind, counted):
    names = [name for name, one in cell.daemons.items() if one.kind == kind]
    return sum(counted[name] for name in names)


if __name__ == "__main__":
    main()
