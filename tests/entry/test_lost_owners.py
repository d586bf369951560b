"""Which takeovers count as the loss of an owner that may have lost power."""

import pytest

from papayapick.entry import candidacy as module
from papayapick.ownership.pools import PoolRow
from tests.entry.candidates import beat, check_owner

EARLIER_LOSSES = (5.0, 6.0)
ADDRESS = "127.0.0.1:9"
SILENT_SECONDS = 5.0


@pytest.fixture
def claimed(monkeypatch, candidacy):
    """The rows by which the pool is claimed, with the losses that the next has."""
    rows = []
    claim = module.claim_pool

    def record_and_claim(store, seen, owner, address):
        rows.append(seen)
        return claim(store, seen, owner, address)

    monkeypatch.setattr(module, "claim_pool", record_and_claim)
    return rows


def test_silent_owner_counts_as_lost(candidacy, rows, claimed):
    """Guards against owners without power whose idle connections nobody counts."""
    rows[0] = PoolRow("pool", "h2", 3, ADDRESS, 7, EARLIER_LOSSES)
    candidacy._host.not_owning.add(ADDRESS)
    check_owner(candidacy)
    assert claimed[0].losses == (*EARLIER_LOSSES, candidacy._host.clock.time())


def test_own_loss_counts_after_a_restart(candidacy, rows, claimed):
    """Guards against a host that takes its pool back and counts no loss of its own."""
    rows[0] = PoolRow("pool", "h1", 3, "127.0.0.1:1", 7)
    check_owner(candidacy)
    assert len(claimed[0].losses) == 1


def test_released_pool_has_no_further_loss(candidacy, rows, claimed):
    """Guards against cells whose restarts in turn leave no idle connection allowed."""
    rows[0] = PoolRow("pool", "", 3, "", 7, EARLIER_LOSSES)
    check_owner(candidacy)
    assert claimed[0].losses == EARLIER_LOSSES


@pytest.mark.parametrize(
    ("gave_way", "losses"), [([True], 0), ([False], 1), ([True, False], 1)]
)
def test_owner_that_gave_way_is_not_lost(candidacy, rows, claimed, gave_way, losses):
    """Guards against cells whose restarts in turn leave no idle connection allowed.

    An owner that could reach the store again, and stayed, may be lost later.
    """
    rows[0] = PoolRow("pool", "h2", 3, ADDRESS, 7)
    check_owner(candidacy)
    for gives_way in gave_way:
        candidacy.note_beat(beat(gives_way=gives_way))
    candidacy._host.clock.advance(SILENT_SECONDS)
    check_owner(candidacy)
    assert len(claimed[0].losses) == losses
