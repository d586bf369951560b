"""Claims of a pool: which are made, and what follows a lost race for it."""

from types import SimpleNamespace

import pytest

from papayapick.clients import TableUnavailable
from papayapick.entry import candidacy as module
from papayapick.entry.cell.beat_senders import beat_seconds
from papayapick.ownership.pools import OwnershipLost, PoolRow
from tests.entry.candidates import check_owner

SILENT_SECONDS = 5.0
# The row of a host that wins the race for a pool without an owner.
WINNER = PoolRow("pool", "h3", 1, "127.0.0.1:8", 1)


def losing_to(rows, winner):
    """Return a claim that another host makes first; its row is the winner's."""

    def lose(store, seen, owner, address):
        rows[0] = winner
        raise OwnershipLost(pool="pool")

    return lose


def test_pool_without_an_owner_is_taken(candidacy, taken):
    check_owner(candidacy)
    assert taken == [1]


def test_pool_that_cannot_be_read_is_not_taken(monkeypatch, candidacy, taken):
    """Guards against hosts that take a pool in turn without placing any job.

    While some partitions of the store are unavailable, each host can take the pool, but
    cannot read it and gives it up, and the next one takes it.
    """

    def fail(host, pool):
        raise TableUnavailable()

    monkeypatch.setattr(module, "check_readable", fail)
    check_owner(candidacy, times=3)
    assert taken == []


def test_claim_is_reported_before_it_is_answered(candidacy, taken):
    """Guards against hosts that take a pool from each other after a store outage.

    One host reads the row of the other before that one knows that it is the owner. If
    that one denied it when queried, the pool would be taken from it.
    """
    check_owner(candidacy)
    assert candidacy._host.claims == taken == [1]


def test_pool_taken_by_another_during_the_check_is_not_taken(candidacy, rows, taken):
    """Guards against hosts that take a pool from each other after a store outage.

    While a host that suspects the owner reads the row, another host takes the pool, and
    the new row arrives through the followed table before the read is answered.
    """
    suspected = PoolRow("pool", "h2", 3, "127.0.0.1:9", 7)
    candidacy.note_row(suspected)
    rows[0] = PoolRow("pool", "h3", 4, "127.0.0.1:8", 8)
    candidacy.note_row(rows[0])
    candidacy._try_takeover(suspected)
    assert taken == []


def test_owner_that_took_the_pool_during_the_check_is_not_asked(candidacy, rows, taken):
    """Guards against a new owner that answers queries in place of its heartbeats.

    Hundreds of hosts suspected the same owner, found the pool taken and asked the new
    one whether it works. Those that it did not answer in time took the pool from it.
    """
    host = candidacy._host
    suspected = PoolRow("pool", "h2", 3, "127.0.0.1:9", 7)
    candidacy.note_row(suspected)
    rows[0] = PoolRow("pool", "h3", 4, "127.0.0.1:8", 8)
    host.not_owning.add("127.0.0.1:8")
    candidacy._try_takeover(suspected)
    assert (host.asked, taken) == (0, [])
    host.clock.advance(0.6)
    assert not candidacy._needs_owner()
    host.clock.advance(0.1)
    assert candidacy._needs_owner()


@pytest.fixture
def hundreds(candidacy):
    """Have the candidacy's host be one of three hundred."""
    candidacy._host.others = [SimpleNamespace(processors=1.0, name="x")] * 299
    return 299


def test_host_that_lost_the_race_for_a_pool_expects_the_winners_heartbeats(
    monkeypatch, candidacy, hundreds, rows, taken
):
    """Guards against the same when all hosts of a new cell claim its pool at once."""
    host = candidacy._host
    monkeypatch.setattr(module, "claim_pool", losing_to(rows, WINNER))
    host.not_owning.add("127.0.0.1:8")
    check_owner(candidacy)
    assert candidacy.row.owner == "h3"
    host.clock.advance(3 * beat_seconds(hundreds))
    assert not candidacy._needs_owner()
    host.clock.advance(0.5 * beat_seconds(hundreds))
    assert candidacy._needs_owner()
    assert (host.asked, taken) == (0, [])


@pytest.mark.parametrize("others", [0, 39])
def test_winner_of_a_small_cell_that_ended_is_replaced_at_once(
    monkeypatch, candidacy, rows, taken, others
):
    """Guards against a small cell that waits for the heartbeats of a dead process.

    A host that found out by losing the race asks the winner when it tries again.
    """
    host = candidacy._host
    host.others = [SimpleNamespace(processors=1.0, name="x")] * others

    with monkeypatch.context() as patched:
        patched.setattr(module, "claim_pool", losing_to(rows, WINNER))
        check_owner(candidacy)
    host.not_owning.add("127.0.0.1:8")
    check_owner(candidacy)
    assert taken == [2]


def test_host_that_does_not_know_the_winner_of_a_race_leaves_it_the_pool(
    monkeypatch, candidacy, rows, taken
):
    """Guards against a pool that is taken from a working owner at the first start.

    The host that lost can't ask the winner, whose row it has not read yet.
    """
    host = candidacy._host
    with monkeypatch.context() as patched:
        patched.setattr(module, "claim_pool", losing_to(rows, WINNER))
        check_owner(candidacy)
    host.unknown.add("h3")
    check_owner(candidacy)
    assert taken == []
    host.clock.advance(SILENT_SECONDS)
    check_owner(candidacy)
    assert taken == [2]


def test_released_pool_is_taken_at_once_by_a_host_that_lost_a_race(
    monkeypatch, candidacy, rows, taken
):
    claim = module.claim_pool

    with monkeypatch.context() as patched:
        patched.setattr(
            module, "claim_pool", losing_to(rows, PoolRow("pool", "", 4, "", 8))
        )
        check_owner(candidacy)
    assert module.claim_pool is claim
    check_owner(candidacy)
    assert taken == [5]
