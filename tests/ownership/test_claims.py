import pytest

from papayapick.clients import TableUnavailable, TransactionConflict, Write
from papayapick.ownership import ShardRow, TakeoverLost, claim, read_shard, release
from tests.fakes.scripted import (
    DONE_UNANSWERED,
    LATE,
    UNDONE_UNANSWERED,
    ScriptedTable,
)
from tests.standins.store import MemoryTable

SHARD = "hobart-a.0"
UNOWNED = ShardRow(SHARD, "", 0, 0)


def test_two_placers_that_read_the_same_row_do_not_both_own_it():
    """Both read epoch 0 and claim epoch 1; without the compare-and-set both
    place on the same hosts, and a user sees a host given twice its room.
    """
    table = MemoryTable()
    found = read_shard(table, SHARD)
    owned = claim(table, found, "placer-a")
    with pytest.raises(TakeoverLost) as lost:
        claim(table, found, "placer-b")
    assert (owned.owner, owned.epoch) == ("placer-a", 1)
    assert lost.value.details == {"shard": SHARD, "owner": "placer-a", "epoch": 1}


@pytest.mark.parametrize(
    ("step", "owner"),
    [
        (DONE_UNANSWERED, "placer-a"),
        (UNDONE_UNANSWERED, "placer-a"),
        (LATE, "placer-a"),
    ],
)
def test_a_claim_without_an_answer_is_settled_by_the_row(step, owner):
    """The claim's answer is lost, with the write done, not done or done late.
    A placer that took it for failed would leave the shard unserved; one that
    took it for done might serve a shard that another has.
    """
    table = ScriptedTable(step)
    owned = claim(table, UNOWNED, "placer-a")
    for _ in range(len(table.late)):
        with pytest.raises(TransactionConflict):
            table.apply_late()
    row = read_shard(table, SHARD)
    assert (row.owner, row.epoch, row.version) == (owner, 1, owned.version)


def test_a_lost_claim_that_never_took_effect_is_not_taken_for_done():
    """A's claim is lost on its way, B claims, then A looks. Two owners of one
    epoch would both be let in by the workers.
    """
    table = ScriptedTable(UNDONE_UNANSWERED)
    table.steps.insert(
        1, lambda: MemoryTable.transact(table, [], [_row("placer-b", 1)])
    )
    with pytest.raises(TakeoverLost) as lost:
        claim(table, UNOWNED, "placer-a")
    assert lost.value.details["owner"] == "placer-b"


def test_an_owner_replaced_before_it_reads_back_does_not_serve():
    """A's claim is done; before A reads the row's version, B, which holds A for
    dead, claims the next epoch. A would serve with B's version of the row, and
    its journal would take records on the strength of it.
    """
    table = MemoryTable()
    read = table.read

    def read_after_takeover(key):
        table.read = read
        claim(table, read_shard(table, SHARD), "placer-b")
        return read(key)

    table.read = read_after_takeover
    with pytest.raises(TakeoverLost) as lost:
        claim(table, UNOWNED, "placer-a")
    assert lost.value.details == {"shard": SHARD, "owner": "placer-b", "epoch": 2}


def test_a_claim_that_takes_effect_during_the_second_try_is_the_placers_own():
    """The first try takes effect late, between the look at the row and the
    second try, which then conflicts with the placer's own write. Taken for
    somebody else's, the shard would stay unserved.
    """
    table = ScriptedTable(LATE, lambda: table.apply_late())
    owned = claim(table, UNOWNED, "placer-a")
    assert (owned.owner, owned.epoch) == ("placer-a", 1)


def test_a_claim_in_an_outage_leaves_the_owner_unknown():
    """No answer at all: the placer must neither serve nor call it lost."""
    table = ScriptedTable(UNDONE_UNANSWERED, UNDONE_UNANSWERED)
    with pytest.raises(TableUnavailable):
        claim(table, UNOWNED, "placer-a")


def test_a_release_by_an_earlier_owner_does_not_free_the_shard():
    """A is frozen in its shutdown, B takes over, A wakes and releases: the
    shard would seem unowned while B serves it, and a third would take it.
    """
    table = MemoryTable()
    earlier = claim(table, UNOWNED, "placer-a")
    claim(table, earlier, "placer-b")
    with pytest.raises(TransactionConflict):
        release(table, earlier)
    assert read_shard(table, SHARD).owner == "placer-b"


def test_a_released_shard_keeps_its_epoch_so_that_the_next_is_higher():
    """An epoch that began again would be refused by every fenced worker."""
    table = MemoryTable()
    released = release(table, claim(table, UNOWNED, "placer-a"))
    assert claim(table, released, "placer-b").epoch == 2


def _row(owner, epoch):
    return Write("shard/" + SHARD, {"owner": owner, "epoch": epoch})
