"""Short advice queries do not wait behind long ones."""

import pytest

from papayapick.entry.advice.balancing import HostLoad, choose_host
from papayapick.jobs.documents import StepKey
from tests.pool.advisers import AdvisedHost

SHORT_SECONDS = 0.02
LONG_SECONDS = 0.6


def _ask(host, number, seconds, delay=0.0):
    key = StepKey(f"{number:016x}", 0, 0)
    return host.advice.ask(key, ["w1"], seconds, delay)


def _seconds_until(host, answer):
    begin = host.clock.monotonic()
    while not answer.done():
        host.clock.advance(0.01)
        host.answer_advice()
    return host.clock.monotonic() - begin


def test_urgent_step_does_not_wait_for_long_queries_of_non_urgent_ones():
    """Guards against hosts that are all busy with long queries at a takeover."""
    host = AdvisedHost(peers=7, queue_of=None)
    host.note_peer_answers()
    for number in range(30):
        _ask(host, number, LONG_SECONDS, delay=0.5)
    took = [_seconds_until(host, _ask(host, 100 + n, SHORT_SECONDS)) for n in range(10)]
    assert max(took) < 0.1


def test_new_owner_without_answers_from_peers_keeps_its_client_for_urgent_steps():
    """Guards against a long query that the new owner sends before peers answer."""
    host = AdvisedHost(peers=7, queue_of=None)
    long = _ask(host, 1, LONG_SECONDS)
    assert _seconds_until(host, _ask(host, 2, SHORT_SECONDS)) < 0.1
    host.note_peer_answers()
    assert _seconds_until(host, long) <= LONG_SECONDS + 0.02


def test_single_host_sends_long_queries_too():
    """Guards against queries that are never sent."""
    host = AdvisedHost(peers=0, queue_of=None)
    assert _seconds_until(host, _ask(host, 1, LONG_SECONDS)) <= LONG_SECONDS + 0.02


@pytest.mark.parametrize(
    ("expected", "loads", "chosen"),
    [
        (SHORT_SECONDS, [(0.0, True, False), (0.0, False, False)], 0),
        (SHORT_SECONDS, [(0.1, True, False), (0.0, False, False)], 1),
        (SHORT_SECONDS, [(0.05, True, False), (0.0, False, True)], 0),
        (SHORT_SECONDS, [(0.2, True, False), (0.6, False, False)], None),
        (LONG_SECONDS, [(0.0, True, False), (0.1, False, False)], 1),
        (LONG_SECONDS, [(0.0, True, False), (0.6, False, False)], None),
        (LONG_SECONDS, [(0.0, True, False)], 0),
    ],
)
def test_host_with_the_least_delay_is_chosen(expected, loads, chosen):
    hosts = [HostLoad(None, *load) for load in loads]
    found = choose_host(expected, hosts)
    assert (None if found is None else hosts.index(found)) == chosen


def test_query_is_not_blocked_while_another_one_is_being_sent():
    """Guards against a query that waits for a task connecting to a dead host."""
    host = AdvisedHost(peers=3, queue_of=None)
    host.note_peer_answers()
    asked = []
    through, own = host.ask_advice, host.advice._own_client.ask

    def ask_through(peer, key, workers, expected):
        asked.append(key)
        return through(peer, key, workers, expected)

    def ask_slowly(*query):
        # The calls of the other hosts end while this one is still being sent.
        host.clock.advance(LONG_SECONDS)
        host.answer_advice()
        return own(*query)

    host.ask_advice, host.advice._own_client.ask = ask_through, ask_slowly
    for number in range(4):
        _ask(host, number, LONG_SECONDS)
    assert len(asked) == 3
    _ask(host, 50, SHORT_SECONDS)
    assert len(asked) == 4
