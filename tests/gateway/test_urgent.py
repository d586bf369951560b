"""Urgent requests are retried within budget and deadline, with correct outcomes."""

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
from papayapick.routing import DeadlineExceeded, Grant
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
    """Answer calls from a script and advance the clock by each call's duration."""

    def __init__(self, clock):
        self.clock = clock
        self.script = []
        self.time_limits = []

    def call(self, url, request_id, epoch, payload, seconds, traceparent, fresh):
        self.time_limits.append(seconds)
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
def test_answer_and_slot_outcomes_are_correct_over_all_attempts(
    script, error, released
):
    """An attempt fails and the next one ends differently.

    The outcome must hold for all attempts together: "not run" would be wrong after
    an attempt that may have run. The slot of a call without an answer must not be
    released as free.
    """
    bench = Bench()
    if error is None:
        assert bench.serve(*script).body == b"counts"
    else:
        with pytest.raises(error):
            bench.serve(*script)
    assert bench.slots.released == released


def test_no_slot_for_the_retry_keeps_the_unknown_outcome():
    """The first attempt gets no answer; the second gets no slot.

    The refusal of the slot has the outcome "not run", but the first attempt may
    have run.
    """
    bench = Bench()
    bench.slots.refuse_after = 1
    with pytest.raises(CallAnswerMissing) as caught:
        bench.serve("silent")
    assert caught.value.outcome == "unknown"


def test_unresponsive_server_leaves_time_for_another_attempt():
    """A backend server doesn't answer.

    The attempt must end while another server can still answer before the
    caller's deadline.
    """
    bench = Bench(timeout=2.0)
    assert bench.serve("silent").body == b"counts"
    assert bench.instances.time_limits[0] <= 1.0
    assert bench.clock.monotonic() < 2.0
    assert bench.slots.avoided == [[], ["i1"]]


def test_last_attempt_may_use_all_remaining_time():
    """Without a further retry, a shorter time limit would only lose slow answers."""
    bench = Bench(retries=0)
    bench.serve("good")
    assert bench.instances.time_limits == [2.0]


def test_time_limit_of_first_attempts_adapts_to_slow_requests():
    """One of ten requests legitimately takes five times as long as the others.

    If its first attempt always timed out, it would be sent twice, and both runs
    would load the servers. A limit derived from complete answers only would never
    adapt.
    """
    bench = Bench()
    bench.calls._budgets = RetryBudgets(ratio=1.0, reserve=100.0)
    timeouts = []
    for number in range(400):
        is_slow = number > 50 and number % 10 == 0
        script = [0.5 if is_slow else 0.1, 0.1]
        bench.serve(*script)
        timeouts.append(bench.slots.released[-2:].count("unknown"))
    assert sum(timeouts[:200]) > 0
    assert sum(timeouts[200:]) == 0


def test_exhausted_budget_ends_retries():
    """Every backend server fails.

    Retrying every request would double the load during the failure. The budget
    limits retries to a tenth of the requests, and without a retry left an attempt
    gets no shorter time limit either.
    """
    bench = Bench()
    sent = 0
    for _ in range(100):
        with pytest.raises(BackendFailed):
            bench.serve("error", "error")
        sent = len(bench.instances.time_limits)
    assert sent <= 112
    assert bench.instances.time_limits[-1] == 2.0


def test_non_repeatable_work_is_not_sent_twice():
    """A server doesn't answer a request that is not repeatable.

    The request may have run, so sending it again could run it twice. A request
    that was never sent may be retried.
    """
    bench = Bench(repeatable=False)
    with pytest.raises(CallAnswerMissing):
        bench.serve("cut", "good")
    assert len(bench.instances.time_limits) == 1
    assert Bench(repeatable=False).serve("down", "good").body == b"counts"


def test_change_of_a_shards_owner_consumes_no_retries():
    """A placer is replaced under load, and its slots are refused as stale.

    This affects hundreds of requests within half a second. Counted as retries,
    they would exhaust the budget, and callers would get 503 although every server
    is healthy.
    """
    bench = Bench(retries=0)
    for _ in range(50):
        assert bench.serve("stale", "stale", "good").body == b"counts"
    assert bench.slots.released[:3] == ["stale", "stale", "done"]
    with pytest.raises(StaleEpoch):
        bench.serve(*["stale"] * 9)


def test_no_retry_past_the_deadline():
    """A server fails to answer completely before the deadline.

    A further attempt would take a slot from requests whose callers still wait.
    """
    bench = Bench(timeout=1.0, retries=3)
    with pytest.raises(CallAnswerMissing):
        bench.serve("late", "good")
    assert len(bench.slots.avoided) == 1


def test_slot_after_the_deadline_is_not_used():
    """The slot is granted after the deadline, when no caller waits for the result."""
    bench = Bench(timeout=1.0, retries=0)
    bench.slots.delay = 1.0
    with pytest.raises(DeadlineExceeded):
        bench.serve("good")
    assert bench.instances.time_limits == []
    assert bench.slots.released == ["unused"]
