"""Send an owner's queries to the advice service through the hosts of the cell."""

import heapq
import threading
from concurrent.futures import Future, ThreadPoolExecutor

from papayapick.entry.advice.balancing import HostLoad, choose_host, is_long
from papayapick.entry.events import ADVICE_MOVED
from papayapick.entry.metrics import ADVICE_SECONDS
from papayapick.platform.advice import AdviceClient
from papayapick.pool.exceptions import AdviceNotNeeded
from papayapick.wire import PeerDisconnected, PeerUnreachable
from papayapick.wire.messages import AdviceReply, Ticket

__all__ = ["AdviceDispatcher", "SerialAdviceClient"]

# Hosts answer a new owner's first heartbeats within this time.
_FIRST_ANSWERS_SECONDS = 0.4


class SerialAdviceClient:
    """Call the service one query at a time, as it serves each calling host.

    Parameters
    ----------
    address : str
    pool : HttpPool
    """

    __slots__ = ("_client", "_executor")

    def __init__(self, address, pool):
        self._client = AdviceClient(address, pool)
        self._executor = ThreadPoolExecutor(1, thread_name_prefix="advice")

    def ask(self, step_name, workers, expected_seconds):
        """Return a future of the tickets by worker."""
        return self._executor.submit(
            self._client.ask, step_name, workers, expected_seconds
        )


def _is_always_needed():
    return True


class _PendingQuery:
    """Hold a query and the future of its answer; ordered by due time."""

    __slots__ = (
        "answer",
        "asked_at",
        "due",
        "expected",
        "is_needed",
        "key",
        "workers",
    )

    def __init__(self, key, workers, expected, asked_at, delay, is_needed):
        self.key = key
        self.workers = workers
        self.expected = expected
        self.asked_at = asked_at
        # The query with the earliest due time is sent first.
        self.due = asked_at + delay
        self.is_needed = is_needed
        self.answer = Future()

    def __lt__(self, other):
        return self.due < other.due


