import pytest

from papayapick.bundle import BundleMissing, SignaturesMissing
from papayapick.bundle.commands import accept
from papayapick.bundle.exceptions import BundleUnconfirmed
from papayapick.bundle.heads import IN_FORCE, VERIFIED
from papayapick.bundle.queries import read_acknowledgements
from tests.bundle.simulation import Cell, freeze, tick


@pytest.fixture
def cell():
    return Cell()


def running(cell, *names):
    """Return processes that have looked at the table."""
    processes = [cell.process(name) for name in names]
    for process in processes:
        process.watcher.refresh()
    return processes


def table_down(cell):
    cell.table.board.set("table", "down")
    cell.table.board.set("objects", "down")
    cell.objects.board.set("objects", "down")


def test_a_process_acknowledges_what_it_verified_and_what_is_in_force(cell):
    proposal = cell.propose(cell.envelope("one"))
    (process,) = running(cell, "gateway-1")
    assert read_acknowledgements(cell.table)["gateway-1"]["state"] == VERIFIED
    with pytest.raises(BundleMissing):
        assert process.label
    accept(cell.table, proposal)
    process.watcher.refresh()
    assert read_acknowledgements(cell.table)["gateway-1"]["state"] == IN_FORCE


def test_a_bundle_spreads_through_peers_while_the_table_is_down(cell):
    """The table goes down right after the accept; one process has looked. The
    others must not run the old bundle for the whole outage.
    """
    cell.roll("one")
    first, second, third = running(cell, "p1", "p2", "p3")
    cell.roll("two")
    first.watcher.refresh()
    table_down(cell)
    second.ask(first)
    third.ask(second)
    assert [found.label for found in (first, second, third)] == ["two"] * 3


def test_a_process_started_from_nothing_takes_the_highest_head_of_its_peers(cell):
    """A host is replaced while the table is down; one of its peers is behind.
    Asked in whichever order, the newest bundle stays in force.
    """
    cell.roll("one")
    behind, newest = running(cell, "p1", "p2")
    cell.roll("two")
    newest.watcher.refresh()
    table_down(cell)
    for order in ([behind, newest], [newest, behind]):
        fresh = cell.process("p3")
        for peer in order:
            fresh.ask(peer)
        assert (fresh.watcher.sequence, fresh.label) == (2, "two")


def test_an_older_message_does_not_take_a_newer_bundle_back(cell):
    """A peer's answer waits unread while the next bundle comes into force."""
    cell.roll("one")
    first, second = running(cell, "p1", "p2")
    late = first.head(second)
    cell.roll("two")
    second.watcher.refresh()
    second.read(late, first)
    assert second.label == "two"


def test_a_bundle_that_arrives_while_a_newer_one_is_put_in_force_loses(cell):
    """One thread fetches the second bundle from a peer while another puts the
    third in force; the one that comes last must not win.
    """
    cell.roll("one")
    first, second = running(cell, "p1", "p2")
    cell.roll("two")
    first.watcher.refresh()
    head = first.head(second)
    cell.roll("three")

    def fetch():
        second.watcher.refresh()
        return first.watcher.envelope_bytes(head.digest)

    second.watcher.handle_peer_head(head, fetch)
    assert (second.watcher.sequence, second.label) == (3, "three")


def test_a_bundle_of_a_peer_is_verified_as_one_of_the_store(cell):
    """A peer hands over a bundle with one signature of two."""
    cell.roll("one")
    first, second = running(cell, "p1", "p2")
    bad = cell.envelope("bad", signers=("ana",))
    head = first.head(second)
    head.sequence, head.digest = 9, bad.bundle.digest
    second.watcher.handle_peer_head(head, bad.to_bytes)
    assert (second.watcher.sequence, second.label) == (1, "one")
    with pytest.raises(SignaturesMissing):
        cell.keyring.verify(bad)


def test_a_process_frozen_through_a_roll_decides_nothing_before_it_looks(cell):
    """A gateway is frozen, a bundle is rolled everywhere else, the gateway
    wakes: it would admit work under the limits of the bundle before.
    """
    cell.roll("one")
    (frozen,) = running(cell, "gateway-1")
    assert frozen.watcher.is_confirmed
    freeze(cell)
    cell.roll("two")
    assert not frozen.watcher.is_confirmed
    frozen.watcher.confirm()
    assert (frozen.watcher.is_confirmed, frozen.label) == (True, "two")


def test_a_woken_process_stays_unconfirmed_while_nobody_can_tell(cell):
    """It wakes with the table down and no peer: "not run" with Retry-After is
    true, work under a replaced bundle is not.
    """
    cell.roll("one")
    (frozen,) = running(cell, "gateway-1")
    table_down(cell)
    freeze(cell)
    with pytest.raises(BundleUnconfirmed) as refused:
        frozen.watcher.confirm()
    assert (refused.value.outcome, refused.value.retry_after) == ("not_run", 1.0)


@pytest.mark.parametrize(
    ("asked", "is_confirmed"), [(0, False), (1, False), (2, True), (3, True)]
)
def test_a_woken_process_goes_by_most_placers_while_the_table_is_down(
    cell, asked, is_confirmed
):
    """One placer may be cut off from those that took the newest bundle, so its
    word alone does not count; the word of more than half of them does.
    """
    cell.roll("one")
    frozen, *peers = running(cell, "gateway-1", "p1", "p2", "p3")
    cell.roll("two")
    peers[-1].watcher.refresh()
    peers[0].watcher.refresh()
    peers[1].watcher.refresh()
    table_down(cell)
    for _ in range(10):
        cell.clock.advance(0.5)
        tick(peers)
    for peer in peers[:asked]:
        frozen.ask(peer)
    assert frozen.watcher.is_confirmed == is_confirmed
    if is_confirmed:
        assert frozen.label == "two"


def test_one_placer_asked_twice_is_one(cell):
    cell.roll("one")
    frozen, peer = running(cell, "gateway-1", "p1")
    for _ in range(10):
        cell.clock.advance(0.5)
        tick([peer])
    frozen.ask(peer)
    frozen.ask(peer)
    assert not frozen.watcher.is_confirmed


def test_peers_that_were_frozen_too_confirm_nothing(cell):
    """A switch freezes a whole rack through the roll, and all wake at once
    with the table down: they must not confirm each other's old bundle.
    """
    cell.roll("one")
    frozen, *peers = running(cell, "gateway-1", "p1", "p2", "p3")
    freeze(cell)
    cell.roll("two")
    table_down(cell)
    for peer in peers:
        frozen.ask(peer)
    assert not frozen.watcher.is_confirmed


def test_an_answer_asked_for_before_the_pause_confirms_nothing(cell):
    """Answers of before the roll wait in the socket of a frozen process."""
    cell.roll("one")
    frozen, *peers = running(cell, "gateway-1", "p1", "p2", "p3")
    waiting = [(peer.head(frozen), peer) for peer in peers]
    freeze(cell)
    table_down(cell)
    for head, peer in waiting:
        frozen.read(head, peer)
    assert not frozen.watcher.is_confirmed


def test_a_process_started_from_nothing_is_unconfirmed_until_it_has_looked(cell):
    """It hears of a bundle from one peer, which may be behind the others."""
    cell.roll("one")
    (peer,) = running(cell, "p1")
    table_down(cell)
    fresh = cell.process("gateway-1")
    fresh.ask(peer)
    assert (fresh.label, fresh.watcher.is_confirmed) == ("one", False)
