"""Admit, query and cancel durable work of the owned shards."""

import heapq
import itertools
import json
import threading
from concurrent.futures import Future

from papayapick.clients import PlatformError
from papayapick.clients.objects import digest_of
from papayapick.journal import Accepted, Cancelled, KeyReused
from papayapick.journal.work import WAITING
from papayapick.placer.exceptions import ResultUnreadable, WorkMoved
from papayapick.placer.payloads import inline_or_object, state_of

__all__ = ["WorkDispatcher"]

_MOVED_RETRY_SECONDS = 0.05


class _Waiter:
    __slots__ = ("answer", "deadline", "item", "shard")

    def __init__(self, answer, deadline, shard, item):
        self.answer = answer
        self.deadline = deadline
        self.shard = shard
        self.item = item


class WorkDispatcher:
    """Admit durable work, dispatch it by deadline and answer waiting callers.

    Parameters
    ----------
    process : Process
    """

    __slots__ = (
        "_cancelling",
        "_condition",
        "_delayed",
        "_has_waiters",
        "_lock",
        "_pending",
        "_process",
        "_ready",
        "_sequence",
        "_waiters",
    )

    def __init__(self, process):
        self._process = process
        self._cancelling = {}
        self._pending = {}
        self._waiters = {}
        self._delayed = []
        self._ready = []
        self._sequence = itertools.count()
        self._lock = threading.RLock()
        self._condition = threading.Condition()
        self._has_waiters = threading.Event()

    @property
    def has_waiters(self):
        """Return the event that is set while callers wait for outcomes."""
        return self._has_waiters

    def submit(self, shard, submission, policy):
        """Journal work, and dispatch it once it is durable.

        Work that was submitted before under the same idempotency key is not
        journaled again; the caller gets its state.

        Parameters
        ----------
        shard : Shard
        submission : Submit
        policy : ServicePolicy or JobPolicy

        Returns
        -------
        concurrent.futures.Future of WorkState

        Raises
        ------
        KeyReused, JournalUnavailable, JournalFenced
            The work was not admitted.
        """
        answer = Future()
        digest = submission.payload_digest or digest_of(submission.payload)
        stored = None
        if shard.work_index.find_duplicate(submission.request_id, digest) is None:
            # Outside the lock, since a slow object store would block all other
            # submissions.
            stored = inline_or_object(self._process.objects, submission.payload)
        with self._lock:
            item = shard.work_index.find_duplicate(submission.request_id, digest)
            written = None
            if item is None:
                written = self._pending_or_accept(
                    shard, submission, policy, digest, stored
                )
        if written is None:
            self._answer_or_wait(shard, item, submission.wait_milliseconds, answer)
            return answer

        def answer_when_written(done):
            error = done.exception()
            if error is not None:
                answer.set_exception(error)
                return
            item = shard.work_index.get(submission.request_id)
            self._answer_or_wait(shard, item, submission.wait_milliseconds, answer)

        written.add_done_callback(answer_when_written)
        return answer

    def find(self, shard, request_id):
        """Return a request; raise WorkUnknown."""
        return shard.work_index.get(request_id)

    def cancel(self, shard, request_id):
        """Cancel a request that has not been started.

        The order of the journal decides between a cancellation and a start: a
        cancellation that follows the start has no effect. The answer is the state
        according to the journal after the record was written. A second
        cancellation of the request shares the record of the first.

        Returns
        -------
        concurrent.futures.Future of WorkState

        Raises
        ------
        WorkUnknown, JournalUnavailable, JournalFenced
        """
        answer = Future()
        item = shard.work_index.get(request_id)
        if item.state != WAITING:
            self._resolve(item, answer)
            return answer
        with self._lock:
            written = self._cancelling.get(request_id)
            if written is None:
                written = self._append_cancel(shard, request_id)

        def resolve(done):
            error = done.exception()
            if error is not None:
                answer.set_exception(error)
            else:
                self._resolve(item, answer)

        written.add_done_callback(resolve)
        return answer

    def enqueue(self, shard, item, delay=0.0):
        """Queue an item for the runners, due after a delay in seconds."""
        start = self._process.clock.monotonic() + delay
        with self._condition:
            entry = (start, next(self._sequence), shard, item)
            heapq.heappush(self._delayed, entry)
            self._condition.notify()

    def take(self, seconds):
        """Remove and return the due item with the earliest deadline.

        Parameters
        ----------
        seconds : float
            Longest time to wait for an item.

        Returns
        -------
        (Shard, WorkItem) or None
            None if no item came due in that time.
        """
        with self._condition:
            due = self._pop_due()
            if due is None:
                self._condition.wait(self._sleep_seconds(seconds))
                due = self._pop_due()
            if self._delayed or self._ready:
                # The other runner threads may sleep longer than until the next item
                # is due, so one of them is woken to compute its wait again.
                self._condition.notify()
            return due

    def answer_waiters(self, item):
        """Answer all callers that wait for the end of an item."""
        for waiter in self._pop_waiters(item.request_id):
            self._resolve(item, waiter.answer)

    def fail_waiters(self, item, error):
        """Answer all callers that wait with an error instead of an outcome."""
        for waiter in self._pop_waiters(item.request_id):
            _fail(waiter.answer, error)

    def answer_overdue(self):
        """Answer the callers whose wait has ended with the state of their work."""
        now = self._process.clock.monotonic()
        with self._lock:
            overdue = []
            for request_id, waiters in list(self._waiters.items()):
                remaining = [waiter for waiter in waiters if waiter.deadline > now]
                overdue += [waiter for waiter in waiters if waiter.deadline <= now]
                self._set_waiters(request_id, remaining)
        for waiter in overdue:
            self._resolve(waiter.item, waiter.answer)

    def fail_shard_waiters(self, shard):
        """Answer all callers that wait for work of a shard with ``WorkMoved``."""
        with self._lock:
            abandoned = []
            for request_id, waiters in list(self._waiters.items()):
                remaining = [waiter for waiter in waiters if waiter.shard is not shard]
                abandoned += [waiter for waiter in waiters if waiter.shard is shard]
                self._set_waiters(request_id, remaining)
        for waiter in abandoned:
            error = WorkMoved(
                request_id=waiter.item.request_id, retry_after=_MOVED_RETRY_SECONDS
            )
            _fail(waiter.answer, error)

    def _sleep_seconds(self, seconds):
        if not self._delayed:
            return seconds
        due = self._delayed[0][0] - self._process.clock.monotonic()
        return min(seconds, max(0.0, due))

    def _pop_due(self):
        now = self._process.clock.monotonic()
        while self._delayed and self._delayed[0][0] <= now:
            _, number, shard, item = heapq.heappop(self._delayed)
            deadline = item.accepted.deadline
            heapq.heappush(self._ready, (deadline, number, shard, item))
        if not self._ready:
            return None
        return heapq.heappop(self._ready)[2:]

    def _pending_or_accept(self, shard, submission, policy, digest, stored):
        pending = self._pending.get(submission.request_id)
        if pending is None:
            return self._accept(shard, submission, policy, digest, stored)
        pending_digest, written = pending
        if pending_digest != digest:
            raise KeyReused(request_id=submission.request_id)
        return written

    def _accept(self, shard, submission, policy, digest, stored):
        inline, name = stored
        record = Accepted(
            request_id=submission.request_id,
            work=submission.kind,
            name=submission.name,
            caller=submission.caller,
            payload=inline,
            payload_object=name,
            payload_digest=digest,
            deadline=submission.deadline_milliseconds / 1000,
            repeatable=policy.repeatable,
            job=json.loads(submission.job) if submission.job else None,
        )
        entry = shard.journal.append(record)
        self._pending[record.request_id] = (digest, entry.written)

        def run_when_durable(done):
            # The key stays pending until the write is settled. Otherwise a repeat
            # under the key could be refused as "not run" while the first
            # submission may be in the journal.
            with self._lock:
                self._pending.pop(record.request_id, None)
            # Also after a write whose answer was lost: the caller got "unknown",
            # and work that is in the journal has to be run.
            if done.result():
                self.enqueue(shard, shard.work_index.get(record.request_id))

        entry.settled.add_done_callback(run_when_durable)
        return entry.written

    def _append_cancel(self, shard, request_id):
        record = Cancelled(request_id, self._process.clock.time())
        entry = shard.journal.append(record)
        self._cancelling[request_id] = entry.written

        def settled(done):
            with self._lock:
                self._cancelling.pop(request_id, None)
            item = shard.work_index.get(request_id)
            if item.ended is not None:
                self.answer_waiters(item)

        entry.settled.add_done_callback(settled)
        return entry.written

    def _answer_or_wait(self, shard, item, wait_milliseconds, answer):
        deadline = self._process.clock.monotonic() + wait_milliseconds / 1000
        with self._lock:
            if item.ended is None and wait_milliseconds:
                waiter = _Waiter(answer, deadline, shard, item)
                self._waiters.setdefault(item.request_id, []).append(waiter)
                self._has_waiters.set()
                return
        self._resolve(item, answer)

    def _resolve(self, item, answer):
        if answer.done():
            return
        ended = item.ended
        if ended is not None and ended.result_object:
            # The object store may be slow, and this may be the journal's thread.
            self._process.executor.submit(self._resolve_now, item, answer)
        else:
            self._resolve_now(item, answer)

    def _resolve_now(self, item, answer):
        try:
            answer.set_result(state_of(item, self._process.objects))
        except PlatformError:
            _fail(answer, ResultUnreadable(request_id=item.request_id))

    def _pop_waiters(self, request_id):
        with self._lock:
            waiters = self._waiters.pop(request_id, [])
            self._set_waiters(request_id, [])
        return waiters

    def _set_waiters(self, request_id, waiters):
        if waiters:
            self._waiters[request_id] = waiters
        else:
            self._waiters.pop(request_id, None)
        if not self._waiters:
            self._has_waiters.clear()


def _fail(answer, error):
    if not answer.done():
        answer.set_exception(error)
