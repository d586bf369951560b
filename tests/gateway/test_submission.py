"""Durable work is brought to whoever owns its shard, also through a handover."""

from concurrent.futures import Future
from types import SimpleNamespace

import pytest

from papayapick.clock import ManualClock
from papayapick.gateway.submission import MOVED_SECONDS, Submission
from papayapick.wire import PeerDisconnected, PeerRefused, PeerTimeout
from papayapick.wire.messages import WorkState


class FakeClient:
    """Answer by a script; its last entry again and again."""

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
    """Let each wait take its time at once."""

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
def test_loss_behind_a_relay_is_asked_again_under_the_same_id(code):
    """A draining placer passes work on, and its successor goes away with it.

    The caller was told 504, outcome unknown, though the journal of the shard
    settles a second message under the same id: the loss came as the relay's
    refusal, and only a loss on the gateway's own connection was asked again.
    """
    done = WorkState(request_id="hobart-a.0.r", state="waiting")
    client = FakeClient(relayed(code), done)
    assert submission(client).settle() is done
    assert client.calls == 2


def test_loss_behind_a_relay_stays_unknown_where_nobody_settles_it():
    client = FakeClient(relayed(PeerDisconnected.code))
    with pytest.raises(PeerRefused) as raised:
        submission(client).settle()
    assert raised.value.outcome == "unknown"
    assert client.calls > MOVED_SECONDS


def test_refusal_after_a_loss_behind_a_relay_is_not_called_not_run():
    """What the relay lost may be read behind the message that was refused."""
    refusal = PeerRefused(
        refusal_code="placer.waiting-full", detail="", outcome="not_run", retry_after=1
    )
    with pytest.raises(PeerRefused) as raised:
        submission(FakeClient(relayed(PeerDisconnected.code), refusal)).settle()
    assert raised.value.outcome == "unknown"
