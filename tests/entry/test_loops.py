"""Loops of an entry host that raise: run again, and an end that tells its reason."""

import pytest

from papayapick.clock import ManualClock
from papayapick.entry import process
from papayapick.entry.candidacy import Candidacy
from papayapick.ownership.pools import PoolRow
from tests.entry.hosts import make_host


class SteppingClock(ManualClock):
    """Advance by each wait instead of waiting."""

    def wait(self, event, seconds):
        self.advance(seconds)
        return event.is_set()


class Exited(BaseException):
    """Raise in place of the end of the process."""


@pytest.fixture
def host(monkeypatch):
    def leave(code):
        raise Exited

    monkeypatch.setattr(process.os, "_exit", leave)
    host = make_host(monkeypatch, SteppingClock(), None)
    yield host
    host.executor.shutdown()


def failing(times):
    calls = []

    def step():
        calls.append(None)
        if len(calls) <= times:
            raise RuntimeError("can't start new thread")

    return step, calls


def test_loop_that_fails_for_a_while_is_run_again(host):
    """Guards against hosts that end one after the other as each takes a pool.

    Hundreds of hosts did so while the machine could start no more threads, and no
    request was served.
    """
    step, calls = failing(3)
    host._run_loop("pool", step)
    assert len(calls) == 4


def test_loop_that_keeps_failing_ends_the_process_with_its_reason(host):
    """Guards against a process that ends without a line that tells why."""
    flushed = []
    host._flush_log = lambda: flushed.append(True)
    step, calls = failing(100)
    with pytest.raises(Exited):
        host._run_loop("pool", step)
    assert (flushed, len(calls)) == ([True], 6)


def test_failures_long_apart_do_not_add_up(host):
    step, calls = failing(20)

    def slow():
        host.clock.advance(60.0)
        step()

    host._run_loop("pool", slow)
    assert len(calls) == 21


def test_host_that_can_not_join_ends_at_once(host):
    step, calls = failing(100)
    with pytest.raises(Exited):
        host._run_loop("join", step, max_failures=0)
    assert len(calls) == 1


def test_pool_is_released_if_its_owner_can_not_be_started(host, monkeypatch):
    """Guards against a pool that no host serves while its row names an owner."""
    released = []

    class Owner:
        def __init__(self, *arguments):
            pass

        def release(self):
            released.append(True)

    def fail(owner):
        raise RuntimeError("can't start new thread")

    monkeypatch.setattr("papayapick.entry.candidacy.PoolOwner", Owner)
    host.note_owner = fail
    candidacy = Candidacy(host, "pool")
    with pytest.raises(RuntimeError):
        candidacy._start_owner(PoolRow("pool", "h1", 3, "a:1", 9))
    assert released == [True]
