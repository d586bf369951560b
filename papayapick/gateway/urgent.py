"""Serve urgent repeatable requests by calling backend servers directly."""

from papayapick.clients import (
    AnswerInvalid,
    AnswerMissing,
    NotSent,
    StaleEpoch,
)
from papayapick.clients.instances import is_leaving
from papayapick.exceptions import PapayapickError
from papayapick.gateway.exceptions import BackendFailed, CallAnswerMissing
from papayapick.gateway.problems import Answer
from papayapick.observability import note_fields
from papayapick.routing import (
    DeadlineExceeded,
    GrantExpired,
    NoPlacerAnswer,
    NoRoute,
    indicates_new_owner,
)
from papayapick.wire import PeerRefused

__all__ = ["UrgentCalls"]

_SERVER_ERROR = 500
_SLOT_ATTEMPTS = 4
_NEW_OWNER_RETRY_SECONDS = 0.02
_SLOT_WAIT_SHARE = 0.8
DONE, LEAVING, FAILED = "done", "leaving", "failed"
UNKNOWN, UNUSED, STALE = "unknown", "unused", "stale"


class _RequestState:
    """Hold the state that the attempts of one request share."""

    __slots__ = ("admitted", "arrived_at", "avoid", "deadline", "error", "may_have_run")

    def __init__(self, admitted, arrived_at):
        self.admitted = admitted
        self.arrived_at = arrived_at
        self.deadline = arrived_at + admitted.timeout
        self.avoid = []
        self.error = None
        self.may_have_run = False


