"""Questions for the advice service are spread over the hosts that live."""

from concurrent.futures import Future

import pytest

from papayapick.clock import ManualClock
from papayapick.entry.advice_dispatch import AdviceDispatcher
from papayapick.jobs.documents import StepKey
from papayapick.pool.exceptions import AdviceNotNeeded
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
        self.pending_advice_seconds = -1.0
        self.region = "south"
        self.asked = 0


class Settings:
    advice_address = "127.0.0.1:1"
    host_name = "h1"
    region = "south"


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
def test_question_to_a_host_that_has_gone_is_asked_elsewhere_at_once(error):
    # A host stops. For 0.8 s it still counts as live and has the least to ask, so
    # each question went to it, failed, and was asked again 0.2 s later with the same
    # result: urgent steps waited up to a second for advice.
    gone = Peer("gone", error(address="gone"))
    other = Peer("other")
    gone.pending_advice_seconds = -2.0
    desk = AdviceDispatcher(Host(gone, other), pool=None)
    assert desk.ask(KEY, ["w1"], 0.1).result(1) == {"w1": "t"}
    assert desk.ask(KEY, ["w1"], 0.1).result(1) == {"w1": "t"}
    assert (gone.asked, other.asked) == (1, 2)
    assert gone.pending_advice_seconds == -2.0


def test_host_that_answers_again_is_asked_again():
    back = Peer("back", PeerUnreachable(address="back"))
    other = Peer("other")
    back.pending_advice_seconds = -2.0
    host = Host(back, other)
    desk = AdviceDispatcher(host, pool=None)
    desk.ask(KEY, ["w1"], 0.1).result(1)
    back.error = None
    host.clock.advance(1.0)
    back.answered_at = host.clock.monotonic()
    desk.ask(KEY, ["w1"], 0.1).result(1)
    assert back.asked == 2


def test_refusal_of_the_service_is_told():
    # The service itself gave no advice: another host would hear the same.
    peer = Peer("p", ValueError("no advice"))
    desk = AdviceDispatcher(Host(peer), pool=None)
    with pytest.raises(ValueError, match="no advice"):
        desk.ask(KEY, ["w1"], 0.1).result(1)
    assert peer.asked == 1


class Turns:
    """Ask one question at a time, and end it when the test says so."""

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


def alone():
    """Return a desk without other hosts, and who asks for it."""
    host = Host()
    desk = AdviceDispatcher(host, pool=None)
    desk._own_client = Turns()
    return host, desk, desk._own_client


def test_urgent_question_goes_before_patient_ones_that_wait():
    """An urgent step waited for seconds behind questions of a second each.

    A burst of large jobs had asked first. What is urgent is asked next, and what is
    patient not later than its own delay says, however many urgent ones come.
    """
    host, desk, turns = alone()
    for number in range(3):
        desk.ask(key_of(number), ["w1"], 1.0, delay=1.0)
    host.clock.advance(0.1)
    desk.ask(key_of(9), ["w1"], 0.05)
    for _ in range(2):
        turns.end_one()
    assert turns.asked[1] == str(key_of(9))
    host.clock.advance(1.0)
    desk.ask(key_of(8), ["w1"], 0.05)
    turns.end_one()
    assert str(key_of(8)) not in turns.asked


def test_question_that_is_asked_again_keeps_its_place():
    host, desk, turns = alone()
    for number in range(4):
        desk.ask(key_of(number), ["w1"], 1.0)
        host.clock.advance(0.1)
    desk.ask(key_of(1), ["w1", "w2"], 1.0)
    for _ in range(4):
        turns.end_one()
    # And it is asked once.
    assert turns.asked == [str(key_of(number)) for number in range(4)]


def test_short_questions_follow_each_other_without_a_pause():
    _, desk, turns = alone()
    for number in range(6):
        desk.ask(key_of(number), ["w1"], 0.04)
    assert len(turns.asked) == 4


def test_question_that_nobody_needs_any_more_is_not_asked():
    """Hosts went on asking for an owner that had been replaced.

    Its questions stood before those of its successor at each host, and those on jobs
    that were cancelled before those on jobs that wait.
    """
    host, desk, turns = alone()
    is_wanted = {0: True, 1: True, 2: True}
    answers = [
        desk.ask(key_of(n), ["w1"], 1.0, is_needed=lambda n=n: is_wanted[n])
        for n in range(3)
    ]
    is_wanted[1] = False
    turns.end_one()
    assert turns.asked == [str(key_of(0)), str(key_of(2))]
    # The step may be asked about again at once.
    with pytest.raises(AdviceNotNeeded):
        answers[1].result(1)


def test_question_that_failed_lets_the_next_one_go():
    _, desk, turns = alone()
    for number in range(2):
        desk.ask(key_of(number), ["w1"], 1.0)
    turns.fail_one()
    assert turns.asked == [str(key_of(0)), str(key_of(1))]
