"""Requests a second and processor time of real gateways and a placer on loopback.

Callers in separate processes keep a number of connections busy. Only gateways of the
first zone get requests, so that one placer serves all of them. ``reference_ms`` is the
time of a fixed loop; on a busy host it grows like the other times. Then a backend
server leaves under load, and the time of the last new call to it is printed.
Run as ``python -m benchmarks.requests [--json]``.
"""

import http.client
import json
import multiprocessing
import os
import subprocess
import sys
import threading
import time
import urllib.parse
from concurrent.futures import ThreadPoolExecutor

from benchmarks.tables import percentile, print_rows
from demo.cells import ROOT, Cell, http_call

DEPLOYMENT, SERVICE = "footfall", "quick-counts"
PATH = "/v1/requests"
ECHO_PROCESSES = 3
CALLER_PROCESSES = 4
WARM_SECONDS, SECONDS = 2.0, 5.0
CASES = ((1, 4), (1, 16), (1, 32), (2, 32), (2, 64))
LEAVE_AFTER_SECONDS, LEAVE_SECONDS = 2.0, 8.0
LEAVE_CALLERS = 6
REFERENCE_LOOPS = 1_000_000
_TICKS = os.sysconf("SC_CLK_TCK")


def main():
    rows = throughput_rows()
    rows += leaving_rows()
    names = list(dict.fromkeys(name for row in rows for name in row))
    print_rows([{name: row.get(name, "") for name in names} for row in rows])


def throughput_rows():
    """Return requests a second, latency and processor time by case."""
    rows = []
    with Cell(DEPLOYMENT) as cell:
        zone, region = next(iter(cell.zones.items()))
        second = cell.add("gateway", f"gateway-{zone}-2", region, zone)
        cell.announce(second)
        cell.wait_ready()
        echoes = [_start_echo() for _ in range(ECHO_PROCESSES)]
        try:
            _move_instances(cell, [url for _, url in echoes])
            for gateways, connections in CASES:
                rows.append(_measure(cell, zone, gateways, connections))
        finally:
            for process, _ in echoes:
                process.kill()
                process.wait()
                process.stdout.close()
    return rows


def leaving_rows():
    """Return the time of the last new call to a leaving backend server, by case."""
    cases = {
        "says so itself, list lags": lambda cell, name: cell.control(
            "faults", target=name, kind="leave"
        ),
        "list says so": lambda cell, name: cell.control(
            "mark", name=name, state="leaving"
        ),
        "says so itself, list down": lambda cell, name: (
            cell.control("faults", target="hosts", kind="down"),
            cell.control("faults", target=name, kind="leave"),
        ),
    }
    rows = []
    for case, leave in cases.items():
        with Cell(DEPLOYMENT) as cell:
            rows.append(_leave(cell, case, leave))
    return rows


def _start_echo():
    process = subprocess.Popen(
        [sys.executable, "-m", "benchmarks.echo"], cwd=ROOT, stdout=subprocess.PIPE
    )
    return process, json.loads(process.stdout.readline())["url"]


def _move_instances(cell, urls):
    netloc = urllib.parse.urlsplit(cell.url).netloc
    lines = json.loads(http_call(netloc, "GET", "/hosts")[2])["hosts"]
    moved = [line for line in lines if line.get("service") == SERVICE]
    for number, line in enumerate(moved):
        line["url"] = f"{urls[number % len(urls)]}/instances/{line['name']}"
        cell.control("hosts", **line)
    address = cell.gateways[0].addresses["http"]
    body = {"service": SERVICE, "payload": {}}

    def is_moved():
        # Answers of the echo servers do not name an instance.
        answers = [http_call(address, "POST", PATH, body)[2] for _ in range(20)]
        return not any(b"instance" in found for found in answers)

    cell.wait_until(is_moved, "instances were not moved")