class UrgentCalls:
    """Call backend servers on behalf of callers.

    Parameters
    ----------
    process : Process
    slots : SlotClient
    instances : InstanceClient
    budgets : RetryBudgets
    timeouts : AttemptTimeouts
    """

    __slots__ = ("_budgets", "_instances", "_process", "_slots", "_timeouts")

    def __init__(self, process, slots, instances, budgets, timeouts):
        self._process = process
        self._slots = slots
        self._instances = instances
        self._budgets = budgets
        self._timeouts = timeouts

    def serve(self, admitted):
        """Return the complete answer to one request.

        Parameters
        ----------
        admitted : AdmittedRequest

        Returns
        -------
        Answer

        Raises
        ------
        PapayapickError
            Its ``outcome`` states the outcome of the work.
        """
        clock = self._process.clock
        state = _RequestState(admitted, clock.monotonic())
        budget = self._budgets.of(admitted.name)
        budget.earn()
        retries = admitted.policy.retries
        retries_used = void_slots = 0
        while True:
            is_last = retries_used == retries or not budget.can_retry
            try:
                return self._attempt(state, is_last)
            except (StaleEpoch, GrantExpired) as error:
                # The slot was void, so this is not counted as an attempt. It
                # happens to many requests at once while a shard changes its
                # owner, and would exhaust the retry budget.
                self._note_error(state, error)
                void_slots += 1
                if self._may_replace_slot(state, void_slots):
                    continue
                break
            except NotSent as error:
                self._note_error(state, error)
            except (AnswerMissing, AnswerInvalid) as error:
                missing = CallAnswerMissing()
                missing.__cause__ = error
                state.may_have_run = True
                self._note_error(state, missing)
            except BackendFailed as error:
                state.may_have_run = True
                self._note_error(state, error)
            except PapayapickError as error:
                # No slot for this attempt; the effect of earlier ones remains.
                self._note_error(state, error)
                break
            if state.may_have_run and not admitted.policy.repeatable:
                break
            if retries_used == retries or clock.monotonic() >= state.deadline:
                break
            if not budget.spend():
                break
            retries_used += 1
        raise state.error

    def _may_replace_slot(self, state, void_slots):
        clock = self._process.clock
        clock.wait(self._process.stop_event, _NEW_OWNER_RETRY_SECONDS)
        return void_slots < _SLOT_ATTEMPTS and clock.monotonic() < state.deadline

    @staticmethod
    def _note_error(state, error):
        """Keep the error whose outcome holds for all attempts together.

        A later attempt that was not sent must not cause the outcome "not run" for
        work that an earlier attempt may have run.
        """
        previous = state.error
        if previous is not None and getattr(previous, "outcome", "") == UNKNOWN:
            return
        outcome = getattr(error, "outcome", "not_run")
        if previous is None or outcome in (UNKNOWN, FAILED) or not state.may_have_run:
            state.error = error

    def _attempt(self, state, is_last):
        admitted = state.admitted
        tracing = self._process.tracing
        with tracing.span("gateway.slot"):
            grant = self._acquire_slot(state)
        note_fields(shard=grant.granted.shard, epoch=grant.granted.epoch)
        clock = self._process.clock
        started_at = clock.monotonic()
        self._process.metrics.wait_seconds.labels(admitted.name).observe(
            started_at - state.arrived_at
        )
        outcome = UNUSED
        try:
            grant.check_usable(started_at)
            if started_at >= state.deadline:
                raise DeadlineExceeded(service=admitted.name)
            state.avoid.append(grant.granted.instance)
            seconds = self._attempt_seconds(state, is_last, started_at)
            with tracing.span("gateway.call"):
                outcome, answer = self._call(grant.granted, admitted, seconds)
        except (NotSent, BackendFailed):
            outcome = FAILED
            raise
        except StaleEpoch:
            outcome = STALE
            raise
        except (AnswerMissing, AnswerInvalid):
            # The backend server may still run the call: the slot is not free yet.
            outcome = UNKNOWN
            self._timeouts.observe(admitted.name, clock.monotonic() - started_at)
            raise
        finally:
            self._slots.release(grant, outcome, clock.monotonic() - started_at)
        self._timeouts.observe(admitted.name, clock.monotonic() - started_at)
        if answer.status >= _SERVER_ERROR:
            raise BackendFailed(status=answer.status)
        kind = answer.headers.get("Content-Type", "application/octet-stream")
        return Answer(answer.status, kind, answer.body)

    def _call(self, granted, admitted, seconds):
        answer = self._instances.call(
            granted.url,
            admitted.request_id,
            granted.epoch,
            admitted.payload,
            seconds,
            self._process.tracing.traceparent(),
            fresh=False,
        )
        if is_leaving(answer):
            return LEAVING, answer
        if answer.status >= _SERVER_ERROR:
            raise BackendFailed(status=answer.status)
        return DONE, answer

    def _attempt_seconds(self, state, is_last, now):
        """Return how long one attempt may take.

        An attempt gets a shorter time limit only if another may follow: without
        a retry left, a slow answer is better than none.
        """
        policy = state.admitted.policy
        remaining = min(state.deadline - now, policy.run_seconds)
        if is_last or not policy.repeatable:
            return remaining
        return self._timeouts.first_attempt_seconds(policy.name, remaining)

    def _acquire_slot(self, state):
        admitted = state.admitted
        clock = self._process.clock
        for attempt in range(_SLOT_ATTEMPTS):
            remaining = state.deadline - clock.monotonic()
            try:
                return self._slots.acquire(
                    admitted.policy,
                    admitted.request_id,
                    self._slot_wait_seconds(admitted.name, remaining),
                    admitted.caller,
                    state.avoid,
                    self._process.tracing.traceparent(),
                )
            except (PeerRefused, NoRoute, NoPlacerAnswer) as error:
                is_refusal = isinstance(error, PeerRefused)
                if is_refusal and not indicates_new_owner(error):
                    raise
                if attempt + 1 == _SLOT_ATTEMPTS:
                    raise
            clock.wait(self._process.stop_event, _NEW_OWNER_RETRY_SECONDS)
            if clock.monotonic() >= state.deadline:
                break
        raise DeadlineExceeded(service=admitted.name)

    def _slot_wait_seconds(self, service, remaining):
        """Return how long a request may wait for a slot and be answered in time."""
        usual = self._timeouts.usual_seconds(service)
        if usual is None:
            return max(0.0, remaining * _SLOT_WAIT_SHARE)
        return max(0.0, remaining - usual)
