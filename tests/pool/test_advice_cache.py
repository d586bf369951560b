"""Advice on which workers may run a step."""

import pytest

from papayapick.jobs import AdvicePolicy, StepKey
from papayapick.pool.advice_cache import AdviceCache

KEY = StepKey("0" * 16, 0, 0)
POLICY = AdvicePolicy(0.5, 0.01, 2.5)


class Asked:
    def __init__(self):
        self.calls = []

    def __call__(self, key, workers, expected):
        self.calls.append((key, workers))


@pytest.fixture
def asked():
    return Asked()


@pytest.fixture
def cache(asked):
    return AdviceCache(asked)


def test_workers_that_came_later_are_asked_about(cache, asked):
    """A caller's lasting task stays down though new workers stand idle.

    The workers known to be good were replaced by a release. Advice was asked
    again only about the good ones of the first answer, none of which was left.
    """
    cache.request(KEY, POLICY, ["w1", "w2"], 10.0)
    cache.note_answer(KEY, {"w1": "t1"}, POLICY, 10.6)
    cache.request(KEY, POLICY, ["w2", "w3"], 20.0)
    assert asked.calls[-1][1] == ["w3"]


def test_unfit_workers_are_not_asked_about_again(cache, asked):
    cache.request(KEY, POLICY, ["w1", "w2"], 10.0)
    cache.note_answer(KEY, {"w1": "t1"}, POLICY, 10.6)
    cache.request(KEY, POLICY, ["w1", "w2"], 20.0)
    assert asked.calls[-1][1] == ["w1"]
    assert cache.unfit(KEY) == {"w2"}


def test_ticket_ages(cache):
    cache.request(KEY, POLICY, ["w1"], 10.0)
    cache.note_answer(KEY, {"w1": "t1"}, POLICY, 10.6)
    assert cache.tickets(KEY, POLICY, 12.8) == {"w1": "t1"}
    assert cache.tickets(KEY, POLICY, 13.2) is None


def test_one_call_at_a_time_for_a_step(cache, asked):
    cache.request(KEY, POLICY, ["w1"], 10.0)
    cache.request(KEY, POLICY, ["w1"], 10.5)
    assert len(asked.calls) == 1


def test_call_that_never_ends_is_asked_again(cache, asked):
    """A caller's job waits for ever: the host that was to ask was powered off.

    Its connection hangs without a reset, so the call neither fails nor ends.
    """
    cache.request(KEY, POLICY, ["w1"], 10.0)
    cache.request(KEY, POLICY, ["w1"], 20.0)
    assert len(asked.calls) == 2


def test_failed_call_is_asked_again(cache, asked):
    cache.request(KEY, POLICY, ["w1"], 10.0)
    cache.note_failure(KEY)
    cache.request(KEY, POLICY, ["w1"], 10.3)
    assert len(asked.calls) == 2


def test_refused_ticket_is_dropped(cache):
    cache.request(KEY, POLICY, ["w1", "w2"], 10.0)
    cache.note_answer(KEY, {"w1": "t1", "w2": "t2"}, POLICY, 10.6)
    cache.drop_ticket(KEY, "w1")
    assert cache.tickets(KEY, POLICY, 11.0) == {"w2": "t2"}


def test_late_answer_tells_nothing_of_workers_it_was_not_asked_about(cache, asked):
    """A step's task waits beside a worker that may run it.

    A question counted as lost, and another one asked about more workers. Then the
    answer to the first arrived: those that it did not name were taken for unfit, also
    the ones it was not asked about, and never asked about again.
    """
    cache.request(KEY, POLICY, ["w1", "w2"], 10.0)
    cache.request(KEY, POLICY, ["w1", "w2", "w3"], 20.0)
    first, second = (workers for _, workers in asked.calls)
    cache.note_answer(KEY, {"w1": "t1"}, POLICY, 20.1, requested=first)
    assert cache.unfit(KEY) == {"w2"}
    # The second question is still under way.
    cache.request(KEY, POLICY, ["w1", "w3"], 20.5)
    assert len(asked.calls) == 2
    cache.note_answer(KEY, {"w1": "t1", "w3": "t3"}, POLICY, 20.6, requested=second)
    assert cache.tickets(KEY, POLICY, 20.7) == {"w1": "t1", "w3": "t3"}


def test_late_failure_does_not_end_the_newer_question(cache, asked):
    cache.request(KEY, POLICY, ["w1"], 10.0)
    cache.request(KEY, POLICY, ["w1", "w2"], 20.0)
    cache.note_failure(KEY, requested=asked.calls[0][1])
    cache.request(KEY, POLICY, ["w1", "w2"], 20.5)
    assert len(asked.calls) == 2


def test_late_failure_of_a_question_on_the_same_workers_does_not_end_the_newer_one():
    """A third question is asked on a step while the second is under way.

    The first counted as lost and failed late. It named the same workers as the second,
    as nearly always, and was taken for it.
    """
    calls = []
    cache = AdviceCache(lambda key, workers, expected: calls.append(workers))
    cache.request(KEY, POLICY, ["w1", "w2"], 10.0)
    cache.request(KEY, POLICY, ["w1", "w2"], 20.0)
    cache.note_failure(KEY, requested=calls[0])
    cache.request(KEY, POLICY, ["w1", "w2"], 20.5)
    assert len(calls) == 2


def test_late_answer_does_not_replace_newer_tickets():
    """A step lost the ticket of a worker with room to an answer that came late.

    The second question, on more workers, had been answered before the first, which
    counted as lost.
    """
    calls = []
    cache = AdviceCache(lambda key, workers, expected: calls.append(workers))
    cache.request(KEY, POLICY, ["w1"], 10.0)
    cache.request(KEY, POLICY, ["w1", "w2"], 20.0)
    cache.note_answer(KEY, {"w1": "b", "w2": "b"}, POLICY, 20.5, calls[1])
    cache.note_answer(KEY, {"w1": "a"}, POLICY, 20.6, calls[0])
    assert "w2" in cache.tickets(KEY, POLICY, 20.7)
