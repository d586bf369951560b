"""Serve urgent repeatable requests: a slot, a call, the whole answer."""

from papayapick.gateway.exceptions import (
    BackendFailed,
    CallAnswerMissing,
    DeadlinePast,
)
from papayapick.gateway.problems import Answer
from papayapick.observability import note_fields
from papayapick.platforms import (
    AnswerInvalid,
    AnswerMissing,
    NotSent,
    StaleEpoch,
)
from papayapick.routing import GrantExpired
from papayapick.wire import PeerRefused, WireError

__all__ = ["UrgentCalls"]

_SERVER_ERROR = 500
_MOVED = "ownership."
_SLOT_TRIES = 4
_MOVED_WAIT_SECONDS = 0.02
_SLOT_SHARE = 0.8


class UrgentCalls:
    """Call backend servers on behalf of callers.

    Parameters
    ----------
    process : Process
    slots : SlotClient
    instances : InstanceClient
    budget : RetryBudget
    """

    __slots__ = ("_budget", "_instances", "_process", "_slots")

    def __init__(self, process, slots, instances, budget):
        self._process = process
        self._slots = slots
        self._instances = instances
        self._budget = budget

    def serve(self, admitted):
        """Return the whole answer to one request.

        Parameters
        ----------
        admitted : Admitted

        Returns
        -------
        Answer

        Raises
        ------
        PapayapickError
            ``outcome`` tells what became of the work.
        """
        clock = self._process.clock
        arrived = clock.monotonic()
        deadline = arrived + admitted.timeout
        avoid = []
        self._budget.earn()
        for attempt in range(1 + admitted.policy.retries):
            try:
                return self._attempt(admitted, arrived, deadline, avoid)
            except (NotSent, StaleEpoch, GrantExpired) as error:
                last = error
            except (AnswerMissing, AnswerInvalid) as error:
                last = CallAnswerMissing()
                last.__cause__ = error
            except BackendFailed as error:
                last = error
            is_last = attempt == admitted.policy.retries
            if is_last or clock.monotonic() >= deadline or not self._budget.spend():
                break
        raise last

    def _attempt(self, admitted, arrived, deadline, avoid):
        tracing = self._process.tracing
        with tracing.span("gateway.slot"):
            grant = self._slot(admitted, deadline, avoid)
        note_fields(shard=grant.granted.shard, epoch=grant.granted.epoch)
        clock = self._process.clock
        began = clock.monotonic()
        self._process.metrics.wait_seconds.labels(admitted.name).observe(
            began - arrived
        )
        outcome = "unused"
        try:
            grant.check_usable(began)
            if began >= deadline:
                raise DeadlinePast()
            avoid.append(grant.granted.instance)
            outcome = "failed"
            with tracing.span("gateway.call"):
                answer = self._instances.call(
                    grant.granted.url,
                    admitted.request_id,
                    grant.granted.epoch,
                    admitted.payload,
                    min(deadline - began, admitted.policy.run_seconds),
                    tracing.traceparent(),
                    once=False,
                )
            if answer.status >= _SERVER_ERROR:
                raise BackendFailed(status=answer.status)
            outcome = "done"
        finally:
            self._slots.release(grant, outcome, clock.monotonic() - began)
        kind = answer.headers.get("Content-Type", "application/octet-stream")
        return Answer(answer.status, kind, answer.body)

    def _slot(self, admitted, deadline, avoid):
        clock = self._process.clock
        tracing = self._process.tracing
        for number in range(_SLOT_TRIES):
            rest = deadline - clock.monotonic()
            try:
                return self._slots.acquire(
                    admitted.policy,
                    admitted.request_id,
                    max(0.0, rest * _SLOT_SHARE),
                    admitted.caller,
                    avoid,
                    tracing.traceparent(),
                )
            except PeerRefused as error:
                if number + 1 == _SLOT_TRIES or not self._has_moved(error):
                    raise
            except WireError:
                # A slot that was given and not heard of is found by the
                # placer's sweep; nothing ran.
                if number + 1 == _SLOT_TRIES:
                    raise
            clock.wait(self._process.is_stopping, _MOVED_WAIT_SECONDS)
        raise DeadlinePast()

    @staticmethod
    def _has_moved(error):
        code = error.refusal_code
        return code.startswith(_MOVED) or code == "placer.shard-closed"
