"""What workers answer to orders, whoever speaks for them."""

import json

import pytest

from papayapick.clients.http import HttpAnswer
from papayapick.jobs import Run, RunPhase, TaskKey
from papayapick.ledger import Amounts
from papayapick.platform.workers import WorkerClient
from papayapick.pool.reports import StartOutcome

RUN = Run(TaskKey("f" * 16, 0, 0, 0), 1, "w1", Amounts(10, 1), RunPhase.ORDERED, 0.0)


class Answering:
    """Give one answer to every call."""

    def __init__(self, status, body):
        self._answer = HttpAnswer(status, {}, body)

    def request(self, *args, **options):
        return self._answer


def _start(status, body):
    client = WorkerClient("w1", "a:1", Answering(status, body))
    return client.start(RUN, "text", 50.0, 3)


@pytest.mark.parametrize(
    "body", [b"", b"busy", b"[]", b"null", b"7", b'{"reason":[]}', b'{"reason":{}}']
)
def test_refusal_without_a_reason_that_can_be_read(body):
    """Guards against a task that waits for ever: reading the refusal failed."""
    assert _start(409, body) == StartOutcome.REFUSED


def test_refusal_with_a_reason():
    assert _start(409, b'{"clock_ms":1,"reason":"room"}') == StartOutcome.NO_ROOM


@pytest.mark.parametrize(("count", "has_more"), [(0, False), (499, False), (500, True)])
def test_list_of_as_many_ends_as_there_may_be_is_taken_for_cut(count, has_more):
    """Guards against a run that seems to be over without an end."""
    ends = [[number, f"{'f' * 16}.0.0.0", 1, "done", ""] for number in range(count)]
    body = json.dumps({"clock_ms": 5, "running": [], "finished": ends}).encode()
    report = WorkerClient("w1", "a:1", Answering(200, body)).renew(3, 0)
    assert (len(report.ends), report.has_more_ends) == (count, has_more)
