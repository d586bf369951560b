"""Measure whole processes: idle, by heartbeat, by poll and by request.

Run as ``python -m benchmarks.processes [--json]``. Three gateways and three
placers run on this machine with the stand-ins; memory is what is resident, and
processor time is that of each process, from the system's own count.
"""

import os
import threading
import time

from benchmarks.tables import print_rows
from tests.cells import Cell, http_call

SECONDS = 10
REQUESTS = 1500
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
            _pass(SETTLE_SECONDS)
            rows += _idle(cell, name)
            if environment is BASE:
                rows += _loaded(cell)
    print_rows(rows)


def _idle(cell, name):
    before, peers = _spent(cell), _counted(cell)
    _pass(SECONDS)
    after, peers_after = _spent(cell), _counted(cell)
    return [
        _row(
            cell,
            kind,
            name,
            _mean(cell, kind, before, after) / SECONDS * 1e6,
            "us/s",
            (_sum(cell, kind, peers_after) - _sum(cell, kind, peers)) / SECONDS / 3,
        )
        for kind in ("gateway", "placer")
    ]


def _loaded(cell):
    address = cell.gateways[0].addresses["http"]
    body = {"service": "quick-counts", "payload": {"arcade": 7}}
    before, bytes_before = _spent(cell), _counted(cell)
    began = time.monotonic()
    for _ in range(REQUESTS):
        assert http_call(address, "POST", "/v1/requests", body)[0] == 200
    seconds = time.monotonic() - began
    after, bytes_after = _spent(cell), _counted(cell)
    rows = []
    for kind in ("gateway", "placer"):
        # One gateway served all; any placers of its region may have helped.
        spent = _mean(cell, kind, before, after) * 3
        sent = _sum(cell, kind, bytes_after) - _sum(cell, kind, bytes_before)
        name = f"{REQUESTS} urgent requests, one by one, in {seconds:.1f} s"
        rows.append(
            _row(
                cell, kind, name, spent / REQUESTS * 1e6, "us/request", sent / REQUESTS
            )
        )
    return rows


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


def _pass(seconds):
    threading.Event().wait(seconds)


def _spent(cell):
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


def _counted(cell):
    """Return the bytes that each process exchanged with peers, both ways."""
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
