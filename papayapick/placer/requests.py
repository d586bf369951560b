"""Run journaled requests on backend servers."""

from papayapick.clients import (
    AnswerInvalid,
    AnswerMissing,
    NotSent,
    ObjectsUnavailable,
    StaleEpoch,
)
from papayapick.clients.instances import is_leaving
from papayapick.journal import Ended, JournalError, JournalUnsettled, Started
from papayapick.placer.outcomes import journal_outcome
from papayapick.placer.payloads import inline_or_object, load_inline_or_object
from papayapick.routing import GrantExpired, RoutingError
from papayapick.wire import WireError

__all__ = ["RequestRunner"]

DONE, FAILED, UNKNOWN = "done", "failed", "unknown"
_SLOT_WAIT_SECONDS = 0.5
_BACKOFF_SECONDS = 0.2
_MAX_BACKOFF_SECONDS = 10.0
_MAX_ATTEMPTS = 5
_SERVER_ERROR = 500
_UNUSED, _LEAVING = "unused", "leaving"


class RequestRunner:
    """Send journaled requests, at most once those that are not repeatable.

    The start is journaled before the first byte is sent. Afterwards, a request
    that is not repeatable is sent again only if this process knows that nothing
    was sent. A later owner can't know this and ends the request as ``unknown``.

    Parameters
    ----------
    process : Process
    slots : SlotClient
    instances : InstanceClient
    dispatcher : WorkDispatcher
    """

    __slots__ = ("_dispatcher", "_instances", "_process", "_slots")

    def __init__(self, process, slots, instances, dispatcher):
        self._process = process
        self._slots = slots
        self._instances = instances
        self._dispatcher = dispatcher

    def run(self, shard, item):
        """Attempt a request once, then end it or queue it again with a delay."""
        if item.ended is not None or shard.is_closed:
            return
        policy = self._process.watcher.bundle.services.get(item.accepted.name)
        if policy is None:
            self.end(shard, item, item.refusal_outcome, detail="work.service-removed")
            return
        if item.may_have_run and not item.accepted.repeatable:
            # It must not be sent a second time, for whatever reason it was queued.
            self.end(shard, item, UNKNOWN, detail="work.outcome-lost")
            return
        if self._process.clock.time() >= item.accepted.deadline:
            self.end(shard, item, item.refusal_outcome, detail="work.deadline-over")
            return
        try:
            grant = self._acquire(item, policy)
        except (RoutingError, WireError):
            self._requeue(shard, item)
            return
        self._run_with_grant(shard, item, policy, grant)

    def recover(self, shard, item):
        """Continue or end a request that a former owner had started.

        A repeatable request is queued for the time at which no earlier run can
        still be in progress. Any other request is ended as ``unknown``, since
        nothing proves that it did not run.
        """
        if item.accepted.repeatable:
            policy = self._process.watcher.bundle.services.get(item.accepted.name)
            bound = policy.run_seconds if policy else 0.0
            remaining = item.started.time + bound - self._process.clock.time()
            self._dispatcher.enqueue(shard, item, max(0.0, remaining))
        else:
            self.end(shard, item, UNKNOWN, detail="work.owner-lost")

    def end(self, shard, item, outcome, detail="", answer=None):
        """Journal the outcome of a request and answer the callers that wait for it."""
        result, name, status, content_type = "", "", 0, ""
        if answer is not None:
            status = answer.status
            content_type = answer.headers.get("Content-Type", "")
            result, name = self._store_result(answer.body)
        ended = Ended(
            item.request_id,
            outcome,
            self._process.clock.time(),
            status=status,
            content_type=content_type,
            result=result,
            result_object=name,
            detail=detail,
        )
        journal_outcome(self._dispatcher, shard, item, ended)

    def _acquire(self, item, policy):
        remaining = item.accepted.deadline - self._process.clock.time()
        wait = min(_SLOT_WAIT_SECONDS, max(0.0, remaining))
        return self._slots.acquire(policy, item.request_id, wait)

    def _run_with_grant(self, shard, item, policy, grant):
        began = self._process.clock.monotonic()
        outcome = _UNUSED
        try:
            if self._journal_start(shard, item, grant):
                grant.check_usable(self._process.clock.monotonic())
                # Until the answer arrives, the backend server may run the request.
                outcome = UNKNOWN
                outcome = self._send(shard, item, policy, grant)
        except GrantExpired:
            self._requeue(shard, item)
        finally:
            seconds = self._process.clock.monotonic() - began
            self._slots.release(grant, outcome, seconds)

    def _journal_start(self, shard, item, grant):
        granted = grant.granted
        started = Started(
            item.request_id,
            item.attempts + 1,
            [{"host": granted.instance, "url": granted.url}],
            self._process.clock.time(),
        )
        try:
            entry = shard.journal.append(started)
            entry.written.result()
        except JournalUnsettled:
            # Nothing was sent, so the request is queued again once it is known
            # whether the record was written.
            entry.settled.add_done_callback(lambda done: self._requeue(shard, item))
            return False
        except JournalError:
            self._requeue(shard, item)
            return False
        # A cancellation that was journaled before the start has ended the request,
        # so it must not be sent.
        return item.ended is None and item.started == started

    def _send(self, shard, item, policy, grant):
        """Send the request once and return the outcome for the slot's release."""
        granted = grant.granted
        accepted = item.accepted
        remaining = accepted.deadline - self._process.clock.time()
        seconds = min(policy.run_seconds, max(0.05, remaining))
        ran_before = item.may_have_run
        try:
            payload = load_inline_or_object(
                self._process.objects, accepted.payload, accepted.payload_object
            )
            item.may_have_run = True
            answer = self._instances.call(
                granted.url, item.request_id, granted.epoch, payload, seconds
            )
        except (NotSent, StaleEpoch, ObjectsUnavailable) as error:
            item.may_have_run = ran_before
            self._requeue(shard, item)
            return FAILED if isinstance(error, NotSent) else _UNUSED
        except (AnswerMissing, AnswerInvalid) as error:
            self._handle_missing_answer(shard, item, policy, error)
            return UNKNOWN
        self._handle_answer(shard, item, answer)
        if is_leaving(answer):
            return _LEAVING
        return FAILED if answer.status >= _SERVER_ERROR else DONE

    def _handle_answer(self, shard, item, answer):
        if answer.status < _SERVER_ERROR:
            self.end(shard, item, DONE, answer=answer)
        elif item.accepted.repeatable and item.attempts < _MAX_ATTEMPTS:
            self._requeue(shard, item)
        else:
            self.end(shard, item, FAILED, "work.server-error", answer)

    def _handle_missing_answer(self, shard, item, policy, error):
        if not item.accepted.repeatable or item.attempts >= _MAX_ATTEMPTS:
            self.end(shard, item, UNKNOWN, detail=error.code)
        else:
            # The first run may still be in progress and must be over before the
            # second starts.
            self._requeue(shard, item, policy.run_seconds)

    def _requeue(self, shard, item, min_delay=0.0):
        if shard.is_closed:
            return
        delay = min(_MAX_BACKOFF_SECONDS, _BACKOFF_SECONDS * 2**item.attempts)
        delay *= 0.5 + self._process.generator.random()
        if not item.may_have_run:
            # The request is refused at its deadline and not at the first attempt
            # after it.
            remaining = item.accepted.deadline - self._process.clock.time()
            delay = min(delay, max(0.0, remaining))
        self._dispatcher.enqueue(shard, item, max(min_delay, delay))

    def _store_result(self, body):
        while True:
            try:
                return inline_or_object(self._process.objects, body)
            except ObjectsUnavailable:
                # The work has run, so its result must survive an outage of the
                # object store.
                if self._process.clock.wait(self._process.stop_event, 0.5):
                    raise