def _measure(cell, zone, gateways, connections):
    processes = [found for found in cell.gateways if found.place["zone"] == zone]
    chosen = processes[:gateways]
    placer = next(found for found in cell.placers if found.place["zone"] == zone)
    addresses = [found.addresses["http"] for found in chosen]
    each = connections // CALLER_PROCESSES
    context = multiprocessing.get_context("spawn")
    with context.Pool(CALLER_PROCESSES) as pool:
        pending = pool.starmap_async(
            call_for,
            [(addresses, each, number) for number in range(CALLER_PROCESSES)],
        )
        threading.Event().wait(WARM_SECONDS / 2)
        reference = _reference_ms()
        threading.Event().wait(WARM_SECONDS / 2)
        before = [_busy_seconds(found) for found in (*chosen, placer)]
        served = _served(chosen)
        began = time.perf_counter()
        threading.Event().wait(SECONDS / 2)
        passed = time.perf_counter() - began
        after = [_busy_seconds(found) for found in (*chosen, placer)]
        count = _served(chosen) - served
        results = pending.get()
    seconds = [one for found in results for one in found[0]]
    failed = sum(found[1] for found in results)
    used = [late - early for early, late in zip(before, after, strict=True)]
    return {
        "case": f"{gateways} gateway, {connections} connections",
        "reference_ms": reference,
        "requests_per_s": count / passed,
        "median_ms": percentile(seconds, 0.5) * 1000,
        "p99_ms": percentile(seconds, 0.99) * 1000,
        "failed": failed,
        "gateway_us_per_request": sum(used[:-1]) / count * 1e6,
        "gateway_cores": sum(used[:-1]) / passed,
        "placer_us_per_request": used[-1] / count * 1e6,
    }


def call_for(addresses, connections, offset):
    """Keep connections busy from one process; return latencies and failures."""
    deadline = time.perf_counter() + WARM_SECONDS + SECONDS
    seconds, failed = [], []
    body = json.dumps({"service": SERVICE, "payload": {"door": 1}})

    def run(number):
        address = addresses[(number + offset) % len(addresses)]
        connection = http.client.HTTPConnection(address, timeout=30)
        while time.perf_counter() < deadline:
            began = time.perf_counter()
            connection.request("POST", PATH, body)
            answer = connection.getresponse()
            answer.read()
            if answer.status == 200:
                seconds.append(time.perf_counter() - began)
            else:
                failed.append(answer.status)
        connection.close()

    threads = [
        threading.Thread(target=run, args=(number,)) for number in range(connections)
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    return seconds, len(failed)


def _served(gateways):
    total = 0.0
    for found in gateways:
        _, _, body = http_call(found.addresses["http"], "GET", "/metrics")
        for line in body.decode().splitlines():
            if line.startswith("papayapick_requests_total{"):
                total += float(line.rsplit(" ", 1)[1])
    return total


def _reference_ms():
    began = time.perf_counter()
    total = 0
    for number in range(REFERENCE_LOOPS):
        total += number
    return (time.perf_counter() - began) * 1000


def _busy_seconds(daemon):
    with open(f"/proc/{daemon.process.pid}/stat", encoding="ascii") as file:
        fields = file.read().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / _TICKS


def _leave(cell, case, leave):
    addresses = [found.addresses["http"] for found in cell.gateways]
    body = {"service": SERVICE, "payload": {}}
    calls = []
    began = time.perf_counter()

    def run(number):
        while (sent := time.perf_counter() - began) < LEAVE_SECONDS:
            address = addresses[number % len(addresses)]
            status, _, data = http_call(address, "POST", PATH, body)
            name = json.loads(data).get("instance", "") if status == 200 else ""
            calls.append((sent, name))

    with ThreadPoolExecutor(LEAVE_CALLERS) as executor:
        running = [executor.submit(run, number) for number in range(LEAVE_CALLERS)]
        threading.Event().wait(LEAVE_AFTER_SECONDS)
        leaver = next(name for _, name in reversed(calls) if name)
        left = time.perf_counter() - began
        leave(cell, leaver)
        for found in running:
            found.result()
    new = [sent - left for sent, name in calls if name == leaver and sent > left]
    return {
        "case": f"leaves: {case}",
        "requests_per_s": len(calls) / LEAVE_SECONDS,
        "failed": sum(not name for _, name in calls),
        "calls_after_leaving": len(new),
        "last_new_call_s": max(new, default=0.0),
    }


if __name__ == "__main__":
    main()
