"""Serve urgent repeatable requests: a slot, a call, the whole answer."""

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
    DeadlineOver,
    GrantExpired,
    NoRoute,
    PlacerSilent,
    has_moved,
)
from papayapick.wire import PeerRefused

__all__ = ["UrgentCalls"]

_SERVER_ERROR = 500
_SLOT_TRIES = 4
_MOVED_WAIT_SECONDS = 0.02
_SLOT_SHARE = 0.8
DONE, LEAVING, FAILED = "done", "leaving", "failed"
UNKNOWN, UNUSED, STALE = "unknown", "unused", "stale"


class _Attempts:
    """Hold what stays the same over the tries of one request."""

    __slots__ = ("admitted", "arrived", "avoid", "deadline", "error", "may_have_run")

    def __init__(self, admitted, arrived):
        self.admitted = admitted
        self.arrived = arrived
        self.deadline = arrived + admitted.timeout
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
        attempts = _Attempts(admitted, clock.monotonic())
        budget = self._budgets.of(admitted.name)
        budget.earn()
        retries = admitted.policy.retries
        number = moves = 0
        while True:
            is_last = number == retries or not budget.has_retry
            try:
                return self._attempt(attempts, is_last)
            except (StaleEpoch, GrantExpired) as error:
                # The slot was void, so this was no try. While a shard changes
                # hands many requests meet that at once, and would use up the
                # budget of retries.
                self._note_error(attempts, error)
                moves += 1
                if self._may_move(attempts, moves):
                    continue
                break
            except NotSent as error:
                self._note_error(attempts, error)
            except (AnswerMissing, AnswerInvalid) as error:
                missing = CallAnswerMissing()
                missing.__cause__ = error
                attempts.may_have_run = True
                self._note_error(attempts, missing)
            except BackendFailed as error:
                attempts.may_have_run = True
                self._note_error(attempts, error)
            except PapayapickError as error:
                # No slot for this try; what an earlier one did still stands.
                self._note_error(attempts, error)
                break
            if attempts.may_have_run and not admitted.policy.repeatable:
                break
            if number == retries or clock.monotonic() >= attempts.deadline:
                break
            if not budget.spend():
                break
            number += 1
        raise attempts.error

    def _may_move(self, attempts, moves):
        clock = self._process.clock
        clock.wait(self._process.stop_event, _MOVED_WAIT_SECONDS)
        return moves < _SLOT_TRIES and clock.monotonic() < attempts.deadline

    @staticmethod
    def _note_error(attempts, error):
        """Keep the error that tells the caller the truth.

        A later try that was not sent must not turn into "not run" what an
        earlier try may have run.
        """
        kept = attempts.error
        if kept is not None and getattr(kept, "outcome", "") == UNKNOWN:
            return
        outcome = getattr(error, "outcome", "not_run")
        if kept is None or outcome in (UNKNOWN, FAILED) or not attempts.may_have_run:
            attempts.error = error

    def _attempt(self, attempts, is_last):
        admitted = attempts.admitted
        tracing = self._process.tracing
        with tracing.span("gateway.slot"):
            grant = self._slot(attempts)
        note_fields(shard=grant.granted.shard, epoch=grant.granted.epoch)
        clock = self._process.clock
        began = clock.monotonic()
        self._process.metrics.wait_seconds.labels(admitted.name).observe(
            began - attempts.arrived
        )
        outcome = UNUSED
        try:
            grant.check_usable(began)
            if began >= attempts.deadline:
                raise DeadlineOver(service=admitted.name)
            attempts.avoid.append(grant.granted.instance)
            seconds = self._seconds(attempts, is_last, began)
            with tracing.span("gateway.call"):
                outcome, answer = self._call(grant.granted, admitted, seconds)
        except (NotSent, BackendFailed):
            outcome = FAILED
            raise
        except StaleEpoch:
            outcome = STALE
            raise
        except (AnswerMissing, AnswerInvalid):
            # The backend server may still run it: the slot is not free yet.
            outcome = UNKNOWN
            self._timeouts.observe(admitted.name, clock.monotonic() - began)
            raise
        finally:
            self._slots.release(grant, outcome, clock.monotonic() - began)
        self._timeouts.observe(admitted.name, clock.monotonic() - began)
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
            once=False,
        )
        if is_leaving(answer):
            return LEAVING, answer
        if answer.status >= _SERVER_ERROR:
            raise BackendFailed(status=answer.status)
        return DONE, answer

    def _seconds(self, attempts, is_last, now):
        """Return how long one try may take.

        A try is cut short only where another may follow: without a retry left,
        a slow answer is still better than none.
        """
        policy = attempts.admitted.policy
        rest = min(attempts.deadline - now, policy.run_seconds)
        if is_last or not policy.repeatable:
            return rest
        return self._timeouts.first_try(policy.name, rest)

    def _slot(self, attempts):
        admitted = attempts.admitted
        clock = self._process.clock
        for number in range(_SLOT_TRIES):
            rest = attempts.deadline - clock.monotonic()
            try:
                return self._slots.acquire(
                    admitted.policy,
                    admitted.request_id,
                    self._wait_seconds(admitted.name, rest),
                    admitted.caller,
                    attempts.avoid,
                    self._process.tracing.traceparent(),
                )
            except (PeerRefused, NoRoute, PlacerSilent) as error:
                is_refusal = isinstance(error, PeerRefused)
                if is_refusal and not has_moved(error):
                    raise
                if number + 1 == _SLOT_TRIES:
                    raise
            clock.wait(self._process.stop_event, _MOVED_WAIT_SECONDS)
            if clock.monotonic() >= attempts.deadline:
                break
        raise DeadlineOver(service=admitted.name)

    def _wait_seconds(self, service, rest):
        """Return how long a request may wait and still be answered in time."""
        usual = self._timeouts.usual_seconds(service)
        if usual is None:
            return max(0.0, rest * _SLOT_SHARE)
        return max(0.0, rest - usual)
