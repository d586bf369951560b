"""Questions for the advice service are spread over the hosts that live."""

from concurrent.futures import Future

import pytest

from papayapick.clock import ManualClock
from papayapick.entry.advisers import AdviceDesk
from papayapick.jobs.documents import StepKey
from papayapick.wire import PeerDisconnected, PeerUnreachable
from papayapick.wire.messages import AdviceReply, Ticket

KEY = StepKey("5c0e7a21d94b36f8", 0, 1)


class Executor:
    """Run at once."""

    def submit(self, step, *args):
        step(*args)


class Peer:
    def __init__(self, name, error=None):
        self.name = name
        self.error = error
        self.answered_at = 99.5
        self.advice_failed_at = float("-inf")
        self.advice_seconds = -1.0
        self.asked = 0


class Settings:
    advice_address = "127.0.0.1:1"


class Host:
    """Stand for an entry host and for its peers."""

    def __init__(self, *peers):
        self.clock = ManualClock(100.0)
        self.executor = Executor()
        self.settings = Settings()
        self.peers = self
        self._peers = list(peers)

    def live(self):
        return self._peers

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
def test_question_to_a_host_that_has_gone_is_asked_elsewhere_at_once(error):
    # A host stops. For 0.8 s it still counts as live and has the least to ask, so
    # each question went to it, failed, and was asked again 0.2 s later with the same
    # result: urgent steps waited up to a second for advice.
    gone = Peer("gone", error(address="gone"))
    other = Peer("other")
    gone.advice_seconds = -2.0
    desk = AdviceDesk(Host(gone, other), pool=None)
    assert desk.ask(KEY, ["w1"], 0.1).result(1) == {"w1": "t"}
    assert desk.ask(KEY, ["w1"], 0.1).result(1) == {"w1": "t"}
    assert (gone.asked, other.asked) == (1, 2)
    assert gone.advice_seconds == -2.0


def test_host_that_answers_again_is_asked_again():
    back = Peer("back", PeerUnreachable(address="back"))
    other = Peer("other")
    back.advice_seconds = -2.0
    host = Host(back, other)
    desk = AdviceDesk(host, pool=None)
    desk.ask(KEY, ["w1"], 0.1).result(1)
    back.error = None
    host.clock.advance(1.0)
    back.answered_at = host.clock.monotonic()
    desk.ask(KEY, ["w1"], 0.1).result(1)
    assert back.asked == 2


def test_refusal_of_the_service_is_told():
    # The service itself gave no advice: another host would hear the same.
    peer = Peer("p", ValueError("no advice"))
    desk = AdviceDesk(Host(peer), pool=None)
    with pytest.raises(ValueError, match="no advice"):
        desk.ask(KEY, ["w1"], 0.1).result(1)
    assert peer.asked == 1
