"""Retry urgent requests as far as budget, deadline and truth allow."""

import threading
from contextlib import nullcontext
from types import SimpleNamespace

import pytest

from papayapick.bundle.documents import ServicePolicy
from papayapick.clients import AnswerMissing, NotSent, StaleEpoch
from papayapick.clients.http import HttpAnswer
from papayapick.clock import ManualClock
from papayapick.gateway.exceptions import BackendFailed, CallAnswerMissing
from papayapick.gateway.urgent import UrgentCalls
from papayapick.limits import AttemptTimeouts, RetryBudgets
from papayapick.routing import DeadlineOver, Grant
from papayapick.wire import PeerRefused
from papayapick.wire.messages import SlotGrant


class FakeSlots:
    def __init__(self, clock):
        self.clock = clock
        self.avoided = []
        self.released = []
        self.refuse_after = None
        self.delay = 0.0

    def acquire(self, policy, request_id, wait, caller, avoid, traceparent):
        if self.refuse_after is not None and len(self.avoided) >= self.refuse_after:
            raise PeerRefused(
                refusal_code="placer.wait-over",
                detail="",
                outcome="not_run",
                retry_after=0.2,
            )
        self.avoided.append(list(avoid))
        self.clock.advance(self.delay)
        granted = SlotGrant(
            grant_id=1, shard="a.0", epoch=1, instance=f"i{len(self.avoided)}", url="u"
        )
        return Grant(granted, None, self.clock.monotonic() + 0.5, policy.name)

    def release(self, grant, outcome, seconds):
        self.released.append(outcome)


class FakeInstances:
    """Gives the answers of a script, in turn; each takes its time."""

    def __init__(self, clock):
        self.clock = clock
        self.script = []
        self.given = []

    def call(self, url, request_id, epoch, payload, seconds, traceparent, once):
        self.given.append(seconds)
        step = self.script.pop(0) if self.script else "good"
        if step == "silent":
            self.clock.advance(seconds)
            raise AnswerMissing(url=url)
        if isinstance(step, float):
            self.clock.advance(min(step, seconds))
            if step > seconds:
                raise AnswerMissing(url=url)
        if step == "late":
            self.clock.advance(5.0)
            raise AnswerMissing(url=url)
        if step == "cut":
            raise AnswerMissing(url=url)
        if step == "down":
            raise NotSent(url=url)
        if step == "stale":
            raise StaleEpoch(target=url, epoch=epoch)
        if step == "error":
            return HttpAnswer(500, {}, b"")
        if step == "leaves":
            return HttpAnswer(503, {"Leaving": "1"}, b"")
        return HttpAnswer(200, {"Content-Type": "text/plain"}, b"counts")


class Bench:
    def __init__(self, retries=1, timeout=2.0, repeatable=True):
        self.clock = ManualClock()
        self.slots = FakeSlots(self.clock)
        self.instances = FakeInstances(self.clock)
        tracing = SimpleNamespace(
            span=lambda name: nullcontext(), traceparent=lambda: ""
        )
        observer = SimpleNamespace(observe=lambda seconds: None)
        stopping = threading.Event()
        stopping.set()
        process = SimpleNamespace(
            clock=self.clock,
            tracing=tracing,
            stop_event=stopping,
            metrics=SimpleNamespace(
                wait_seconds=SimpleNamespace(labels=lambda name: observer)
            ),
        )
        self.budgets = RetryBudgets(ratio=0.1, reserve=2.0)
        self.calls = UrgentCalls(
            process, self.slots, self.instances, self.budgets, AttemptTimeouts()
        )
        policy = ServicePolicy("counts", "urgent", repeatable, retries=retries)
        self.admitted = SimpleNamespace(
            policy=policy,
            name="counts",
            request_id="r1",
            caller="ana",
            payload=b"",
            timeout=timeout,
        )

    def serve(self, *script):
        self.instances.script = list(script)
        return self.calls.serve(self.admitted)


OUTCOMES = [
    ("whole answer", ["good"], None, ["done"]),
    ("silent, then good", ["silent", "good"], None, ["unknown", "done"]),
    ("down, then good", ["down", "good"], None, ["failed", "done"]),
    ("error, then good", ["error", "good"], None, ["failed", "done"]),
    ("leaves, then good", ["leaves", "good"], None, ["leaving", "done"]),
    ("errors", ["error", "error"], BackendFailed, ["failed", "failed"]),
    ("cut, then down", ["cut", "down"], CallAnswerMissing, ["unknown", "failed"]),
    ("error, then down", ["error", "down"], BackendFailed, ["failed", "failed"]),
    ("cut, then error", ["cut", "error"], CallAnswerMissing, ["unknown", "failed"]),
    ("error, then cut", ["error", "cut"], CallAnswerMissing, ["failed", "unknown"]),
    ("down twice", ["down", "down"], NotSent, ["failed", "failed"]),
]


