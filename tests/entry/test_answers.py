"""What a host answers to the beat of an owner, which goes on by it."""

from types import SimpleNamespace

import pytest

from papayapick.clock import ManualClock
from papayapick.entry.answers import PeerAnswers
from papayapick.entry.board import StateBoard
from papayapick.entry.candidacy import Candidacy
from papayapick.entry.store_health import StoreHealth
from papayapick.ownership.pools import PoolRow
from papayapick.pool.ownership_status import CONFIRMATION_VALID_SECONDS
from papayapick.wire.messages import PoolBeat


@pytest.fixture
def host():
    clock = ManualClock(100.0)
    health = StoreHealth(clock)
    health.note_word()
    return SimpleNamespace(clock=clock, board=StateBoard(clock), store_health=health)


@pytest.fixture
def candidacy(host):
    return Candidacy(host, "pool")


@pytest.fixture
def beat(host, candidacy):
    """Hand the host the beat of an owner; return its answer."""
    answers = PeerAnswers(host, {"pool": candidacy}, None)

    def send(owner, epoch, pool="pool"):
        message = PoolBeat(pool=pool, epoch=epoch, host=owner, news=[], queue_loads=[])
        return answers.answer(message, None, "")

    return send


def _confirms(answer, epoch):
    """Return whether an owner goes on by an answer."""
    is_fresh = answer.store_age_milliseconds / 1000 < CONFIRMATION_VALID_SECONDS
    return is_fresh and answer.epoch <= epoch


def test_host_that_read_the_row_confirms_its_owner(beat, candidacy):
    candidacy.note_row(PoolRow("pool", "h2", 3, "a:1", 7))
    assert _confirms(beat("h2", 3), 3)


def test_host_that_heard_a_newer_owner_does_not_confirm_the_one_before(beat, candidacy):
    """A replaced owner ordered on for two seconds: the new row was not read here."""
    candidacy.note_row(PoolRow("pool", "h2", 2, "a:1", 7))
    beat("h3", 3)
    assert beat("h2", 2).epoch == 3


@pytest.mark.parametrize("pool", ["pool", "unknown"])
def test_host_that_has_not_read_the_row_confirms_nobody(beat, pool):
    """A replaced owner ordered on by the word of hosts that had just started."""
    assert not _confirms(beat("h2", 2, pool), 2)
