"""Submit durable work to the current owner of its shard."""

import json
from concurrent.futures import TimeoutError as FutureTimeout

from papayapick.clients.objects import digest_of
from papayapick.gateway.exceptions import OwnerMissing
from papayapick.membership import ShardUnserved
from papayapick.routing import indicates_new_owner
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
    "NEW_OWNER_RETRY_SECONDS",
    "NEW_OWNER_TIMEOUT_SECONDS",
    "Submission",
]

ANSWER_SECONDS = 1.5
# Longer than two heartbeats across the link between regions, after which a gateway
# of the other region knows a new owner.
NEW_OWNER_TIMEOUT_SECONDS = 4.5
NEW_OWNER_RETRY_SECONDS = 0.05
_POLL_SECONDS = 0.25
_WORK_MOVED = "placer.work-moved"
# A draining owner forwards work and reports a lost connection to its successor as a
# refusal. The submission is retried, which determines the outcome; passing the refusal
# on would give the caller a 504 with outcome unknown.
_RELAYED_LOSS_CODES = (PeerDisconnected.code, PeerTimeout.code)
_WAITING = "waiting"
_NOT_RUN = "not_run"


class Submission:
    """Submit work until an owner of its shard has reported the state.

    The same work may be submitted repeatedly under the same id, because the
    journal of the shard accepts it once. A placer that dies, is paused or hands
    its shard over during a submission therefore delays the answer but doesn't
    make it wrong.

    Parameters
    ----------
    process : Process
    admitted : AdmittedRequest
    wait : float
        Seconds that the caller waits for the outcome; 0 for deferred work.
    is_keyed : bool
        Whether the caller sent an idempotency key, so that an earlier request
        may have had the same id.
    """

    __slots__ = (
        "_admitted",
        "_deadline",
        "_give_up_at",
        "_is_accepted",
        "_loss",
        "_may_be_duplicate",
        "_process",
        "_wait_until",
    )

    def __init__(self, process, admitted, wait, is_keyed):
        now = process.clock.monotonic()
        self._process = process
        self._admitted = admitted
        self._deadline = process.clock.time() + admitted.timeout
        self._wait_until = now + wait
        self._give_up_at = now + (wait or NEW_OWNER_TIMEOUT_SECONDS)
        self._may_be_duplicate = is_keyed
        self._is_accepted = False
        self._loss = None

    def submit(self):
        """Submit the work and return its state as reported by the shard's owner.

        Returns
        -------
        WorkState

        Raises
        ------
        PeerRefused
            The owner refused the work, or lost the connection to the placer to which
            it forwarded the work (outcome unknown).
        PeerDisconnected, PeerTimeout, OwnerMissing
            Whether the work was accepted is unknown.
        ShardUnserved, PeerUnreachable
            The work was not accepted.
        """
        clock = self._process.clock
        while True:
            try:
                return self._submit_once()
            except (PeerDisconnected, PeerTimeout) as error:
                self._loss = error
                last = error
            except (ShardUnserved, PeerUnreachable) as error:
                last = error
            except PeerRefused as error:
                if error.refusal_code in _RELAYED_LOSS_CODES:
                    self._loss = error
                elif not indicates_new_owner(error):
                    if self._loss is not None and error.outcome == _NOT_RUN:
                        # The earlier message, whose answer was lost, may still be
                        # processed after this one and be accepted.
                        raise self._loss from error
                    raise
                self._is_accepted |= error.refusal_code == _WORK_MOVED
                last = error
            if clock.monotonic() >= self._give_up_at:
                return self._conclude_without_owner(last)
            clock.wait(self._process.stop_event, NEW_OWNER_RETRY_SECONDS)

    def _conclude_without_owner(self, last):
        request_id = self._admitted.request_id
        if self._is_accepted:
            return WorkState(request_id=request_id, state=_WAITING)
        if self._loss is not None:
            raise self._loss
        if self._may_be_duplicate:
            raise OwnerMissing(request_id=request_id) from last
        raise last

    def _submit_once(self):
        peers = self._process.peers
        shard = self._admitted.shard
        peer = peers.owner_of(shard)
        now = self._process.clock.monotonic()
        remaining = max(0.0, self._wait_until - now)
        answer = peer.client.call(
            self._message(remaining), self._process.tracing.traceparent()
        )
        give_up_at = now + remaining + ANSWER_SECONDS
        while True:
            try:
                return answer.result(_POLL_SECONDS)
            except FutureTimeout:
                is_over = self._process.clock.monotonic() >= give_up_at
                if is_over or self._has_new_owner(peer):
                    raise PeerTimeout(
                        address=peer.client.address, seconds=remaining
                    ) from None

    def _has_new_owner(self, peer):
        # A paused placer keeps its connections open without answering. Its successor
        # can answer long before the caller's wait ends.
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
