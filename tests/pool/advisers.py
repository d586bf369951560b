"""Fakes of the hosts that request advice, each of them one call at a time."""

from concurrent.futures import Future
from types import SimpleNamespace

from papayapick.entry.advice.dispatch import AdviceDispatcher
from papayapick.wire.messages import AdviceReply, Ticket
from tests.pool.standins import Host

HEARD_SECONDS = 0.8


class FakeAdviceClient:
    """Fake of a host's advice client that answers calls one after the other.

    Every worker may run every step.
    """

    def __init__(self, clock):
        self._clock = clock
        self._free_at = clock.monotonic()
        self._calls = []

    def ask(self, step_name, workers, expected_seconds):
        answer = Future()
        begins_at = max(self._free_at, self._clock.monotonic())
        self._free_at = begins_at + expected_seconds
        self._calls.append((self._free_at, list(workers), answer))
        return answer

    def work(self):
        """Answer the calls whose expected duration has passed."""
        now = self._clock.monotonic()
        due = [call for call in self._calls if call[0] <= now]
        self._calls = [call for call in self._calls if call[0] > now]
        for _, workers, answer in due:
            answer.set_result(dict.fromkeys(workers, "t"))


class AdvisedHost(Host):
    """Fake of an owner's process in a cell with other hosts.

    Parameters
    ----------
    peers : int
        Number of other hosts, none of which has answered a heartbeat yet.
    queue_of : callable
    """

    def __init__(self, peers, queue_of):
        super().__init__()
        self.queue_of = queue_of
        self.settings.advice_address = "a:1"
        self.settings.host_name = "h1"
        self.executor = SimpleNamespace(
            submit=lambda step, *args: step(*args),
            map=lambda step, items: [step(item) for item in items],
        )
        self._all = [_peer(f"p{number}") for number in range(peers)]
        self._clients = {peer.name: FakeAdviceClient(self.clock) for peer in self._all}
        self.advice = AdviceDispatcher(self, None)
        self.advice._own_client = self._own_client = FakeAdviceClient(self.clock)

    def ask_advice(self, peer, key, workers, expected):
        answer = Future()
        reply = self._clients[peer.name].ask(str(key), workers, expected)
        reply.add_done_callback(lambda done: answer.set_result(_reply(done.result())))
        return answer

    def all(self):
        return self._all

    def owner_names(self):
        return {self.settings.host_name}

    def note_peer_answers(self):
        """Count all other hosts as having answered a heartbeat just now."""
        self.live_peers = self._all
        for peer in self._all:
            peer.answered_at = self.clock.monotonic()
        self.advice.note_peer_answer()

    def answer_advice(self):
        """Answer the calls of all hosts that are due."""
        for client in (self._own_client, *self._clients.values()):
            client.work()


def _peer(name):
    return SimpleNamespace(
        name=name,
        answered_at=0.0,
        advice_failed_at=float("-inf"),
        pending_advice_seconds=0.0,
        processors=1.0,
        region="south",
        store_age=0.0,
    )


def _reply(tickets):
    found = [Ticket(worker=worker, ticket=one) for worker, one in tickets.items()]
    return AdviceReply(tickets=found)
