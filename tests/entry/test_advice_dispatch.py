"""Distribution of advice queries over the live hosts."""

from concurrent.futures import Future

import pytest

from papayapick.clock import ManualClock
from papayapick.entry.advice.dispatch import AdviceDispatcher
from papayapick.jobs.documents import StepKey
from papayapick.pool.exceptions import AdviceNotNeeded
from papayapick.wire import PeerDisconnected, PeerUnreachable
from papayapick.wire.messages import AdviceReply, Ticket

KEY = StepKey("5c0e7a21d94b36f8", 0, 1)


class Executor:
    """Run each task at once, in the calling thread."""

    def submit(self, step, *args):
        step(*args)


class Peer:
    def __init__(self, name, error=None):
        self.name = name
        self.error = error
        self.answered_at = 99.5
        self.advice_failed_at = float("-inf")
        self.pending_advice_seconds = -1.0
        self.region = "south"
        self.asked = 0


class Settings:
    advice_address = "127.0.0.1:1"
    host_name = "h1"
    region = "south"


class Host:
    """Stand in for an entry host and for its peers."""

    def __init__(self, *peers):
        self.clock = ManualClock(100.0)
        self.executor = Executor()
        self.settings = Settings()
        self.peers = self
        self._peers = list(peers)

    def live(self):
        return self._peers

    all = live

    def owner_names(self):
        return {"h1"}

    def ask_advice(self, peer, key, workers, expected):
        peer.asked += 1
        if isinstance(peer.error, PeerUnreachable):
            raise peer.error
        answer = Future()
        if peer.error is not None:
            answer.set_exception(peer.error)
        else:
            tickets = [Ticket(worker="w1", ticket="t")]
            answer.set_result(AdviceReply(tickets=tickets))
        return answer


@pytest.mark.parametrize("error", [PeerUnreachable, PeerDisconnected])
def test_query_to_a_stopped_host_is_sent_elsewhere_at_once(error):
    # Guards against urgent steps that wait up to a second for advice. A stopped host
    # counts as live for 0.8 s and has no pending queries, so each query was sent to
    # it, failed, and was retried 0.2 s later with the same result.
    gone = Peer("gone", error(address="gone"))
    other = Peer("other")
    gone.pending_advice_seconds = -2.0
    dispatcher = AdviceDispatcher(Host(gone, other), pool=None)
    assert dispatcher.ask(KEY, ["w1"], 0.1).result(1) == {"w1": "t"}
    assert dispatcher.ask(KEY, ["w1"], 0.1).result(1) == {"w1": "t"}
    assert (gone.asked, other.asked) == (1, 2)
    assert gone.pending_advice_seconds == -2.0


def test_host_that_answers_again_is_sent_queries_again():
    back = Peer("back", PeerUnreachable(address="back"))
    other = Peer("other")
    back.pending_advice_seconds = -2.0
    host = Host(back, other)
    dispatcher = AdviceDispatcher(host, pool=None)
    dispatcher.ask(KEY, ["w1"], 0.1).result(1)
    back.error = None
    host.clock.advance(1.0)
    back.answered_at = host.clock.monotonic()
    dispatcher.ask(KEY, ["w1"], 0.1).result(1)
    assert back.asked == 2


def test_refusal_of_the_service_is_passed_on():
    # The service itself refused, so another host would get the same answer.
    peer = Peer("p", ValueError("no advice"))
    dispatcher = AdviceDispatcher(Host(peer), pool=None)
    with pytest.raises(ValueError, match="no advice"):
        dispatcher.ask(KEY, ["w1"], 0.1).result(1)
    assert peer.asked == 1


class ManualAdviceClient:
    """Record queries; answer or fail the oldest when the test says so."""

    def __init__(self):
        self.asked = []
        self._answers = []

    def ask(self, step_name, workers, expected_seconds):
        self.asked.append(step_name)
        self._answers.append(Future())
        return self._answers[-1]

    def end_one(self):
        self._answers.pop(0).set_result({})

    def fail_one(self):
        self._answers.pop(0).set_exception(ValueError("no advice"))


def key_of(number):
    return StepKey(f"{number:016x}", 0, 0)


def single_host():
    """Return a host without peers, its dispatcher, and its client."""
    host = Host()
    dispatcher = AdviceDispatcher(host, pool=None)
    dispatcher._own_client = ManualAdviceClient()
    return host, dispatcher, dispatcher._own_client


def test_urgent_query_is_sent_before_pending_non_urgent_ones():
    """Guards against an urgent step that waits for seconds behind queries of 1 s each.

    After a burst of large jobs the urgent query is sent next. A non-urgent query is
    delayed no longer than its own limit, however many urgent ones arrive.
    """
    host, dispatcher, client = single_host()
    for number in range(3):
        dispatcher.ask(key_of(number), ["w1"], 1.0, delay=1.0)
    host.clock.advance(0.1)
    dispatcher.ask(key_of(9), ["w1"], 0.05)
    for _ in range(2):
        client.end_one()
    assert client.asked[1] == str(key_of(9))
    host.clock.advance(1.0)
    dispatcher.ask(key_of(8), ["w1"], 0.05)
    client.end_one()
    assert str(key_of(8)) not in client.asked


def test_query_about_the_same_step_keeps_its_place():
    host, dispatcher, client = single_host()
    for number in range(4):
        dispatcher.ask(key_of(number), ["w1"], 1.0)
        host.clock.advance(0.1)
    dispatcher.ask(key_of(1), ["w1", "w2"], 1.0)
    for _ in range(4):
        client.end_one()
    # The repeated query is sent only once.
    assert client.asked == [str(key_of(number)) for number in range(4)]


def test_short_queries_follow_each_other_without_a_pause():
    _, dispatcher, client = single_host()
    for number in range(6):
        dispatcher.ask(key_of(number), ["w1"], 0.04)
    assert len(client.asked) == 4


def test_query_whose_answer_is_no_longer_needed_is_not_sent():
    """Guards against queries of a replaced owner or about cancelled jobs.

    They were sent before those of the new owner and those about waiting jobs.
    """
    host, dispatcher, client = single_host()
    is_wanted = {0: True, 1: True, 2: True}
    answers = [
        dispatcher.ask(key_of(n), ["w1"], 1.0, is_needed=lambda n=n: is_wanted[n])
        for n in range(3)
    ]
    is_wanted[1] = False
    client.end_one()
    assert client.asked == [str(key_of(0)), str(key_of(2))]
    # The caller is notified, so that it can ask about the step again at once.
    with pytest.raises(AdviceNotNeeded):
        answers[1].result(1)


def test_failed_query_lets_the_next_one_be_sent():
    _, dispatcher, client = single_host()
    for number in range(2):
        dispatcher.ask(key_of(number), ["w1"], 1.0)
    client.fail_one()
    assert client.asked == [str(key_of(0)), str(key_of(1))]
