"""Which workers advice on a step is asked about in a pool larger than one call."""

from types import SimpleNamespace

import pytest

from papayapick.jobs import AdvicePolicy, Queue, StepKey
from tests.pool.owners import ID, job, owner_of, register, report
from tests.pool.standins import Host

WORKERS = 120
WORKERS_PER_CALL = 100
ADVISED = Queue(
    "q", "h", "/q/", "pool", 0, 2, 1.5, 0.5, 3.0, False, AdvicePolicy(0.02, 0, 2.5)
)


@pytest.fixture
def asked():
    """The workers of each question, in order."""
    return []


@pytest.fixture
def owner(asked):
    host = Host()
    host.queue_of = lambda document: ADVISED
    host.advice = SimpleNamespace(ask=lambda key, workers, *rest: _Ask(asked, workers))
    for name in _names():
        register(host, name)
    found = owner_of(host)
    found.book.add(job(), ADVISED, host.clock.monotonic())
    return found


class _Ask:
    """Keep what was asked; no answer comes."""

    def __init__(self, asked, workers):
        asked.append(workers)

    def add_done_callback(self, callback):
        pass


def _names(begin=0, end=WORKERS):
    return [f"w{number:03}" for number in range(begin, end)]


def _ask(owner):
    step = owner.book.step_of(StepKey(ID, 0, 0))
    owner.advice_manager.request(step, owner.host.clock.monotonic())


def test_workers_that_are_open_are_asked_about_before_those_that_are_not(owner, asked):
    """A step waited for the first hundred of the list, most of them silent."""
    for name in _names(90):
        report(owner, name)
    _ask(owner)
    assert set(_names(90)) <= set(asked[-1])
    assert len(asked[-1]) == WORKERS_PER_CALL


def test_workers_with_room_are_asked_about_before_full_ones(owner, asked):
    """A step waited for a hundred full workers while twenty others stood idle."""
    for name in _names():
        report(owner, name)
    for name in _names(0, WORKERS_PER_CALL):
        owner.rooms.get(name).processors = 0
    _ask(owner)
    assert set(_names(WORKERS_PER_CALL)) <= set(asked[-1])
