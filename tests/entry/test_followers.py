"""A feed of the store that falls silent is noticed soon by whoever owns a pool."""

import threading
from types import SimpleNamespace

import pytest

from papayapick.clients.exceptions import AnswerMissing
from papayapick.clients.rows import Page
from papayapick.clock import ManualClock
from papayapick.entry.process import EntryHost
from papayapick.platform.store import Store
from papayapick.pool.sources import Sources

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


class ChangingTable:
    """Answer each call with one change more, as workers write their entries."""

    def __init__(self, clock, stopping, seconds):
        self._clock = clock
        self._stopping = stopping
        self._until = clock.monotonic() + seconds
        self.calls = 0

    def follow(self, table, version, wait_seconds):
        self.calls += 1
        self._clock.advance(0.01)
        if self._clock.monotonic() >= self._until:
            self._stopping.set()
        return Page(["row"], version + 1)


class AdvancingClock(ManualClock):
    """Let the time pass that is waited."""

    def wait(self, event, seconds):
        self.advance(seconds)
        return event.is_set()


class SeenSources(Sources):
    """Keep the rows of workers that come."""

    def __init__(self, owner):
        super().__init__(owner)
        self.seen = []

    def note_worker_rows(self, rows):
        self.seen += rows


def test_changes_of_many_workers_are_gathered():
    """Guards against a call of the store for each entry that any worker writes."""
    clock, stopping = AdvancingClock(100.0), threading.Event()
    store = ChangingTable(clock, stopping, seconds=10.0)
    host = SimpleNamespace(
        clock=clock,
        store=store,
        store_health=SimpleNamespace(note_failure=pytest.fail),
        _note_store_answer=lambda asked_at: None,
        follow=lambda *args: EntryHost.follow(host, *args),
    )
    owner = SimpleNamespace(host=host, stopping=stopping, pool="pool")
    sources = SeenSources(owner)
    sources.follow_workers(1)
    assert len(sources.seen) == store.calls - 1
    assert store.calls < 30
