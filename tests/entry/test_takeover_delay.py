"""How long a host waits before it takes a pool, after all that can befall its start."""

import json
from types import SimpleNamespace

import pytest

from papayapick.clients.http import HttpAnswer
from papayapick.clock import ManualClock
from papayapick.entry.candidacy import Candidacy
from papayapick.entry.joining import cell_key
from tests.entry.hosts import make_host

NEAR_SECONDS = 0.008
FAR_SECONDS = 0.047
REFUSED = 503
KEY_ROW = {"table": "cell", "part": "key", "key": "key", "value": "eyJrZXkiOiAiIn0="}


class _Clock(ManualClock):
    def wait(self, event, seconds):
        self.advance(seconds)
        return event.is_set()


class _ScriptedPool:
    """Answer calls of the store as a list of (status, seconds) says, then at once."""

    def __init__(self, clock, answers):
        self._clock = clock
        self._answers = answers

    def request(self, method, url, body=None, timeout=None):
        status, seconds = self._answers.pop(0)
        self._clock.advance(seconds)
        found = {"rows": [{**KEY_ROW, "ver": 1}], "ver": 1}
        return HttpAnswer(status, {}, json.dumps(found).encode())


@pytest.fixture
def delay_after(monkeypatch):
    """Start a host whose store answers so; return how long it waits as a candidate."""

    def start(answers):
        clock = _Clock(100.0)
        pool = _ScriptedPool(clock, list(answers))
        host = make_host(monkeypatch, clock, pool)
        host.peers = SimpleNamespace(all=list)
        cell_key(host)
        return Candidacy(host, "pool")._delay()

    return start


def test_pool_is_not_left_alone_for_the_outage_that_its_hosts_started_in(delay_after):
    """Jobs waited without an owner ten times as long as the store had been away."""
    answers = [*[(REFUSED, 0.008)] * 6, (200, NEAR_SECONDS)]
    assert delay_after(answers) < 0.1


@pytest.mark.parametrize("silent_seconds", [0.3, 1.2])
def test_pool_is_not_left_alone_as_long_as_a_slow_store_suggests(
    delay_after, silent_seconds
):
    """Jobs waited without an owner ten times as long as one slow answer took."""
    assert delay_after([(200, silent_seconds)]) < 0.5


def test_host_far_from_the_store_still_waits_for_those_near_it(delay_after):
    """An owner in the other region answers each worker and the store late."""
    answers = [(REFUSED, FAR_SECONDS), (200, FAR_SECONDS)]
    assert delay_after(answers) >= 0.2
