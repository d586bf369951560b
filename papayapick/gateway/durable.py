"""Submit durable work to the owner of its shard, and query and cancel it."""

import base64
import json

from papayapick.gateway.problems import Answer, problem
from papayapick.gateway.submission import (
    ANSWER_SECONDS,
    NEW_OWNER_RETRY_SECONDS,
    NEW_OWNER_TIMEOUT_SECONDS,
    Submission,
)
from papayapick.journal import WorkUnknown
from papayapick.membership import ShardUnserved
from papayapick.routing import indicates_new_owner
from papayapick.wire import PeerRefused, PeerUnreachable
from papayapick.wire.messages import WorkCancel, WorkQuery

__all__ = ["DurableWork"]

_PATH = "/v1/requests/"
ENDED = "ended"
_SHOWN_CHARACTERS = 128
_PROBLEM_CODES = {
    "failed": "call.backend-failed",
    "unknown": "call.answer-missing",
    "not_run": "work.not-run",
}


class DurableWork:
    """Submit, query and cancel work through its shard's owner.

    Parameters
    ----------
    process : Process
    """

    __slots__ = ("_process",)

    def __init__(self, process):
        self._process = process

    def submit(self, admitted, is_keyed=True):
        """Submit work; answer 202, or with the result if the work is urgent.

        Parameters
        ----------
        admitted : AdmittedRequest
        is_keyed : bool
            Whether the caller sent an idempotency key, so that an earlier request
            may have had the same id.

        Returns
        -------
        Answer
        """
        is_urgent = admitted.policy.urgency == "urgent"
        wait = admitted.timeout if is_urgent else 0.0
        submission = Submission(self._process, admitted, wait, is_keyed)
        state = submission.submit()
        location = [("Location", _PATH + admitted.request_id)]
        if state.state != ENDED:
            body = {"request": state.request_id, "state": state.state}
            return Answer.from_json(202, body, location, "accepted")
        if not is_urgent:
            return self._state_answer(state, location, status=202)
        return self._result_answer(state, location)

    def query(self, request_id):
        """Return the state of a request, and its result once it has ended."""
        shard = self._shard_from_id(request_id)
        message = WorkQuery(shard=shard, request_id=request_id)
        return self._state_answer(self._request_owner(message, ANSWER_SECONDS))

    def cancel(self, request_id):
        """Cancel a request; return its state, which shows whether it had started."""
        shard = self._shard_from_id(request_id)
        message = WorkCancel(shard=shard, request_id=request_id)
        return self._state_answer(self._request_owner(message, ANSWER_SECONDS))

    def _request_owner(self, message, seconds):
        clock = self._process.clock
        traceparent = self._process.tracing.traceparent()
        deadline = clock.monotonic() + NEW_OWNER_TIMEOUT_SECONDS
        while True:
            try:
                peer = self._process.peers.owner_of(message.shard)
                return peer.client.ask(message, seconds, traceparent)
            except (ShardUnserved, PeerUnreachable):
                if clock.monotonic() >= deadline:
                    raise
            except PeerRefused as error:
                if not indicates_new_owner(error) or clock.monotonic() >= deadline:
                    raise
            clock.wait(self._process.stop_event, NEW_OWNER_RETRY_SECONDS)

    def _shard_from_id(self, request_id):
        shard = request_id.rpartition(".")[0]
        if shard not in self._process.watcher.bundle.shards():
            raise WorkUnknown(request_id=request_id[:_SHOWN_CHARACTERS])
        return shard

    @staticmethod
    def _result_answer(state, location):
        if state.outcome == "done":
            return Answer(state.status, state.content_type, state.result, location)
        error = PeerRefused(
            refusal_code=_PROBLEM_CODES[state.outcome],
            detail=state.detail or state.outcome,
            outcome=state.outcome,
            retry_after=1.0 if state.outcome == "not_run" else 0,
        )
        answer = problem(error, state.request_id)
        answer.headers += location
        return answer

    @staticmethod
    def _state_answer(state, headers=(), status=200):
        body = {"request": state.request_id, "state": state.state}
        if state.state == ENDED:
            body["outcome"] = state.outcome
            if state.detail:
                body["detail"] = state.detail
            if state.status:
                body["status"] = state.status
                body["content_type"] = state.content_type
                body.update(_result_of(state))
        outcome = body.get("outcome", state.state)
        return Answer.from_json(status, body, headers, outcome)


def _result_of(state):
    try:
        return {"result": json.loads(state.result)}
    except ValueError:
        return {"result_base64": base64.b64encode(state.result).decode()}
