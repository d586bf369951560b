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
_LONGEST_BACKOFF_SECONDS = 10.0
_ATTEMPTS = 5
_SERVER_ERROR = 500
_UNUSED, _LEAVING = "unused", "leaving"


class RequestRunner:
    """Send journaled requests, those not to be repeated at most once.

    The start is journaled before the first byte is sent. After it, a request
    that must not be repeated is sent again only where this process knows that
    nothing left; a successor, which can't know, says ``unknown``.

    Parameters
    ----------
    process : Process
    slots : SlotClient
    instances : InstanceClient
    dispatcher : WorkDesk
    """

    __slots__ = ("_dispatcher", "_instances", "_process", "_slots")

    def __init__(self, process, slots, instances, dispatcher):
        self._process = process
        self._slots = slots
        self._instances = instances
        self._dispatcher = dispatcher

    def run(self, shard, item):
        """Try a request once; end it, or put it back with a delay."""
        if item.ended is not None or shard.is_closed:
            return
        policy = self._process.watcher.bundle.services.get(item.accepted.name)
        if policy is None:
            self.end(shard, item, item.refusal, detail="work.service-removed")
            return
        if item.may_have_run and not item.accepted.repeatable:
            # Whatever brought it back here, it is never sent a second time.
            self.end(shard, item, UNKNOWN, detail="work.outcome-lost")
            return
        if self._process.clock.time() >= item.accepted.deadline:
            self.end(shard, item, item.refusal, detail="work.deadline-over")
            return
        try:
            grant = self._acquire(item, policy)
        except (RoutingError, WireError):
            self._put_back(shard, item)
            return
        self._run_with(shard, item, policy, grant)

    def recover(self, shard, item):
        """Settle a request that an earlier owner had started.

        Repeatable work goes back to the runners once no earlier run can be
        under way; work not to be repeated has no proof that it did not run.
        """
        if item.accepted.repeatable:
            policy = self._process.watcher.bundle.services.get(item.accepted.name)
            bound = policy.run_seconds if policy else 0.0
            rest = item.started.time + bound - self._process.clock.time()
            self._dispatcher.enqueue(shard, item, max(0.0, rest))
        else:
            self.end(shard, item, UNKNOWN, detail="work.owner-lost")

    def end(self, shard, item, outcome, detail="", answer=None):
        """Journal the outcome of a request and answer those who wait for it."""
        result, name, status, content_type = "", "", 0, ""
        if answer is not None:
            status = answer.status
            content_type = answer.headers.get("Content-Type", "")
            result, name = self._keep(answer.body)
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
        rest = item.accepted.deadline - self._process.clock.time()
        wait = min(_SLOT_WAIT_SECONDS, max(0.0, rest))
        return self._slots.acquire(policy, item.request_id, wait)

    def _run_with(self, shard, item, policy, grant):
        began = self._process.clock.monotonic()
        outcome = _UNUSED
        try:
            if self._journal_start(shard, item, grant):
                grant.check_usable(self._process.clock.monotonic())
                # Until the answer is in, the backend server may be running it.
                outcome = UNKNOWN
                outcome = self._send(shard, item, policy, grant)
        except GrantExpired:
            self._put_back(shard, item)
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
            # Nothing was sent, so the work goes on once the fate is known.
            entry.settled.add_done_callback(lambda done: self._put_back(shard, item))
            return False
        except JournalError:
            self._put_back(shard, item)
            return False
        # A cancel that was journaled first has ended the request: not sent.
        return item.ended is None and item.started == started

    def _send(self, shard, item, policy, grant):
        """Send the request once; return what the slot's release should say."""
        granted = grant.granted
        accepted = item.accepted
        rest = accepted.deadline - self._process.clock.time()
        seconds = min(policy.run_seconds, max(0.05, rest))
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
            self._put_back(shard, item)
            return FAILED if isinstance(error, NotSent) else _UNUSED
        except (AnswerMissing, AnswerInvalid) as error:
            self._without_answer(shard, item, policy, error)
            return UNKNOWN
        self._with_answer(shard, item, answer)
        if is_leaving(answer):
            return _LEAVING
        return FAILED if answer.status >= _SERVER_ERROR else DONE

    def _with_answer(self, shard, item, answer):
        if answer.status < _SERVER_ERROR:
            self.end(shard, item, DONE, answer=answer)
        elif item.accepted.repeatable and item.attempts < _ATTEMPTS:
            self._put_back(shard, item)
        else:
            self.end(shard, item, FAILED, "work.server-error", answer)

    def _without_answer(self, shard, item, policy, error):
        if not item.accepted.repeatable or item.attempts >= _ATTEMPTS:
            self.end(shard, item, UNKNOWN, detail=error.code)
        else:
            # The first run may still be under way; it must be over before the
            # second starts.
            self._put_back(shard, item, policy.run_seconds)

    def _put_back(self, shard, item, least=0.0):
        if shard.is_closed:
            return
        delay = min(_LONGEST_BACKOFF_SECONDS, _BACKOFF_SECONDS * 2**item.attempts)
        delay *= 0.5 + self._process.generator.random()
        if not item.may_have_run:
            # It is refused at its deadline, not at the try after it.
            rest = item.accepted.deadline - self._process.clock.time()
            delay = min(delay, max(0.0, rest))
        self._dispatcher.enqueue(shard, item, max(least, delay))

    def _keep(self, body):
        while True:
            try:
                return inline_or_object(self._process.objects, body)
            except ObjectsUnavailable:
                # The work has run; its result must not be lost to an outage.
                if self._process.clock.wait(self._process.is_stopping, 0.5):
                    raise
