"""Overload one gateway with callers and count the answers within the deadline.

Callers in separate processes retry after the delay given by the gateway. Run as
``python -m benchmarks.flood [--json]``. The rows with the largest limit are the
baseline, in which all requests wait for a thread.
"""

import http.client
import json
import multiprocessing
import threading
import time

from benchmarks.tables import percentile, print_rows
from demo.cells import Cell

PATH = "/v1/requests"
BODY = json.dumps({"service": "quick-counts", "payload": {"door": 1}})
DEADLINE = 1.0
CALLER_PROCESSES = 4
SECONDS = 8.0
LIMITS = (100_000, 64)
CALLERS = (40, 160, 400)


def main():
    rows = []
    for limit in LIMITS:
        with Cell("footfall", {"PAPAYAPICK_HTTP_WAITING": str(limit)}) as cell:
            address = cell.gateways[0].addresses["http"]
            rows += [_measure(address, limit, callers) for callers in CALLERS]
    print_rows(rows)


def _measure(address, limit, callers):
    context = multiprocessing.get_context("spawn")
    each = callers // CALLER_PROCESSES
    with context.Pool(CALLER_PROCESSES) as pool:
        found = pool.starmap(call_for, [(address, each)] * CALLER_PROCESSES)
    answered = [seconds for part in found for seconds in part[0]]
    refused = [seconds for part in found for seconds in part[1]]
    return {
        "waiting_limit": limit,
        "callers": callers,
        "answered_per_s": len(answered) / SECONDS,
        "in_deadline_per_s": sum(one <= DEADLINE for one in answered) / SECONDS,
        "answer_p99_ms": percentile(answered or [0.0], 0.99) * 1000,
        "refused_per_s": len(refused) / SECONDS,
        "refusal_p99_ms": percentile(refused or [0.0], 0.99) * 1000,
    }


def call_for(address, callers):
    """Send requests from one process; return latencies of answers and refusals."""
    until = time.perf_counter() + SECONDS
    answered, refused = [], []

    def run():
        connection = http.client.HTTPConnection(address, timeout=60)
        while time.perf_counter() < until:
            began = time.perf_counter()
            headers = {"Request-Timeout": str(DEADLINE)}
            connection.request("POST", PATH, BODY, headers)
            answer = connection.getresponse()
            data = answer.read()
            seconds = time.perf_counter() - began
            if answer.status == 200:
                answered.append(seconds)
            else:
                refused.append(seconds)
                wait = json.loads(data).get("retry_after_milliseconds", 1000) / 1000
                threading.Event().wait(wait)
        connection.close()

    threads = [threading.Thread(target=run) for _ in range(callers)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    return answered, refused


if __name__ == "__main__":
    main()
