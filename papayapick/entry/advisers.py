"""Ask the advice service on behalf of the owner, one call at a time."""

import threading
from concurrent.futures import Future, ThreadPoolExecutor

from papayapick.platform.advice import AdviceClient
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
        with self._lock:
            least, peer = self._seconds, None
            for one in self._host.peers.live():
                if one.advice_seconds < least:
                    least, peer = one.advice_seconds, one
            self._add(peer, expected)
        try:
            if peer is None:
                asked = self._adviser.ask(str(key), workers, expected)
            else:
                asked = self._host.peers.ask_advice(peer, key, workers, expected)
        except Exception as error:
            self._note_done(peer, expected)
            answer.set_exception(error)
            return answer
        asked.add_done_callback(lambda done: self._pass(done, answer, peer, expected))
        return answer

    def _pass(self, done, answer, peer, expected):
        self._note_done(peer, expected)
        error = done.exception()
        if error is not None:
            answer.set_exception(error)
        elif peer is None:
            answer.set_result(done.result())
        else:
            tickets = done.result().tickets
            answer.set_result({one.worker: one.ticket for one in tickets})

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