@pytest.mark.parametrize(
    ("script", "error", "released"),
    [row[1:] for row in OUTCOMES],
    ids=[row[0] for row in OUTCOMES],
)
def test_answer_and_slot_tell_the_truth(script, error, released):
    """A try fails and the next ends otherwise.

    What the caller hears must hold for all tries together: "not run" after a
    try that may have run is a lie. The slot of a call without an answer must
    not be told free.
    """
    bench = Bench()
    if error is None:
        assert bench.serve(*script).body == b"counts"
    else:
        with pytest.raises(error):
            bench.serve(*script)
    assert bench.slots.released == released


def test_no_slot_for_the_retry_keeps_the_unknown_outcome():
    """The first try gets no answer; for the second there is no slot.

    The refusal of the slot says "not run", but the first try may have run.
    """
    bench = Bench()
    bench.slots.refuse_after = 1
    with pytest.raises(CallAnswerMissing) as caught:
        bench.serve("silent")
    assert caught.value.outcome == "unknown"


def test_silent_server_leaves_time_for_another():
    """A backend server is silent, and the caller waits for its whole deadline.

    The try must end while another server can still answer in time.
    """
    bench = Bench(timeout=2.0)
    assert bench.serve("silent").body == b"counts"
    assert bench.instances.given[0] <= 1.0
    assert bench.clock.monotonic() < 2.0
    assert bench.slots.avoided == [[], ["i1"]]


def test_last_try_has_all_the_time():
    """Without a retry to follow, cutting a slow answer short only loses it."""
    bench = Bench(retries=0)
    bench.serve("good")
    assert bench.instances.given == [2.0]


def test_limit_of_first_tries_does_not_cut_the_same_share_for_ever():
    """One of ten requests rightly takes five times as long as the others.

    Cut each time, it is sent twice, and both runs load the servers. Looking
    at whole answers only, the limit would never learn that it is too short.
    """
    bench = Bench()
    bench.calls._budgets = RetryBudgets(ratio=1.0, reserve=100.0)
    cut = []
    for number in range(400):
        is_slow = number > 50 and number % 10 == 0
        script = [0.5 if is_slow else 0.1, 0.1]
        bench.serve(*script)
        cut.append(bench.slots.released[-2:].count("unknown"))
    assert sum(cut[:200]) > 0
    assert sum(cut[200:]) == 0


def test_empty_budget_ends_retries():
    """Every backend server fails, and each request is sent twice.

    The retries double the load just when it hurts; the budget bounds them to a
    tenth, and without one left a try is not cut short either.
    """
    bench = Bench()
    sent = 0
    for _ in range(100):
        with pytest.raises(BackendFailed):
            bench.serve("error", "error")
        sent = len(bench.instances.given)
    assert sent <= 112
    assert bench.instances.given[-1] == 2.0


def test_work_not_to_be_repeated_is_not_sent_twice():
    """A server gives no answer to work that is not to be repeated.

    It may have run; a second send could run it twice. What was never sent may
    be tried again.
    """
    bench = Bench(repeatable=False)
    with pytest.raises(CallAnswerMissing):
        bench.serve("cut", "good")
    assert len(bench.instances.given) == 1
    assert Bench(repeatable=False).serve("down", "good").body == b"counts"


def test_shard_that_changes_hands_costs_no_retries():
    """A placer is replaced under load; its slots are refused as stale.

    Hundreds of requests meet that in half a second. As retries they used up
    the budget, and callers heard 503 though every server was well.
    """
    bench = Bench(retries=0)
    for _ in range(50):
        assert bench.serve("stale", "stale", "good").body == b"counts"
    assert bench.slots.released[:3] == ["stale", "stale", "done"]
    with pytest.raises(StaleEpoch):
        bench.serve(*["stale"] * 9)


def test_no_retry_past_the_deadline():
    """A server answers after the deadline, in part; the caller has gone.

    A further try would take a slot from requests that are still waited for.
    """
    bench = Bench(timeout=1.0, retries=3)
    with pytest.raises(CallAnswerMissing):
        bench.serve("late", "good")
    assert len(bench.slots.avoided) == 1


def test_slot_after_the_deadline_is_not_used():
    """The slot comes when the caller has gone; the work would run for nobody."""
    bench = Bench(timeout=1.0, retries=0)
    bench.slots.delay = 1.0
    with pytest.raises(DeadlineOver):
        bench.serve("good")
    assert bench.instances.given == []
    assert bench.slots.released == ["unused"]
