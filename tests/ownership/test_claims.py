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


def test_only_one_of_two_placers_that_read_the_same_row_owns_it():
    """Both placers read epoch 0 and claim epoch 1. Without the compare-and-set
    both would place work on the same hosts and overcommit them.
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
def test_a_claim_without_an_answer_is_resolved_from_the_row(step, owner):
    """The answer to the claim is lost; the write was applied, not applied, or
    applied late. A placer that assumed failure would leave the shard unserved;
    one that assumed success might serve a shard that another placer owns.
    """
    table = ScriptedTable(step)
    owned = claim(table, UNOWNED, "placer-a")
    for _ in range(len(table.late)):
        with pytest.raises(TransactionConflict):
            table.apply_late()
    row = read_shard(table, SHARD)
    assert (row.owner, row.epoch, row.version) == (owner, 1, owned.version)


def test_a_lost_claim_that_never_took_effect_is_not_assumed_successful():
    """A's claim is lost in transit, B claims the shard, then A reads the row.
    Workers would accept two owners with the same epoch.
    """
    table = ScriptedTable(UNDONE_UNANSWERED)
    table.steps.insert(
        1, lambda: MemoryTable.transact(table, [], [_row("placer-b", 1)])
    )
    with pytest.raises(TakeoverLost) as lost:
        claim(table, UNOWNED, "placer-a")
    assert lost.value.details["owner"] == "placer-b"


def test_an_owner_replaced_before_it_reads_back_does_not_serve():
    """A's claim takes effect. Before A reads the row's version, B, which considers
    A dead, claims the next epoch. A would serve under B's version of the row, and
    A's journal would accept records under it.
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


def test_a_claim_that_takes_effect_during_the_retry_succeeds():
    """The first attempt takes effect late, between the read of the row and the
    second attempt, which then conflicts with the placer's own write. If the
    write were mistaken for another placer's, the shard would stay unserved.
    """
    table = ScriptedTable(LATE, lambda: table.apply_late())
    owned = claim(table, UNOWNED, "placer-a")
    assert (owned.owner, owned.epoch) == ("placer-a", 1)


def test_a_claim_in_an_outage_leaves_the_owner_unknown():
    """Without any answer the placer must neither serve the shard nor report it lost."""
    table = ScriptedTable(UNDONE_UNANSWERED, UNDONE_UNANSWERED)
    with pytest.raises(TableUnavailable):
        claim(table, UNOWNED, "placer-a")


def test_a_release_by_an_earlier_owner_does_not_free_the_shard():
    """A is paused during its shutdown, B takes over, A resumes and releases. The
    shard would seem unowned while B serves it, and a third placer would claim it.
    """
    table = MemoryTable()
    earlier = claim(table, UNOWNED, "placer-a")
    claim(table, earlier, "placer-b")
    with pytest.raises(TransactionConflict):
        release(table, earlier)
    assert read_shard(table, SHARD).owner == "placer-b"


def test_a_released_shard_keeps_its_epoch_so_that_the_next_one_is_higher():
    """Every fenced worker would refuse an owner whose epoch restarted."""
    table = MemoryTable()
    released = release(table, claim(table, UNOWNED, "placer-a"))
    assert claim(table, released, "placer-b").epoch == 2


def _row(owner, epoch):
    return Write("shard/" + SHARD, {"owner": owner, "epoch": epoch})
