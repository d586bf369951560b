"""What callers are told of how many jobs of a queue have not begun."""

import json
from types import SimpleNamespace

import pytest

from papayapick.clock import ManualClock
from papayapick.entry.application import Application
from papayapick.entry.board import StateBoard
from papayapick.jobs import AdvicePolicy, Queue

QUEUE = Queue(
    "q", "h", "/q/", "pool", 0, 2, 1.5, 0.5, 3.0, False, AdvicePolicy(0.02, 0, 2.5)
)


class EntryStandIn:
    """Stand for an entry host that serves one queue."""

    def __init__(self, clock):
        self.clock = clock
        self.board = StateBoard()
        self.settings = SimpleNamespace(
            readiness_address=("127.0.0.1", 1), metrics_port=0
        )
        self.configuration = SimpleNamespace(
            version=1,
            wait_for_first=lambda seconds: SimpleNamespace(
                find=lambda name, path: QUEUE
            ),
        )
        self.store_health = SimpleNamespace(
            shown_age=lambda: None, told_age=lambda: 0.0
        )


@pytest.fixture
def clock():
    return ManualClock(100.0)


@pytest.fixture
def host(clock):
    return EntryStandIn(clock)


def count(host):
    """Ask for the count of the queue; return status, headers and body."""
    answers = []
    environ = {
        "SERVER_PORT": "2",
        "REQUEST_METHOD": "GET",
        "HTTP_HOST": "h",
        "PATH_INFO": "/q/",
    }
    (body,) = Application(host)(
        environ, lambda status, headers: answers.append((status, dict(headers)))
    )
    ((status, headers),) = answers
    return status, headers, json.loads(body)


def test_host_that_was_told_nothing_of_a_pool_does_not_say_that_nothing_waits(host):
    """Callers of a host that had just started were told 0 while 58 jobs waited."""
    status, headers, body = count(host)
    assert "queued_jobs" not in body
    assert status == "503 Service Unavailable"
    assert headers["Retry-After"] == "1"
