"""Kills, freezes and shutdowns of real processes.

The stand-ins count the runs of each request and overfilled hosts.
"""

import json
import signal
import threading
from concurrent.futures import ThreadPoolExecutor

import pytest

from demo.cells import Cell, http_call
from tests.failures.loads import Load

QUICK = {
    "PAPAYAPICK_HEARTBEAT_SECONDS": "0.1",
    "PAPAYAPICK_DEAD_AFTER_SECONDS": "1.0",
    "PAPAYAPICK_POLL_SECONDS": "0.2",
}
REQUESTS = "/v1/requests"
SLOTS = 8
ONCE = {"service": "heatmap-refresh", "payload": {"seconds": 2.0}}


@pytest.fixture
def cell():
    with Cell("footfall", QUICK) as cell:
        yield cell
        counts = cell.control("counts")
        assert counts["overfilled"] == 0
        assert counts["most"] <= SLOTS


def send_once(cell, key, address, seconds=2.0):
    body = {"service": "heatmap-refresh", "payload": {"seconds": seconds}}
    status, headers, data = http_call(
        address, "POST", REQUESTS, body, {"Idempotency-Key": key}
    )
    return status, headers, json.loads(data)


def wait_for_run(cell, count=1):
    def has_run():
        runs = cell.control("counts")["runs"]
        return sum(".0." in request_id for request_id in runs) >= count

    cell.wait_until(has_run, "the work does not run")


def owner_of_run(cell):
    runs = cell.control("counts")["runs"]
    request_id = next(found for found in runs if ".0." in found)
    # Right after the start, a placer of another zone may own the shard, so the owner
    # is read from the table.
    shard = request_id.rpartition(".")[0]
    return cell.daemons[cell.owner_of(shard)], request_id


def shard_lines(cell):
    """Return the log lines of the placers about shards, to explain a failure."""
    found = [
        (line["time"], daemon.name, line["message"], line.get("shard", ""))
        for daemon in cell.placers
        for line in daemon.lines()
        if "shard" in line.get("message", "") or line.get("message") == "draining"
    ]
    return "\n".join(" ".join(map(str, one)) for one in sorted(found))


@pytest.mark.parametrize("number", [signal.SIGKILL, signal.SIGSTOP])
def test_placer_killed_or_frozen_during_a_run(cell, number):
    """The placer that journaled a heatmap refresh fails while the refresh runs.

    The gateway queries the successor, which finds a start without an outcome and
    answers "unknown", also to a retry under the same key. The frozen placer must not
    change this outcome once it resumes.
    """
    gateway = cell.gateways[0].addresses["http"]
    with ThreadPoolExecutor(1) as executor:
        sent = executor.submit(send_once, cell, "k1", gateway)
        wait_for_run(cell)
        placer, request_id = owner_of_run(cell)
        placer.signal(number)
        status, _, found = sent.result()
    assert (status, found["outcome"]) == (504, "unknown")
    if number == signal.SIGSTOP:
        placer.signal(signal.SIGCONT)
    status, _, found = send_once(cell, "k1", gateway)
    assert (status, found["outcome"]) == (504, "unknown")
    assert cell.control("counts")["runs"][request_id] == 1


def test_frozen_placer_that_resumes_under_load_overfills_nothing(cell):
    """A placer is frozen until others own its shards, then resumes under load.

    It still assumes that it owns its shards and would grant slots that its successor
    grants too. The detected pause makes it read the table first, and the backend
    servers refuse its epoch.
    """
    placer = cell.placers[0]
    others = [found for found in cell.placers if found is not placer]
    addresses = [found.addresses["http"] for found in cell.gateways]

    def taken_over():
        owned = [cell.metric(found, "papayapick_owned_shards") for found in others]
        return sum(owned) == 3

    with Load(addresses, threads=24) as load:
        load.wait_for_more(50)
        placer.signal(signal.SIGSTOP)
        cell.wait_until(taken_over, "no placer took over the shards")
        placer.signal(signal.SIGCONT)
        load.wait_for_more(200)
    assert all(found[2] in ("", "not_run") for found in load.answers)


