"""Loops of an entry host that raise: run again, and an end that tells its reason."""

import threading

import pytest

from papayapick.clock import ManualClock
from papayapick.entry import loops
from papayapick.entry.candidacy import Candidacy
from papayapick.entry.loops import LoopRunner
from papayapick.ownership.pools import PoolRow
from tests.entry.hosts import make_host
from tests.standins.clocks import AdvancingClock


class Exited(BaseException):
    """Raise in place of the end of the process."""


@pytest.fixture
def clock():
    return AdvancingClock()


@pytest.fixture
def flushed():
    return []


@pytest.fixture
def runner(monkeypatch, clock, flushed):
    def leave(code):
        raise Exited

    monkeypatch.setattr(loops.os, "_exit", leave)
    return LoopRunner(clock, threading.Event(), lambda: flushed.append(True))


def failing(times):
    calls = []

    def step():
        calls.append(None)
        if len(calls) <= times:
            raise RuntimeError("can't start new thread")

    return step, calls


def test_loop_that_fails_for_a_while_is_run_again(runner):
    """Guards against hosts that end one after the other as each takes a pool.

    Hundreds of hosts did so while the machine could start no more threads, and no
    request was served.
    """
    step, calls = failing(3)
    runner.run("pool", step)
    assert len(calls) == 4


def test_loop_that_keeps_failing_ends_the_process_with_its_reason(runner, flushed):
    """Guards against a process that ends without a line that tells why."""
    step, calls = failing(100)
    with pytest.raises(Exited):
        runner.run("pool", step)
    assert (flushed, len(calls)) == ([True], 6)


def test_failures_long_apart_do_not_add_up(runner, clock):
    step, calls = failing(20)

    def slow():
        clock.advance(60.0)
        step()

    runner.run("pool", slow)
    assert len(calls) == 21


def test_host_that_can_not_join_ends_at_once(runner):
    step, calls = failing(100)
    with pytest.raises(Exited):
        runner.run("join", step, max_failures=0)
    assert len(calls) == 1


def test_pool_is_released_if_its_owner_can_not_be_started(monkeypatch):
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
    host = make_host(monkeypatch, ManualClock(), None)
    host.note_owner = fail
    candidacy = Candidacy(host, "pool")
    with pytest.raises(RuntimeError):
        candidacy._start_owner(PoolRow("pool", "h1", 3, "a:1", 9))
    host.executor.shutdown()
    assert released == [True]
