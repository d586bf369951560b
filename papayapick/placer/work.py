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
    """Take on durable work and hand it to the runners by deadline.

    Parameters
    ----------
    process : Process
    """

    __slots__ = (
        "_cancelling",
        "_condition",
        "_finished",
        "_later",
        "_lock",
        "_numbers",
        "_pending",
        "_process",
        "_ready",
        "_waiting",
    )

    def __init__(self, process):
        self._process = process
        self._cancelling = {}
        self._pending = {}
        self._finished = {}
        self._later = []
        self._ready = []
        self._numbers = itertools.count()
        self._lock = threading.RLock()
        self._condition = threading.Condition()
        self._waiting = threading.Event()

    @property
    def has_waiters(self):
        """Return the event that is set while callers wait for outcomes."""
        return self._waiting

    def submit(self, shard, wanted, policy):
        """Take on work once it is durable.

        Parameters
        ----------
        shard : Shard
        wanted : Submit
        policy : ServicePolicy or JobPolicy

        Returns
        -------
        concurrent.futures.Future of WorkState

        Raises
        ------
        KeyReused, JournalUnavailable, JournalFenced
            Nothing was taken on.
        """
        answer = Future()
        digest = wanted.payload_digest or digest_of(wanted.payload)
        stored = None
        if shard.book.find_repeat(wanted.request_id, digest) is None:
            # Not under the lock: a slow object store would hold up all others.
            stored = inline_or_object(self._process.objects, wanted.payload)
        with self._lock:
            item = shard.book.find_repeat(wanted.request_id, digest)
            written = None
            if item is None:
                written = self._pending_or_accept(shard, wanted, policy, digest, stored)
        if written is None:
            self._answer(shard, item, wanted.wait_milliseconds, answer)
            return answer

        def answer_written(done):
            error = done.exception()
            if error is not None:
                answer.set_exception(error)
                return
            item = shard.book.get(wanted.request_id)
            self._answer(shard, item, wanted.wait_milliseconds, answer)

        written.add_done_callback(answer_written)
        return answer

    def find(self, shard, request_id):
        """Return a request; raise WorkUnknown."""
        return shard.book.get(request_id)

    def cancel(self, shard, request_id):
        """Cancel a request that has not been started.

        The journal's order decides between a cancel and a start: a cancel that
        stands behind the start is void. What is told is what the journal then
        holds. A second cancel of the request shares the record of the first.

        Returns
        -------
        concurrent.futures.Future of WorkState
        """
        answer = Future()
        item = shard.book.get(request_id)
        if item.state != WAITING:
            self._tell(item, answer)
            return answer
        with self._lock:
            written = self._cancelling.get(request_id)
            if written is None:
                written = self._append_cancel(shard, request_id)

        def told(done):
            error = done.exception()
            if error is not None:
                answer.set_exception(error)
            else:
                self._tell(item, answer)

        written.add_done_callback(told)
        return answer

    def enqueue(self, shard, item, delay=0.0):
        """Hand an item to the runners, not before a delay in seconds."""
        start = self._process.clock.monotonic() + delay
        with self._condition:
            entry = (start, next(self._numbers), shard, item)
            heapq.heappush(self._later, entry)
            self._condition.notify()

    def take(self, seconds):
        """Return the next due item by earliest deadline.

        Returns
        -------
        (Shard, WorkItem) or None
            None where nothing came due within ``seconds``.
        """
        with self._condition:
            found = self._pop_due()
            if found is None:
                self._condition.wait(self._sleep_seconds(seconds))
                found = self._pop_due()
            if self._later or self._ready:
                # The others sleep past what came since; one of them looks.
                self._condition.notify()
            return found

    def answer_waiters(self, item):
        """Answer all that wait for the end of an item."""
        for waiter in self._pop_waiters(item.request_id):
            self._tell(item, waiter.answer)

    def fail_waiters(self, item, error):
        """Answer all that wait with an error: the outcome is not journaled."""
        for waiter in self._pop_waiters(item.request_id):
            _fail(waiter.answer, error)

    def answer_overdue(self):
        """Tell those whose wait is over how far their work is, at once."""
        now = self._process.clock.monotonic()
        with self._lock:
            overdue = []
            for request_id, waiters in list(self._finished.items()):
                kept = [waiter for waiter in waiters if waiter.deadline > now]
                overdue += [waiter for waiter in waiters if waiter.deadline <= now]
                self._keep_waiters(request_id, kept)
        for waiter in overdue:
            self._tell(waiter.item, waiter.answer)

    def fail_shard_waiters(self, shard):
        """Answer all that wait for work of a shard that has another owner."""
        with self._lock:
            left = []
            for request_id, waiters in list(self._finished.items()):
                kept = [waiter for waiter in waiters if waiter.shard is not shard]
                left += [waiter for waiter in waiters if waiter.shard is shard]
                self._keep_waiters(request_id, kept)
        for waiter in left:
            error = WorkMoved(
                request_id=waiter.item.request_id, retry_after=_MOVED_RETRY_SECONDS
            )
            _fail(waiter.answer, error)

    def _sleep_seconds(self, seconds):
        if not self._later:
            return seconds
        due = self._later[0][0] - self._process.clock.monotonic()
        return min(seconds, max(0.0, due))

    def _pop_due(self):
        now = self._process.clock.monotonic()
        while self._later and self._later[0][0] <= now:
            _, number, shard, item = heapq.heappop(self._later)
            deadline = item.accepted.deadline
            heapq.heappush(self._ready, (deadline, number, shard, item))
        if not self._ready:
            return None
        return heapq.heappop(self._ready)[2:]

    def _pending_or_accept(self, shard, wanted, policy, digest, stored):
        pending = self._pending.get(wanted.request_id)
        if pending is None:
            return self._accept(shard, wanted, policy, digest, stored)
        pending_digest, written = pending
        if pending_digest != digest:
            raise KeyReused(request_id=wanted.request_id)
        return written

    def _accept(self, shard, wanted, policy, digest, stored):
        inline, name = stored
        record = Accepted(
            request_id=wanted.request_id,
            work=wanted.kind,
            name=wanted.name,
            caller=wanted.caller,
            payload=inline,
            payload_object=name,
            payload_digest=digest,
            deadline=wanted.deadline_milliseconds / 1000,
            repeatable=policy.repeatable,
            job=json.loads(wanted.job) if wanted.job else None,
        )
        entry = shard.journal.append(record)
        self._pending[record.request_id] = (digest, entry.written)

        def run_when_durable(done):
            # Not before its fate is settled: a repeat under the key would be
            # refused as "not run" while the first may be in the journal.
            with self._lock:
                self._pending.pop(record.request_id, None)
            # Also after a lost answer: what the journal holds must arrive, and
            # its caller heard "unknown".
            if done.result():
                self.enqueue(shard, shard.book.get(record.request_id))

        entry.settled.add_done_callback(run_when_durable)
        return entry.written

    def _append_cancel(self, shard, request_id):
        record = Cancelled(request_id, self._process.clock.time())
        entry = shard.journal.append(record)
        self._cancelling[request_id] = entry.written

        def settled(done):
            with self._lock:
                self._cancelling.pop(request_id, None)
            item = shard.book.get(request_id)
            if item.ended is not None:
                self.answer_waiters(item)

        entry.settled.add_done_callback(settled)
        return entry.written

    def _answer(self, shard, item, wait_milliseconds, answer):
        deadline = self._process.clock.monotonic() + wait_milliseconds / 1000
        with self._lock:
            if item.ended is None and wait_milliseconds:
                waiter = _Waiter(answer, deadline, shard, item)
                self._finished.setdefault(item.request_id, []).append(waiter)
                self._waiting.set()
                return
        self._tell(item, answer)

    def _tell(self, item, answer):
        if answer.done():
            return
        ended = item.ended
        if ended is not None and ended.result_object:
            # The object store may be slow, and this may be the journal's task.
            self._process.executor.submit(self._tell_now, item, answer)
        else:
            self._tell_now(item, answer)

    def _tell_now(self, item, answer):
        try:
            answer.set_result(state_of(item, self._process.objects))
        except PlatformError:
            _fail(answer, ResultUnreadable(request_id=item.request_id))

    def _pop_waiters(self, request_id):
        with self._lock:
            waiters = self._finished.pop(request_id, [])
            self._keep_waiters(request_id, [])
        return waiters

    def _keep_waiters(self, request_id, kept):
        if kept:
            self._finished[request_id] = kept
        else:
            self._finished.pop(request_id, None)
        if not self._finished:
            self._waiting.clear()


def _fail(answer, error):
    if not answer.done():
        answer.set_exception(error)
