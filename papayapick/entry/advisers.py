"""Ask the advice service on behalf of the owner, one call at a time."""

import threading
from concurrent.futures import Future, ThreadPoolExecutor

from papayapick.entry.events import ADVICE_MOVED
from papayapick.entry.metrics import ADVICE_SECONDS
from papayapick.platform.advice import AdviceClient
from papayapick.wire import PeerDisconnected, PeerUnreachable
from papayapick.wire.messages import AdviceReply, Ticket

__all__ = ["AdviceDesk", "Adviser"]


class Adviser:
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


class _Question:
    """Hold what is asked, and the future of its answer."""

    __slots__ = ("answer", "asked_at", "expected", "key", "workers")

    def __init__(self, key, workers, expected, answer, asked_at):
        self.key = key
        self.workers = workers
        self.expected = expected
        self.answer = answer
        self.asked_at = asked_at


class AdviceDesk:
    """Spread an owner's questions over the hosts, and answer those of others.

    Parameters
    ----------
    host : EntryHost
    pool : HttpPool
    """

    __slots__ = ("_adviser", "_host", "_lock", "_seconds")

    def __init__(self, host, pool):
        self._host = host
        self._adviser = Adviser(host.settings.advice_address, pool)
        self._lock = threading.Lock()
        # What the calls that this host was given still take.
        self._seconds = 0.0

    def ask(self, key, workers, expected):
        """Ask for advice through the host that has least to ask.

        Returns
        -------
        concurrent.futures.Future
            Gives the ticket by worker.
        """
        answer = Future()
        now = self._host.clock.monotonic()
        question = _Question(key, workers, expected, answer, now)
        # As a task: the owner asks under its lock, and a host that is cut off holds
        # up whoever connects to it for 0.4 s.
        self._host.executor.submit(self._ask, question)
        return answer

    def _ask(self, question):
        peer = self._choose(question.expected)
        try:
            asked = self._ask_through(peer, question)
        except Exception as error:
            self._note_failure(peer, question, error)
            return
        asked.add_done_callback(lambda done: self._pass(done, peer, question))

    def _choose(self, expected):
        """Return the host with least to ask, or None for this one, and count it."""
        with self._lock:
            least, chosen = self._seconds, None
            for peer in self._host.peers.live():
                # A host that has just gone has nothing to ask and counts as live for
                # a moment: each question would be sent to it in turn, 0.2 s apart.
                is_gone = peer.advice_failed_at >= peer.answered_at
                if not is_gone and peer.advice_seconds < least:
                    least, chosen = peer.advice_seconds, peer
            self._add(chosen, expected)
        return chosen

    def _ask_through(self, peer, question):
        key, workers, expected = question.key, question.workers, question.expected
        if peer is None:
            return self._adviser.ask(str(key), workers, expected)
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
            return
        tickets = done.result().tickets
        question.answer.set_result({one.worker: one.ticket for one in tickets})

    def _note_failure(self, peer, question, error):
        self._note_done(peer, question.expected)
        if peer is None or not isinstance(error, PeerUnreachable | PeerDisconnected):
            self._observe("failed", question)
            question.answer.set_exception(error)
            return
        ADVICE_MOVED.write(step=str(question.key), peer=peer.name, error=str(error))
        peer.advice_failed_at = self._host.clock.monotonic()
        self._ask(question)

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
            peer.advice_seconds += seconds

    def answer(self, query):
        """Return a future of the reply to another host's question."""
        answer = Future()
        expected = query.expected_milliseconds / 1000
        asked = self._adviser.ask(query.step, list(query.workers), expected)

        def note(done):
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
