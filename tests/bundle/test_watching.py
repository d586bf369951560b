"""Bundle watchers: rolls, table outages, pauses and confirmation by peers."""

import pytest

from papayapick.bundle import BundleMissing, SignaturesMissing
from papayapick.bundle.commands import accept
from papayapick.bundle.exceptions import BundleUnconfirmed
from papayapick.bundle.heads import IN_FORCE, VERIFIED
from papayapick.bundle.queries import read_acknowledgements
from tests.bundle.simulation import Cell, pause_all, tick


@pytest.fixture
def cell():
    return Cell()


def running(cell, *names):
    """Return processes that have read the head from the table."""
    processes = [cell.process(name) for name in names]
    for process in processes:
        process.watcher.refresh()
    return processes


def table_down(cell):
    cell.table.board.set("table", "down")
    cell.table.board.set("objects", "down")
    cell.objects.board.set("objects", "down")


def test_a_process_acknowledges_verified_and_active_bundles(cell):
    proposal = cell.propose(cell.envelope("one"))
    (process,) = running(cell, "gateway-1")
    assert read_acknowledgements(cell.table)["gateway-1"]["state"] == VERIFIED
    with pytest.raises(BundleMissing):
        assert process.label
    accept(cell.table, proposal)
    process.watcher.refresh()
    assert read_acknowledgements(cell.table)["gateway-1"]["state"] == IN_FORCE


def test_a_bundle_spreads_through_peers_while_the_table_is_down(cell):
    """The table becomes unavailable right after the accept, when one process has
    read it. The others must not run the old bundle for the whole outage.
    """
    cell.roll("one")
    first, second, third = running(cell, "p1", "p2", "p3")
    cell.roll("two")
    first.watcher.refresh()
    table_down(cell)
    second.ask(first)
    third.ask(second)
    assert [process.label for process in (first, second, third)] == ["two"] * 3


def test_a_new_process_adopts_the_highest_head_of_its_peers(cell):
    """A host is replaced while the table is unavailable, and one of its peers is
    behind. In whichever order the peers answer, the newest bundle stays in force.
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


def test_a_delayed_answer_does_not_replace_a_newer_bundle(cell):
    """A peer's answer is delayed until the next bundle is in force."""
    cell.roll("one")
    first, second = running(cell, "p1", "p2")
    delayed = first.head(second)
    cell.roll("two")
    second.watcher.refresh()
    second.read(delayed, first)
    assert second.label == "two"


def test_a_bundle_fetched_while_a_newer_one_is_put_in_force_is_dropped(cell):
    """One thread fetches the second bundle from a peer while another puts the
    third in force. The second must not replace the third.
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


def test_a_bundle_from_a_peer_is_verified(cell):
    """A peer sends a bundle with one signature of two required."""
    cell.roll("one")
    first, second = running(cell, "p1", "p2")
    bad = cell.envelope("bad", signers=("ana",))
    head = first.head(second)
    head.sequence, head.digest = 9, bad.bundle.digest
    second.watcher.handle_peer_head(head, bad.to_bytes)
    assert (second.watcher.sequence, second.label) == (1, "one")
    with pytest.raises(SignaturesMissing):
        cell.keyring.verify(bad)


def test_a_process_paused_during_a_roll_is_unconfirmed_until_it_reads_the_head(cell):
    """A gateway is paused while a bundle is rolled to all other processes. After
    the pause it would admit work under the limits of the previous bundle.
    """
    cell.roll("one")
    (paused,) = running(cell, "gateway-1")
    assert paused.watcher.is_confirmed
    pause_all(cell)
    cell.roll("two")
    assert not paused.watcher.is_confirmed
    paused.watcher.confirm()
    assert (paused.watcher.is_confirmed, paused.label) == (True, "two")


def test_a_paused_process_stays_unconfirmed_without_table_and_peers(cell):
    """After the pause the table is unavailable and there is no peer. The process
    answers "not run" with Retry-After instead of running work under a bundle
    that may have been replaced.
    """
    cell.roll("one")
    (paused,) = running(cell, "gateway-1")
    table_down(cell)
    pause_all(cell)
    with pytest.raises(BundleUnconfirmed) as refused:
        paused.watcher.confirm()
    assert (refused.value.outcome, refused.value.retry_after) == ("not_run", 1.0)


@pytest.mark.parametrize(
    ("asked", "is_confirmed"), [(0, False), (1, False), (2, True), (3, True)]
)
def test_a_majority_of_placers_confirms_a_paused_process_in_an_outage(
    cell, asked, is_confirmed
):
    """One placer may be partitioned from those that have the newest bundle, so its
    answer alone is not enough; the answers of more than half of them are.
    """
    cell.roll("one")
    paused, *peers = running(cell, "gateway-1", "p1", "p2", "p3")
    cell.roll("two")
    peers[-1].watcher.refresh()
    peers[0].watcher.refresh()
    peers[1].watcher.refresh()
    table_down(cell)
    for _ in range(10):
        cell.clock.advance(0.5)
        tick(peers)
    for peer in peers[:asked]:
        paused.ask(peer)
    assert paused.watcher.is_confirmed == is_confirmed
    if is_confirmed:
        assert paused.label == "two"


def test_two_answers_of_one_placer_count_once(cell):
    cell.roll("one")
    paused, peer = running(cell, "gateway-1", "p1")
    for _ in range(10):
        cell.clock.advance(0.5)
        tick([peer])
    paused.ask(peer)
    paused.ask(peer)
    assert not paused.watcher.is_confirmed


def test_peers_that_were_paused_too_confirm_nothing(cell):
    """All processes of a rack are paused during the roll and resume while the
    table is unavailable. They must not confirm each other's old bundle.
    """
    cell.roll("one")
    paused, *peers = running(cell, "gateway-1", "p1", "p2", "p3")
    pause_all(cell)
    cell.roll("two")
    table_down(cell)
    for peer in peers:
        paused.ask(peer)
    assert not paused.watcher.is_confirmed


def test_an_answer_requested_before_the_pause_confirms_nothing(cell):
    """Answers from before the roll are still in the socket buffer of a paused
    process.
    """
    cell.roll("one")
    paused, *peers = running(cell, "gateway-1", "p1", "p2", "p3")
    buffered = [(peer.head(paused), peer) for peer in peers]
    pause_all(cell)
    table_down(cell)
    for head, peer in buffered:
        paused.read(head, peer)
    assert not paused.watcher.is_confirmed


def test_a_new_process_is_unconfirmed_until_it_has_read_the_head(cell):
    """It gets a bundle from one peer, which may be behind the others."""
    cell.roll("one")
    (peer,) = running(cell, "p1")
    table_down(cell)
    fresh = cell.process("gateway-1")
    fresh.ask(peer)
    assert (fresh.label, fresh.watcher.is_confirmed) == ("one", False)
