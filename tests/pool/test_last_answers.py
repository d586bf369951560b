"""The last answer of a worker that leaves reaches the owner's books."""

import json
import socketserver

import pytest

from papayapick.platform.workers import WorkerClient
from papayapick.pool.workers.liveness import LivenessCheck
from tests.clients.servers import LateReader, close_with_reset, serving
from tests.pool.owners import KEY, job, owner_with, place, report
from tests.pool.test_liveness import Machines

TASK = f"{KEY.job}.{KEY.occurrence}.{KEY.step}.{KEY.index}"
BODY = json.dumps(
    {
        "clock_ms": 50_000,
        "born": 1,
        "running": [],
        "finished": [[1, TASK, 1, "done", ""]],
    }
).encode()
HEAD = f"HTTP/1.1 200 OK\r\nContent-Length: {len(BODY)}\r\n\r\n".encode()


@pytest.fixture
def address():
    """Return the address of a worker that answers once, and exits with a reset."""
    answers = [HEAD + BODY]

    class Leaving(socketserver.BaseRequestHandler):
        def handle(self):
            if answers:
                # The head and the body of a call may arrive one after the other.
                received = b""
                while not received.endswith(b"}"):
                    received += self.request.recv(4096)
                self.request.sendall(answers.pop())
            close_with_reset(self.request)

    with serving(Leaving) as address:
        yield address


def test_end_in_the_last_answer_before_a_reset_is_not_placed_again(address):
    """Guards against a second run of a task that was done as its worker left."""
    host, owner = owner_with(job())
    owner.rooms.get("w2").is_open = False
    (run,) = place(owner)
    owner.rooms.get("w2").is_open = True
    host.clock.advance(0.1)
    link = report(owner, "w1", runs=[run.name])
    owner.ownership_status.note_confirmed(host.clock.monotonic())
    link.client = WorkerClient("w1", address, LateReader(5.0))
    for _ in range(2):
        host.clock.advance(0.1)
        link.poll_once()
    assert link.is_silent
    LivenessCheck(owner, Machines("w2", "")).check_once()
    assert place(owner) == []
    assert owner.job_registry.step_of(KEY).tasks[0].is_done
