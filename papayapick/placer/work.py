"""Admit, query and cancel durable work of the owned shards."""

import base64
import heapq
import itertools
import json
import threading
from concurrent.futures import Future

from papayapick.journal import Accepted, Ended, KeyReused
from papayapick.journal.work import ENDED, WAITING
from papayapick.platforms.objects import digest_of
from papayapick.wire.messages import WorkState

__all__ = ["WorkDesk", "inline_or_object", "load_inline_or_object", "state_of"]

INLINE_BYTES = 4096
NOT_RUN = "not_run"
CANCELLED = "work.cancelled"


def inline_or_object(objects, data):
    """Return base64 text of small bytes, or store large ones by digest.

    Returns
    -------
    inline : str
    name : str
        Of the object, empty where the bytes are inline.
    """
    if len(data) <= INLINE_BYTES:
        return base64.b64encode(data).decode(), ""
    name = f"payload/{digest_of(data)}"
    objects.put(name, data)
    return "", name


def load_inline_or_object(objects, inline, name):
    """Return the bytes that ``inline_or_object`` kept."""
    return objects.get(name) if name else base64.b64decode(inline)


def state_of(item, objects):
    """Return what a caller is told of a request.

    Parameters
    ----------
    item : WorkItem
    objects : ObjectsProtocol
    """
    ended = item.ended
    if ended is None:
        return WorkState(request_id=item.request_id, state=item.state)
    return WorkState(
        request_id=item.request_id,
        state=ENDED,
        outcome=ended.outcome,
        status=ended.status,
        content_type=ended.content_type,
        result=load_inline_or_object(objects, ended.result, ended.result_object),
        detail=ended.detail,
    )


class WorkDesk:
    """Take on durable work and hand it to the runners by deadline.

    Parameters
    ----------
    process : Process
    """

    __slots__ = (
        "_condition",
        "_finished",
        "_later",
        "_lock",
        "_numbers",
        "_pending",
        "_process",
        "_ready",
    )

    def __init__(self, process):
        self._process = process
        self._pending = {}
        self._finished = {}
        self._later = []
        self._ready = []
        self._numbers = itertools.count()
        self._lock = threading.RLock()
        self._condition = threading.Condition()

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
        with self._lock:
            item = shard.book.find_repeat(wanted.request_id, digest)
            written = None
            if item is None:
                written = self._pending_or_accept(shard, wanted, policy, digest)
        if written is None:
            self._answer(item, wanted.wait_milliseconds, answer)
            return answer

        def answer_written(done):
            error = done.exception()
            if error is not None:
                answer.set_exception(error)
                return
            item = shard.book.get(wanted.request_id)
            self._answer(item, wanted.wait_milliseconds, answer)

        written.add_done_callback(answer_written)
        return answer

    def find(self, shard, request_id):
        """Return a request; raise WorkUnknown."""
        return shard.book.get(request_id)

    def cancel(self, shard, request_id):
        """Cancel a request that has not been started.

        The journal's order decides between a cancel and a start: the refusal is
        written before it is told, and a runner that finds it written before its
        own start sends nothing.

        Returns
        -------
        concurrent.futures.Future of WorkState
        """
        answer = Future()
        item = shard.book.get(request_id)
        if item.state != WAITING:
            answer.set_result(state_of(item, self._process.objects))
            return answer
        ended = Ended(request_id, NOT_RUN, self._process.clock.time(), detail=CANCELLED)
        entry = shard.journal.append(ended)

        def written(done):
            error = done.exception()
            if error is not None:
                answer.set_exception(error)
            else:
                # A start that was journaled first makes the cancel void.
                if item.ended is not None:
                    self.finish(item)
                answer.set_result(state_of(item, self._process.objects))

        entry.written.add_done_callback(written)
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
                self._condition.wait(seconds)
                found = self._pop_due()
            return found

    def finish(self, item):
        """Answer all that wait for the end of an item."""
        with self._lock:
            waiting = self._finished.pop(item.request_id, [])
        if not waiting:
            return
        state = state_of(item, self._process.objects)
        for answer in waiting:
            if not answer.done():
                answer.set_result(state)

    def finish_with_error(self, item, error):
        """Answer all that wait with an error: the outcome is not journaled."""
        with self._lock:
            waiting = self._finished.pop(item.request_id, [])
        for answer in waiting:
            if not answer.done():
                answer.set_exception(error)

    def _pop_due(self):
        now = self._process.clock.monotonic()
        while self._later and self._later[0][0] <= now:
            _, number, shard, item = heapq.heappop(self._later)
            deadline = item.accepted.deadline
            heapq.heappush(self._ready, (deadline, number, shard, item))
        if not self._ready:
            return None
        return heapq.heappop(self._ready)[2:]

    def _pending_or_accept(self, shard, wanted, policy, digest):
        pending = self._pending.get(wanted.request_id)
        if pending is None:
            return self._accept(shard, wanted, policy, digest)
        pending_digest, written = pending
        if pending_digest != digest:
            raise KeyReused(request_id=wanted.request_id)
        return written

    def _accept(self, shard, wanted, policy, digest):
        inline, name = inline_or_object(self._process.objects, wanted.payload)
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

        def forget_pending(done):
            with self._lock:
                self._pending.pop(record.request_id, None)

        def run_when_durable(done):
            # Also after a lost answer: what the journal holds must arrive, and
            # its caller heard "unknown".
            if done.result():
                self.enqueue(shard, shard.book.get(record.request_id))

        entry.written.add_done_callback(forget_pending)
        entry.settled.add_done_callback(run_when_durable)
        return entry.written

    def _answer(self, item, wait_milliseconds, answer):
        with self._lock:
            if item.ended is None and wait_milliseconds:
                self._finished.setdefault(item.request_id, []).append(answer)
                return
        answer.set_result(state_of(item, self._process.objects))
