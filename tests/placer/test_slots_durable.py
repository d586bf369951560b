"""The slot of a journaled request is released with the right outcome."""

import random
from concurrent.futures import Future
from types import SimpleNamespace

import pytest

from papayapick.bundle.documents import ServicePolicy
from papayapick.clients import AnswerMissing, NotSent, StaleEpoch
from papayapick.clients.http import HttpAnswer
from papayapick.clock import ManualClock
from papayapick.journal import Accepted, WorkIndex
from papayapick.placer.requests import RequestRunner
from papayapick.routing import Grant
from papayapick.wire.messages import SlotGrant


class FakeJournal:
    """Apply each record at once."""

    def __init__(self, work_index):
        self.work_index = work_index

    def append(self, record, must_persist=False):
        self.work_index.apply(record)
        written = Future()
        written.set_result(True)
        return SimpleNamespace(written=written, settled=written)


class Bench:
    def __init__(self, step):
        self.released = []
        self.step = step
        clock = ManualClock()
        policy = ServicePolicy("counts", "urgent", False, run_seconds=5)
        bundle = SimpleNamespace(services={"counts": policy})
        process = SimpleNamespace(
            clock=clock,
            generator=random.Random(1),
            objects=None,
            watcher=SimpleNamespace(bundle=bundle),
        )
        work_index = WorkIndex()
        work_index.apply(
            Accepted(
                request_id="r1",
                work="request",
                name="counts",
                caller="ana",
                payload="",
                payload_object="",
                payload_digest="",
                deadline=100.0,
                repeatable=False,
                job=None,
            )
        )
        self.shard = SimpleNamespace(is_closed=False, journal=FakeJournal(work_index))
        self.item = work_index.get("r1")
        desk = SimpleNamespace(
            enqueue=lambda *arguments: None, answer_waiters=lambda item: None
        )
        self.runner = RequestRunner(process, self, self, desk)

    def acquire(self, policy, request_id, wait_seconds):
        granted = SlotGrant(grant_id=1, shard="a.0", epoch=1, instance="i", url="u")
        return Grant(granted, None, 10.0, "counts")

    def release(self, grant, outcome, seconds):
        self.released.append(outcome)

    def call(self, url, request_id, epoch, payload, seconds):
        if isinstance(self.step, Exception):
            raise self.step
        status, headers = self.step
        return HttpAnswer(status, headers, b"")


@pytest.mark.parametrize(
    ("step", "released"),
    [
        ((200, {}), "done"),
        ((200, {"Leaving": "1"}), "leaving"),
        ((500, {}), "failed"),
        (AnswerMissing(url="u"), "unknown"),
        (NotSent(url="u"), "failed"),
        (StaleEpoch(target="u", epoch=1), "unused"),
        (ZeroDivisionError(), "unknown"),
    ],
    ids=lambda step: str(step),
)
def test_slot_of_a_journaled_request_is_not_freed_too_early(step, released):
    """Guards against a slot that is freed while its run may still be in progress.

    If the backend server does not answer, the run may continue, and a second
    request in its slot would overload the server. A server that announces that it
    leaves must get no more work of any kind.
    """
    bench = Bench(step)
    if isinstance(step, ZeroDivisionError):
        with pytest.raises(ZeroDivisionError):
            bench.runner.run(bench.shard, bench.item)
    else:
        bench.runner.run(bench.shard, bench.item)
    assert bench.released == [released]
