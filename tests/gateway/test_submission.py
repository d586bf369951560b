"""Durable work reaches the owner of its shard, even during a handover."""

from concurrent.futures import Future
from types import SimpleNamespace

import pytest

from papayapick.clock import ManualClock
from papayapick.gateway.submission import NEW_OWNER_TIMEOUT_SECONDS, Submission
from papayapick.wire import PeerDisconnected, PeerRefused, PeerTimeout
from papayapick.wire.messages import WorkState


class FakeClient:
    """Answer calls from a script, repeating its last entry."""

    address = ("127.0.0.1", 7000)

    def __init__(self, *script):
        self._script = list(script)
        self.calls = 0

    def call(self, payload, traceparent=""):
        self.calls += 1
        found = self._script.pop(0) if len(self._script) > 1 else self._script[0]
        future = Future()
        if isinstance(found, Exception):
            future.set_exception(found)
        else:
            future.set_result(found)
        return future


class SteppingClock(ManualClock):
    """Advance the time of each wait immediately."""

    def wait(self, event, seconds):
        self.advance(seconds)


def submission(client):
    clock = SteppingClock()
    process = SimpleNamespace(
        clock=clock,
        stop_event=None,
        peers=SimpleNamespace(owner_of=lambda shard: SimpleNamespace(client=client)),
        tracing=SimpleNamespace(traceparent=lambda: ""),
    )
    admitted = SimpleNamespace(
        shard="hobart-a.0",
        request_id="hobart-a.0.r",
        job=None,
        name="heatmap-refresh",
        caller="c",
        payload=b"{}",
        timeout=5.0,
    )
    return Submission(process, admitted, wait=0.0, is_keyed=False)


def relayed(code):
    return PeerRefused(refusal_code=code, detail="", outcome="unknown", retry_after=0)


@pytest.mark.parametrize("code", [PeerDisconnected.code, PeerTimeout.code])
def test_loss_behind_a_forwarding_owner_is_retried_under_the_same_id(code):
    """A draining placer forwards work and loses the connection to its successor.

    It reports the loss as a refusal. If the gateway retried only losses on its own
    connections, the caller would get 504 with outcome unknown, although a second
    message under the same id determines the outcome from the shard's journal.
    """
    done = WorkState(request_id="hobart-a.0.r", state="waiting")
    client = FakeClient(relayed(code), done)
    assert submission(client).submit() is done
    assert client.calls == 2


def test_loss_behind_a_forwarding_owner_stays_unknown_if_retries_fail():
    client = FakeClient(relayed(PeerDisconnected.code))
    with pytest.raises(PeerRefused) as raised:
        submission(client).submit()
    assert raised.value.outcome == "unknown"
    assert client.calls > NEW_OWNER_TIMEOUT_SECONDS


def test_refusal_after_a_forwarded_loss_is_not_reported_as_not_run():
    """The lost message may still be processed after the one that was refused."""
    refusal = PeerRefused(
        refusal_code="placer.waiting-full", detail="", outcome="not_run", retry_after=1
    )
    with pytest.raises(PeerRefused) as raised:
        submission(FakeClient(relayed(PeerDisconnected.code), refusal)).submit()
    assert raised.value.outcome == "unknown"
