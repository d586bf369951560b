"""The delay of a candidate after outages of the store or slow answers at its start."""

import json
from types import SimpleNamespace

import pytest

from papayapick.clients.http import HttpAnswer
from papayapick.entry.cell.joining import cell_key
from papayapick.entry.takeover_order import takeover_delay
from tests.entry.hosts import make_host
from tests.standins.clocks import AdvancingClock

NEAR_SECONDS = 0.008
FAR_SECONDS = 0.047
REFUSED = 503
KEY_ROW = {"table": "cell", "part": "key", "key": "key", "value": "eyJrZXkiOiAiIn0="}


class _ScriptedPool:
    """Answer calls of the store by a list of (status, seconds)."""

    def __init__(self, clock, answers):
        self._clock = clock
        self._answers = answers

    def request(self, method, url, body=None, timeout=None, **options):
        status, seconds = self._answers.pop(0)
        self._clock.advance(seconds)
        found = {"rows": [{**KEY_ROW, "ver": 1}], "ver": 1}
        return HttpAnswer(status, {}, json.dumps(found).encode())


@pytest.fixture
def delay_after(monkeypatch):
    """Return a function from the store's answers at the start to a host's delay."""

    def start(answers):
        clock = AdvancingClock(100.0)
        pool = _ScriptedPool(clock, list(answers))
        host = make_host(monkeypatch, clock, pool)
        host.peers = SimpleNamespace(all=list)
        cell_key(host)
        return takeover_delay(host)

    return start


def test_outage_during_the_start_does_not_add_to_the_delay(delay_after):
    """Guards against a pool without an owner for ten times the rest of an outage."""
    answers = [*[(REFUSED, 0.008)] * 6, (200, NEAR_SECONDS)]
    assert delay_after(answers) < 0.1


@pytest.mark.parametrize("silent_seconds", [0.3, 1.2])
def test_delay_after_a_slow_first_answer_is_bounded(delay_after, silent_seconds):
    """Guards against a pool without an owner for ten times one slow answer."""
    assert delay_after([(200, silent_seconds)]) < 0.5


def test_host_far_from_the_store_still_waits_for_nearer_ones(delay_after):
    """Guards against an owner in the other region, far from workers and the store."""
    answers = [(REFUSED, FAR_SECONDS), (200, FAR_SECONDS)]
    assert delay_after(answers) >= 0.2
