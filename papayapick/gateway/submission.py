"""Bring one piece of durable work to whoever owns its shard."""

import json
from concurrent.futures import TimeoutError as FutureTimeout

from papayapick.clients.objects import digest_of
from papayapick.gateway.exceptions import OwnerMissing
from papayapick.membership import ShardUnserved
from papayapick.routing import has_moved
from papayapick.wire import (
    PeerDisconnected,
    PeerRefused,
    PeerTimeout,
    PeerUnreachable,
    WireError,
)
from papayapick.wire.messages import Submit, WorkState

__all__ = [
    "ANSWER_SECONDS",
    "MOVED_SECONDS",
    "MOVED_WAIT_SECONDS",
    "Submission",
]

ANSWER_SECONDS = 1.5
# Longer than two heartbeats across the link between regions, after which a
# gateway there knows of a new owner.
MOVED_SECONDS = 4.5
MOVED_WAIT_SECONDS = 0.05
_LOOK_SECONDS = 0.25
_WORK_MOVED = "placer.work-moved"
# A draining owner passes work on; what breaks behind it comes as its refusal. Told
# to the caller, that was 504 with outcome unknown, though asking again settles it.
_RELAYED_LOSSES = (PeerDisconnected.code, PeerTimeout.code)
_WAITING = "waiting"
_NOT_RUN = "not_run"


class Submission:
    """Submit work until an owner of its shard has told what became of it.

    The same work under the same id may be submitted again and again: the
    journal of the shard takes it on once. So a placer that dies, freezes or
    hands its shard over in the middle costs the caller time and not the truth.

    Parameters
    ----------
    process : Process
    admitted : Admitted
    wait : float
        Seconds that the caller waits for the outcome, 0 for deferred work.
    is_keyed : bool
        Whether an earlier request may have had the same id.
    """

    __slots__ = (
        "_admitted",
        "_deadline",
        "_give_up",
        "_is_taken_on",
        "_lost",
        "_may_be_known",
        "_process",
        "_wait_until",
    )

    def __init__(self, process, admitted, wait, is_keyed):
        now = process.clock.monotonic()
        self._process = process
        self._admitted = admitted
        self._deadline = process.clock.time() + admitted.timeout
        self._wait_until = now + wait
        self._give_up = now + (wait or MOVED_SECONDS)
        self._may_be_known = is_keyed
        self._is_taken_on = False
        self._lost = None

    def settle(self):
        """Return the state of the work as its owner tells it.

        Returns
        -------
        WorkState

        Raises
        ------
        PeerRefused
            The owner's own word, or a loss behind it (outcome unknown).
        PeerDisconnected, PeerTimeout, OwnerMissing
            Whether it was taken on is unknown.
        ShardUnserved, PeerUnreachable
            It was not taken on.
        """
        clock = self._process.clock
        while True:
            try:
                return self._submit_once()
            except (PeerDisconnected, PeerTimeout) as error:
                self._lost = error
                last = error
            except (ShardUnserved, PeerUnreachable) as error:
                last = error
            except PeerRefused as error:
                if error.refusal_code in _RELAYED_LOSSES:
                    self._lost = error
                elif not has_moved(error):
                    if self._lost is not None and error.outcome == _NOT_RUN:
                        # The message whose answer was lost may still be read
                        # behind this one and be taken on.
                        raise self._lost from error
                    raise
                self._is_taken_on |= error.refusal_code == _WORK_MOVED
                last = error
            if clock.monotonic() >= self._give_up:
                return self._without_owner(last)
            clock.wait(self._process.stop_event, MOVED_WAIT_SECONDS)

    def _without_owner(self, last):
        request_id = self._admitted.request_id
        if self._is_taken_on:
            return WorkState(request_id=request_id, state=_WAITING)
        if self._lost is not None:
            raise self._lost
        if self._may_be_known:
            raise OwnerMissing(request_id=request_id) from last
        raise last

    def _submit_once(self):
        peers = self._process.peers
        shard = self._admitted.shard
        peer = peers.owner_of(shard)
        now = self._process.clock.monotonic()
        rest = max(0.0, self._wait_until - now)
        answer = peer.client.call(
            self._message(rest), self._process.tracing.traceparent()
        )
        give_up = now + rest + ANSWER_SECONDS
        while True:
            try:
                return answer.result(_LOOK_SECONDS)
            except FutureTimeout:
                is_over = self._process.clock.monotonic() >= give_up
                if is_over or self._owner_is_another(peer):
                    raise PeerTimeout(
                        address=peer.client.address, seconds=rest
                    ) from None

    def _owner_is_another(self, peer):
        # A frozen placer keeps its connections and answers nothing; its
        # successor can tell long before the caller's wait is over.
        try:
            return self._process.peers.owner_of(self._admitted.shard) is not peer
        except (ShardUnserved, WireError):
            return False

    def _message(self, wait):
        admitted = self._admitted
        return Submit(
            shard=admitted.shard,
            request_id=admitted.request_id,
            kind="job" if admitted.job else "request",
            name=admitted.name,
            caller=admitted.caller,
            payload=b"" if admitted.job else admitted.payload,
            payload_digest=digest_of(admitted.payload),
            deadline_milliseconds=int(self._deadline * 1000),
            wait_milliseconds=int(wait * 1000),
            job=json.dumps(admitted.job) if admitted.job else "",
        )
