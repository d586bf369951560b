"""Ask the advice service on behalf of the owner, one call at a time."""

import heapq
import threading
from concurrent.futures import Future, ThreadPoolExecutor

from papayapick.entry.advice_turns import HostLoad, choose_host, is_long
from papayapick.entry.events import ADVICE_MOVED
from papayapick.entry.metrics import ADVICE_SECONDS
from papayapick.platform.advice import AdviceClient
from papayapick.pool.exceptions import AdviceNotNeeded
from papayapick.wire import PeerDisconnected, PeerUnreachable
from papayapick.wire.messages import AdviceReply, Ticket

__all__ = ["AdviceDispatcher", "SerialAdviceClient"]

# Hosts answer a new owner's first beats within this time.
_ACQUAINTED_SECONDS = 0.4


class SerialAdviceClient:
    """Queue calls: the service serves one at a time for each calling host.

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


class _Question:
    """Hold what is asked, and the future of its answer."""

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
        # The least is given out first.
        self.due = asked_at + delay
        self.is_needed = is_needed
        self.answer = Future()

    def __lt__(self, other):
        return self.due < other.due


class AdviceDispatcher:
    """Give an owner's questions out to the hosts, and answer those of others.

    Questions wait here until a host has time for them. Given out at once, all that
    waits at a takeover would go to the new owner itself, as no other host has been
    heard yet, and be asked there one by one while the others have nothing to ask.

    Parameters
    ----------
    host : EntryHost
    pool : HttpPool
    """

    __slots__ = ("_own_client", "_alone_since", "_host", "_lines", "_lock", "_seconds")

    def __init__(self, host, pool):
        self._host = host
        self._own_client = SerialAdviceClient(host.settings.advice_address, pool)
        self._lock = threading.Lock()
        # What the calls that this host was given still take.
        self._seconds = 0.0
        # Heaps of the short questions and of the long ones: a long one that finds no
        # host must not keep the short ones behind it from theirs.
        self._lines = {False: [], True: []}
        # Since when no other host is heard, in monotonic seconds.
        self._alone_since = None

    def ask(self, key, workers, expected, delay=0.0, is_needed=None):
        """Ask for advice through the host that has least to ask.

        Parameters
        ----------
        key : StepKey
        workers : list of str
        expected : float
            Seconds that the call takes.
        delay : float
            Seconds by which others may be asked later and still go first. A bound and
            no rank: however many urgent ones come, a patient one has its turn.
        is_needed : callable, optional
            Returns whether the answer is still of use when a host has time for it.

        Returns
        -------
        concurrent.futures.Future
            Gives the ticket by worker, or raises ``AdviceNotNeeded``.
        """
        now = self._host.clock.monotonic()
        question = _Question(
            key, workers, expected, now, delay, is_needed or _is_always_needed
        )
        with self._lock:
            self._replace(question)
            self._put(question)
        self._give_out_soon()
        return question.answer

    def _put(self, question):
        heapq.heappush(self._lines[is_long(question.expected)], question)

    def _replace(self, question):
        """Drop an older question on the same step, and keep its place."""
        for line in self._lines.values():
            older = [one for one in line if one.key == question.key]
            if older:
                question.due = min(one.due for one in older)
                line[:] = [one for one in line if one.key != question.key]
                heapq.heapify(line)

    def note_peer_answer(self):
        """Give out what waits: another host was heard, and may have time."""
        self._give_out_soon()

    def _give_out_soon(self):
        # As a task: whoever connects to a host that is cut off is held up for 0.4 s,
        # and here that would be the reader of another host's answers.
        if any(self._lines.values()):
            self._host.executor.submit(self._give_out)

    def _give_out(self):
        """Give what waits to the hosts that have time for it."""
        while (taken := self._take()) is not None:
            self._send(*taken)

    def _take(self):
        """Take the question that is due first of those that find a host.

        Returns
        -------
        tuple of (Peer or None, _Question) or None
        """
        with self._lock:
            for line in self._lines.values():
                self._drop_needless(line)
            heads = [line[0] for line in self._lines.values() if line]
            for question in sorted(heads):
                host = self._host_for(question)
                if host is not None:
                    heapq.heappop(self._lines[is_long(question.expected)])
                    self._add(host.peer, question.expected)
                    return host.peer, question
        return None

    def _host_for(self, question):
        """Return the host that is to ask a question, or None where none has time."""
        if is_long(question.expected) and self._waits_for_others():
            return None
        return choose_host(question.expected, self._loads())

    def _drop_needless(self, line):
        """Drop the first questions of a line that nobody needs any more.

        Those of an owner that was replaced, or on jobs that are over, would go before
        those that somebody waits for.
        """
        while line and not line[0].is_needed():
            question = heapq.heappop(line)
            error = AdviceNotNeeded(step=str(question.key))
            self._host.executor.submit(question.answer.set_exception, error)

    def _send(self, peer, question):
        try:
            asked = self._ask_through(peer, question)
        except Exception as error:
            self._note_failure(peer, question, error)
            return
        asked.add_done_callback(lambda done: self._pass(done, peer, question))

    def _waits_for_others(self):
        """Return whether other hosts are there, and about to be heard.

        As a pool is taken over its new owner has heard none yet. The first long
        question would take up its own turn, and urgent steps wait behind it.
        """
        peers = self._host.peers
        if peers.live() or not peers.all():
            self._alone_since = None
            return False
        now = self._host.clock.monotonic()
        if self._alone_since is None:
            self._alone_since = now
        return now - self._alone_since < _ACQUAINTED_SECONDS

    def _loads(self):
        owners = self._host.owner_names()
        settings = self._host.settings
        loads = [HostLoad(None, self._seconds, settings.host_name in owners)]
        for peer in self._host.peers.live():
            # A host that has just gone has nothing to ask and counts as live for
            # a moment: each question would be sent to it in turn, 0.2 s apart.
            if peer.advice_failed_at < peer.answered_at:
                is_far = peer.region != settings.region
                load = HostLoad(
                    peer, peer.pending_advice_seconds, peer.name in owners, is_far
                )
                loads.append(load)
        return loads

    def _ask_through(self, peer, question):
        key, workers, expected = question.key, question.workers, question.expected
        if peer is None:
            return self._own_client.ask(str(key), workers, expected)
        return self._host.peers.ask_advice(peer, key, workers, expected)

    def _pass(self, done, peer, question):
        error = done.exception()
        if error is not None:
            self._note_failure(peer, question, error)
            return
        self._note_done(peer, question.expected)
        self._observe("answered", question)
        if peer is None:
            question.answer.set_result(done.result())
        else:
            tickets = done.result().tickets
            question.answer.set_result({one.worker: one.ticket for one in tickets})
        self._give_out_soon()

    def _note_failure(self, peer, question, error):
        self._note_done(peer, question.expected)
        if peer is None or not isinstance(error, PeerUnreachable | PeerDisconnected):
            self._observe("failed", question)
            question.answer.set_exception(error)
        else:
            ADVICE_MOVED.write(step=str(question.key), peer=peer.name, error=str(error))
            peer.advice_failed_at = self._host.clock.monotonic()
            with self._lock:
                self._put(question)
        self._give_out_soon()

    def _observe(self, outcome, question):
        took = self._host.clock.monotonic() - question.asked_at
        ADVICE_SECONDS.labels(outcome).observe(took)

    def _note_done(self, peer, expected):
        with self._lock:
            self._add(peer, -expected)

    def _add(self, peer, seconds):
        if peer is None:
            self._seconds += seconds
        else:
            peer.pending_advice_seconds += seconds

    def answer(self, query):
        """Return a future of the reply to another host's question."""
        answer = Future()
        expected = query.expected_milliseconds / 1000
        with self._lock:
            self._add(None, expected)
        asked = self._own_client.ask(query.step, list(query.workers), expected)

        def note(done):
            self._note_done(None, expected)
            if done.exception() is not None:
                answer.set_exception(done.exception())
                return
            tickets = [
                Ticket(worker=worker, ticket=ticket)
                for worker, ticket in done.result().items()
            ]
            answer.set_result(AdviceReply(tickets=tickets))

        asked.add_done_callback(note)
        return answer
