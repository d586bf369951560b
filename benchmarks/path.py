"""Time requests of each kind from submission to result, at a low load.

Run as ``python -m benchmarks.path [--json]``.
"""

import time
from concurrent.futures import ThreadPoolExecutor

from benchmarks.durable import run_durable
from benchmarks.tables import percentile, print_rows
from demo.cells import Cell, http_call

REQUESTS = 200
PATH = "/v1/requests"
# The end of a job is seen at the next poll of its worker; running the jobs one after
# another would take minutes.
CONCURRENCY = {"urgent": 1, "once": 1, "deferred": 1, "job": 8}
POLL_INTERVAL = 0.01


def main():
    rows = []
    for deployment in ("footfall", "wayleave"):
        with Cell(deployment) as cell:
            rows += measure(cell)
    print_rows(rows)


def measure(cell):
    kinds = {
        "urgent": lambda number, address: _urgent(cell, number, address),
        "once": lambda number, address: _once(cell, number, address),
        "deferred": lambda number, address: _deferred(cell, number, address),
        "job": lambda number, address: _job(cell, number, address),
    }
    addresses = [found.addresses["http"] for found in cell.gateways]
    rows = []
    for kind, send in kinds.items():

        def timed(number, send=send):
            began = time.perf_counter()
            send(number, addresses[number % len(addresses)])
            return time.perf_counter() - began

        with ThreadPoolExecutor(CONCURRENCY[kind]) as executor:
            seconds = list(executor.map(timed, range(REQUESTS)))
        rows.append(
            {
                "cell": cell.deployment,
                "kind": kind,
                "requests": REQUESTS,
                "median_ms": percentile(seconds, 0.5) * 1000,
                "p99_ms": percentile(seconds, 0.99) * 1000,
            }
        )
    return rows


def _service(cell, urgency, repeatable):
    return next(
        found["name"]
        for found in cell.bundle["services"]
        if (found["urgency"], found["repeatable"]) == (urgency, repeatable)
    )


def _urgent(cell, number, address):
    body = {"service": _service(cell, "urgent", True), "payload": number}
    assert http_call(address, "POST", PATH, body)[0] == 200


def _once(cell, number, address):
    body = {"service": _service(cell, "urgent", False), "payload": number}
    headers = {"Idempotency-Key": f"path-{number}"}
    assert http_call(address, "POST", PATH, body, headers)[0] == 200


def _deferred(cell, number, address):
    body = {"service": _service(cell, "deferred", True), "payload": number}
    run_durable(address, PATH, body, POLL_INTERVAL)


def _job(cell, number, address):
    body = {
        "job": cell.bundle["jobs"][0]["name"],
        "members": 3,
        "processors": 1000,
        "payload": {"run_seconds": 0.01},
    }
    run_durable(address, PATH, body, POLL_INTERVAL)


if __name__ == "__main__":
    main()
