"""Decoding of workers' answers to orders and renewals."""

import json

import pytest

from papayapick.clients.http import HttpAnswer
from papayapick.jobs import Run, RunPhase, TaskKey
from papayapick.ledger import Amounts
from papayapick.platform.exceptions import WorkerSilent
from papayapick.platform.registrations import decode_registration
from papayapick.platform.workers import WorkerClient
from papayapick.pool.workers.reports import StartOutcome

RUN = Run(TaskKey("f" * 16, 0, 0, 0), 1, "w1", Amounts(10, 1), RunPhase.ORDERED, 0.0)


class StubPool:
    """Give the same answer to every call."""

    def __init__(self, status, body):
        self._answer = HttpAnswer(status, {}, body)

    def request(self, *args, **options):
        return self._answer


def _start(status, body):
    client = WorkerClient("w1", "a:1", StubPool(status, body))
    return client.start(RUN, "text", 50.0, 3)


@pytest.mark.parametrize(
    "body", [b"", b"busy", b"[]", b"null", b"7", b'{"reason":[]}', b'{"reason":{}}']
)
def test_refusal_without_a_valid_reason(body):
    """Guards against a task that waits for ever after a decoding error."""
    assert _start(409, body) == StartOutcome.REFUSED


def test_refusal_with_a_reason():
    assert _start(409, b'{"clock_ms":1,"reason":"room"}') == StartOutcome.NO_ROOM


@pytest.mark.parametrize(("count", "has_more"), [(0, False), (499, False), (500, True)])
def test_list_of_maximum_length_may_be_incomplete(count, has_more):
    """Guards against a run that seems to have ended without an outcome.

    A worker lists at most 500 ended runs. A list of that length may lack others, and
    these are not among the running ones either.
    """
    ends = [[number, f"{'f' * 16}.0.0.0", 1, "done", ""] for number in range(count)]
    body = json.dumps({"clock_ms": 5, "running": [], "finished": ends}).encode()
    report = WorkerClient("w1", "a:1", StubPool(200, body)).renew(3, 0)
    assert (len(report.ends), report.has_more_ends) == (count, has_more)


WRONG_STARTS = ["1796350025509", 1796350025509.5, True, [1], {"ms": 1}]


@pytest.mark.parametrize("born", WRONG_STARTS)
def test_report_with_an_invalid_start_time_counts_as_no_answer(born):
    """Guards against an owner that ends, as it compares such a time."""
    body = {"clock_ms": 5, "born": born, "running": [], "finished": []}
    client = WorkerClient("w1", "a:1", StubPool(200, json.dumps(body).encode()))
    with pytest.raises(WorkerSilent):
        client.renew(3, 0)


@pytest.mark.parametrize(
    ("born", "is_valid"), [(None, True), (1, True), *[(x, False) for x in WRONG_STARTS]]
)
def test_entry_with_an_invalid_start_time_names_no_worker(born, is_valid):
    """Guards against an owner that ends, as it compares such a time."""
    entry = {
        "service": "pool",
        "address": "w1:1",
        "zone": "z",
        "state": "ready",
        "capacity": {"cpu": 4000, "mem_mb": 4000},
        "born": born,
    }
    assert (decode_registration("w1", entry) is not None) == is_valid
