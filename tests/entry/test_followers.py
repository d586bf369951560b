"""A feed of the store that falls silent is noticed soon by whoever owns a pool."""

import threading
from types import SimpleNamespace

import pytest

from papayapick.clients.exceptions import AnswerMissing
from papayapick.clock import ManualClock
from papayapick.entry.process import EntryHost
from papayapick.platform.store import Store

# Jobs that were accepted wait for so long at most before their owner asks again.
NOTICED_SECONDS = 1.0


class SilentConnections:
    """Let each call wait until its time is over."""

    def __init__(self, clock, stopping):
        self._clock = clock
        self._stopping = stopping

    def request(self, method, url, body=None, timeout=None):
        self._clock.advance(timeout)
        self._stopping.set()
        raise AnswerMissing(url=url)


def test_owner_notices_soon_that_the_feed_of_its_jobs_is_silent():
    """Guards against jobs that are accepted and reach no owner for seconds."""
    clock, stopping = ManualClock(100.0), threading.Event()
    silent = []
    host = SimpleNamespace(
        clock=clock,
        store=Store("127.0.0.1:1", SilentConnections(clock, stopping), clock),
        store_health=SimpleNamespace(
            note_failure=lambda: silent.append(clock.monotonic() - 100.0)
        ),
        _note_store_answer=pytest.fail,
    )
    EntryHost.follow(host, "jobs", 7, pytest.fail, pytest.fail, stopping)
    (seconds,) = silent
    assert seconds <= NOTICED_SECONDS