def test_gateway_finishes_requests_in_flight_on_sigterm(cell):
    """A gateway gets SIGTERM while slow requests run; each gets its full answer."""
    gateway = cell.gateways[0]
    address = gateway.addresses["http"]
    body = {"service": "quick-counts", "payload": {"seconds": 1.0}}
    headers = {"Request-Timeout": "8"}
    with ThreadPoolExecutor(10) as executor:
        sent = [
            executor.submit(http_call, address, "POST", REQUESTS, body, headers)
            for _ in range(8)
        ]
        once = executor.submit(send_once, cell, "k2", address, 1.5)
        wait_for_run(cell)
        gateway.signal(signal.SIGTERM)
        answers = [found.result() for found in sent]
    assert [status for status, _, _ in answers] == [200] * 8
    assert all(json.loads(data)["payload"] == body["payload"] for *_, data in answers)
    assert once.result()[0] == 200
    gateway.process.wait(30)
    assert gateway.process.returncode == 0


def test_placer_hands_over_without_failed_requests_on_sigterm(cell):
    """A placer under load gets SIGTERM while it runs slow work.

    Every urgent request is answered during the handover. The slow refresh ends on the
    placer that journaled it, and a refresh sent during the drain is run by the owner
    of the shard at that time.
    """
    addresses = [found.addresses["http"] for found in cell.gateways]
    with Load(addresses) as load, ThreadPoolExecutor(2) as executor:
        first = executor.submit(send_once, cell, "k1", addresses[0], 1.5)
        wait_for_run(cell)
        placer, request_id = owner_of_run(cell)
        load.wait_for_more(50)
        placer.signal(signal.SIGTERM)
        placer.wait_for_line("draining")
        again = executor.submit(send_once, cell, "k1", addresses[1], 1.5)
        placer.wait_for_line("shard handed over")
        placer.process.wait(30)
        load.wait_for_more(50)
    assert load.problems == []
    answers = [first.result(), again.result()]
    assert [status for status, *_ in answers] == [200, 200], shard_lines(cell)
    assert first.result()[2] == again.result()[2]
    assert cell.control("counts")["runs"][request_id] == 1
    assert placer.process.returncode == 0


def test_second_signal_ends_a_draining_placer(cell):
    """A second SIGTERM ends a placer at once, without the rest of the drain.

    The successor cannot tell whether the work ran, and answers "unknown".
    """
    address = cell.gateways[0].addresses["http"]
    with ThreadPoolExecutor(1) as executor:
        sent = executor.submit(send_once, cell, "k1", address, 6.0)
        wait_for_run(cell)
        placer, request_id = owner_of_run(cell)
        placer.signal(signal.SIGTERM)
        placer.wait_for_line("draining")
        placer.signal(signal.SIGTERM)
        placer.process.wait(5)
        status, _, found = sent.result()
    assert (status, found["outcome"]) == (504, "unknown")
    assert cell.control("counts")["runs"][request_id] == 1


def test_restart_of_every_entry_host_in_turn(cell):
    """Entry hosts are replaced one after the other while jobs and requests run.

    No request is refused or interrupted, no worker is overfilled, no non-repeatable
    work runs twice, and each placer becomes the owner of its zone's shard again.
    """
    job = {
        "job": "season-model",
        "members": 4,
        "processors": 8000,
        "memory": 4096,
        "payload": {"run_seconds": 3},
    }
    gateways = [found.addresses["http"] for found in cell.gateways]
    locations = []
    for number in range(6):
        status, headers, _ = http_call(gateways[number % 3], "POST", REQUESTS, job)
        assert status == 202
        locations.append(headers["Location"])
    with Load(gateways) as load:
        for number, placer in enumerate(list(cell.placers)):
            assert send_once(cell, f"r{number}", gateways[0], 0.1)[0] == 200
            placer.signal(signal.SIGTERM)
            placer.process.wait(30)
            cell.control("remove", name=placer.name)
            del cell.daemons[placer.name]
            place = placer.place
            started = cell.add("placer", placer.name, place["region"], place["zone"])
            cell.announce(started)
            cell.wait_until(
                lambda found=started: cell.metric(found, "papayapick_owned_shards"),
                "the placer does not own the shard of its zone again",
            )
    assert load.problems == []
    ended = threading.Event()
    for location in locations:
        while not ended.wait(0.05):
            _, _, data = http_call(gateways[0], "GET", location)
            if json.loads(data).get("outcome"):
                break
        assert json.loads(data)["outcome"] == "done"
    runs = cell.control("counts")["runs"]
    assert {runs[found] for found in runs if ".0." in found} == {1}
