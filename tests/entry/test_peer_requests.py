"""Answers to an owner's heartbeat, by which the owner stays confirmed or stops."""

from types import SimpleNamespace

import pytest

from papayapick.clock import ManualClock
from papayapick.entry.callers.job_states import JobStateCache
from papayapick.entry.candidacy import Candidacy
from papayapick.entry.cell.peer_requests import PeerRequestHandler
from papayapick.entry.store.health import StoreHealth
from papayapick.ownership.pools import PoolRow
from papayapick.pool.takeover.ownership_status import CONFIRMATION_VALID_SECONDS
from papayapick.wire.messages import PoolBeat


@pytest.fixture
def host():
    clock = ManualClock(100.0)
    health = StoreHealth(clock)
    health.note_answer()
    return SimpleNamespace(
        clock=clock, job_states=JobStateCache(clock), store_health=health
    )


@pytest.fixture
def candidacy(host):
    return Candidacy(host, "pool")


@pytest.fixture
def beat(host, candidacy):
    """Return a function that sends an owner's heartbeat to the host."""
    handler = PeerRequestHandler(host, {"pool": candidacy}, None)

    def send(owner, epoch, pool="pool"):
        message = PoolBeat(pool=pool, epoch=epoch, host=owner, news=[], queue_loads=[])
        return handler.answer(message, None, "")

    return send


def _confirms(answer, epoch):
    """Return whether an answer confirms an owner of this epoch."""
    is_fresh = answer.store_age_milliseconds / 1000 < CONFIRMATION_VALID_SECONDS
    return is_fresh and answer.epoch <= epoch


def test_host_that_read_the_row_confirms_its_owner(beat, candidacy):
    candidacy.note_row(PoolRow("pool", "h2", 3, "a:1", 7))
    assert _confirms(beat("h2", 3), 3)


def test_host_that_knows_a_newer_owner_does_not_confirm_the_old_one(beat, candidacy):
    """Guards against a replaced owner that sends orders for two more seconds.

    The host that confirmed it had received a heartbeat of the newer owner, but had not
    yet read its row.
    """
    candidacy.note_row(PoolRow("pool", "h2", 2, "a:1", 7))
    beat("h3", 3)
    assert beat("h2", 2).epoch == 3


@pytest.mark.parametrize("pool", ["pool", "unknown"])
def test_host_that_has_not_read_the_row_confirms_nobody(beat, pool):
    """Guards against a replaced owner that is confirmed by hosts that just started."""
    assert not _confirms(beat("h2", 2, pool), 2)