class AdviceDispatcher:
    """Assign an owner's queries to hosts, and answer the queries of other hosts.

    Queries are held back until a host has time for them. If all were assigned at once,
    those pending at a takeover would go to the new owner itself, which has no answer
    from another host yet, and would be sent one by one while the other hosts are idle.

    Parameters
    ----------
    host : EntryHost
    pool : HttpPool
    """

    __slots__ = (
        "_heaps",
        "_host",
        "_lock",
        "_no_peer_since",
        "_own_client",
        "_pending_seconds",
    )

    def __init__(self, host, pool):
        self._host = host
        self._own_client = SerialAdviceClient(host.settings.advice_address, pool)
        self._lock = threading.Lock()
        # Time that the calls already assigned to this host still take.
        self._pending_seconds = 0.0
        # Heaps of the short queries (False) and the long ones (True): a long query for
        # which no host is free must not block the short ones behind it.
        self._heaps = {False: [], True: []}
        # Monotonic seconds since which no other host is live, or None.
        self._no_peer_since = None

    def ask(self, key, workers, expected, delay=0.0, is_needed=None):
        """Ask for advice through the least busy host.

        Parameters
        ----------
        key : StepKey
        workers : list of str
        expected : float
            Seconds that the call takes.
        delay : float
            Seconds by which other queries may arrive later and still be sent first. A
            time limit rather than a priority, so that a non-urgent query is sent
            eventually, however many urgent ones arrive.
        is_needed : callable, optional
            Returns whether the answer is still of use when a host is free.

        Returns
        -------
        concurrent.futures.Future
            Gives the ticket by worker, or raises ``AdviceNotNeeded``.
        """
        now = self._host.clock.monotonic()
        query = _PendingQuery(
            key, workers, expected, now, delay, is_needed or _is_always_needed
        )
        with self._lock:
            self._replace_older(query)
            self._push(query)
        self._schedule_dispatch()
        return query.answer

    def _push(self, query):
        heapq.heappush(self._heaps[is_long(query.expected)], query)

    def _replace_older(self, query):
        """Drop an older query about the same step and keep its due time."""
        for heap in self._heaps.values():
            older = [one for one in heap if one.key == query.key]
            if older:
                query.due = min(one.due for one in older)
                heap[:] = [one for one in heap if one.key != query.key]
                heapq.heapify(heap)

    def note_peer_answer(self):
        """Dispatch pending queries: the host that has answered may have time."""
        self._schedule_dispatch()

    def _schedule_dispatch(self):
        # As a separate task: connecting to a host that is cut off blocks for 0.4 s,
        # and the caller may be the reader of another host's answers.
        if any(self._heaps.values()):
            self._host.executor.submit(self._dispatch)

    def _dispatch(self):
        """Send pending queries to the hosts that have time for them."""
        while (taken := self._pop_next()) is not None:
            self._send(*taken)

    def _pop_next(self):
        """Remove the earliest query for which a host is free.

        Returns
        -------
        tuple of (Peer or None, _PendingQuery) or None
        """
        with self._lock:
            for heap in self._heaps.values():
                self._drop_unneeded(heap)
            heads = [heap[0] for heap in self._heaps.values() if heap]
            for query in sorted(heads):
                host = self._choose_host(query)
                if host is not None:
                    heapq.heappop(self._heaps[is_long(query.expected)])
                    self._add_pending(host.peer, query.expected)
                    return host.peer, query
        return None

    def _choose_host(self, query):
        """Return the host that should send a query, or None if all are busy."""
        if is_long(query.expected) and self._awaits_peer_answers():
            return None
        return choose_host(query.expected, self._host_loads())

    def _drop_unneeded(self, heap):
        """Drop the first queries of a heap whose answers are no longer needed.

        Queries of a replaced owner, or about jobs that have ended, would otherwise be
        sent before those whose answers are still awaited.
        """
        while heap and not heap[0].is_needed():
            query = heapq.heappop(heap)
            error = AdviceNotNeeded(step=str(query.key))
            self._host.executor.submit(query.answer.set_exception, error)

    def _send(self, peer, query):
        try:
            asked = self._ask_via(peer, query)
        except Exception as error:
            self._note_failure(peer, query, error)
            return
        asked.add_done_callback(lambda done: self._complete(done, peer, query))

    def _awaits_peer_answers(self):
        """Return whether there are other hosts whose first answers are due soon.

        Just after a takeover the new owner has no answer from any of them. It would
        send the first long query itself, and urgent steps would wait behind it.
        """
        peers = self._host.peers
        if peers.live() or not peers.all():
            self._no_peer_since = None
            return False
        now = self._host.clock.monotonic()
        if self._no_peer_since is None:
            self._no_peer_since = now
        return now - self._no_peer_since < _FIRST_ANSWERS_SECONDS

    def _host_loads(self):
        owners = self._host.owner_names()
        settings = self._host.settings
        loads = [HostLoad(None, self._pending_seconds, settings.host_name in owners)]
        for peer in self._host.peers.live():
            # A host that has just stopped has no pending queries and counts as live
            # for a moment: each query would be sent to it in turn, 0.2 s apart.
            if peer.advice_failed_at < peer.answered_at:
                is_far = peer.region != settings.region
                load = HostLoad(
                    peer, peer.pending_advice_seconds, peer.name in owners, is_far
                )
                loads.append(load)
        return loads

    def _ask_via(self, peer, query):
        key, workers, expected = query.key, query.workers, query.expected
        if peer is None:
            return self._own_client.ask(str(key), workers, expected)
        return self._host.peers.ask_advice(peer, key, workers, expected)

    def _complete(self, done, peer, query):
        error = done.exception()
        if error is not None:
            self._note_failure(peer, query, error)
            return
        self._note_end(peer, query.expected)
        self._observe("answered", query)
        if peer is None:
            query.answer.set_result(done.result())
        else:
            tickets = done.result().tickets
            query.answer.set_result({one.worker: one.ticket for one in tickets})
        self._schedule_dispatch()

    def _note_failure(self, peer, query, error):
        self._note_end(peer, query.expected)
        if peer is None or not isinstance(error, PeerUnreachable | PeerDisconnected):
            self._observe("failed", query)
            query.answer.set_exception(error)
        else:
            ADVICE_MOVED.write(step=str(query.key), peer=peer.name, error=str(error))
            peer.advice_failed_at = self._host.clock.monotonic()
            with self._lock:
                self._push(query)
        self._schedule_dispatch()

    def _observe(self, outcome, query):
        took = self._host.clock.monotonic() - query.asked_at
        ADVICE_SECONDS.labels(outcome).observe(took)

    def _note_end(self, peer, expected):
        with self._lock:
            self._add_pending(peer, -expected)

    def _add_pending(self, peer, seconds):
        if peer is None:
            self._pending_seconds += seconds
        else:
            peer.pending_advice_seconds += seconds

    def answer(self, query):
        """Return a future of the reply to another host's query."""
        answer = Future()
        expected = query.expected_milliseconds / 1000
        with self._lock:
            self._add_pending(None, expected)
        asked = self._own_client.ask(query.step, list(query.workers), expected)

        def complete(done):
            self._note_end(None, expected)
            if done.exception() is not None:
                answer.set_exception(done.exception())
                return
            tickets = [
                Ticket(worker=worker, ticket=ticket)
                for worker, ticket in done.result().items()
            ]
            answer.set_result(AdviceReply(tickets=tickets))

        asked.add_done_callback(complete)
        return answer
