import pytest

from papayapick.bundle import (
    RollConflict,
    RollUnderWay,
    SignaturesMissing,
    TopologyMoved,
)
from papayapick.bundle.commands import PROPOSAL_SECONDS, accept, withdraw
from papayapick.bundle.queries import fetch_envelope, read_head
from papayapick.clients import TableUnavailable, TransactionConflict
from tests.bundle.simulation import Cell
from tests.fakes.scripted import DONE_UNANSWERED, LATE, UNDONE_UNANSWERED

REGIONS = [
    {"name": "south-tas", "zones": ["hobart-a", "kingston-b"]},
    {"name": "north-tas", "zones": ["launceston-a"]},
]


@pytest.fixture
def cell():
    return Cell()


def test_of_two_operators_that_roll_at_once_one_wins(cell):
    """Ana's proposal has waited past the patience, Ben proposes and both
    accept. Had both won, the processes would run two bundles as one sequence.
    """
    first = cell.propose(cell.envelope("one"), "ana")
    cell.clock.advance(PROPOSAL_SECONDS)
    second = cell.propose(cell.envelope("two"), "ben")
    accepted = accept(cell.table, second)
    with pytest.raises(RollConflict) as lost:
        accept(cell.table, first)
    assert lost.value.details == {
        "operator": "ben",
        "digest": accepted.digest[:12],
        "sequence": 1,
    }


def test_a_proposal_is_not_pushed_aside_while_it_is_young(cell):
    """Ben rolls while Ana's processes acknowledge: he hears who is rolling."""
    cell.propose(cell.envelope("one"), "ana")
    with pytest.raises(RollUnderWay) as refused:
        cell.propose(cell.envelope("two"), "ben")
    assert refused.value.details["operator"] == "ana"


def test_an_accept_that_lost_the_race_of_writes_names_the_winner(cell):
    """Both have read the head when Ben's write takes effect first."""
    first = cell.propose(cell.envelope("one"), "ana")
    cell.clock.advance(PROPOSAL_SECONDS)
    second = None

    def win():
        nonlocal second
        cell.table.steps = []
        second = cell.propose(cell.envelope("two"), "ben")
        accept(cell.table, second)

    cell.table.steps = [win]
    with pytest.raises(RollConflict) as lost:
        accept(cell.table, first)
    assert lost.value.details["operator"] == "ben"
    assert read_head(cell.table).digest == second.digest


@pytest.mark.parametrize("step", [DONE_UNANSWERED, UNDONE_UNANSWERED, LATE])
def test_an_accept_without_an_answer_is_settled(cell, step):
    """The answer of the accepting write is lost. An operator who is told that
    it failed would roll again, or step back from what is in force.
    """
    proposal = cell.propose(cell.envelope("one"))
    cell.table.steps = [step]
    assert accept(cell.table, proposal).sequence == 1
    for _ in range(len(cell.table.late)):
        with pytest.raises(TransactionConflict):
            cell.table.apply_late()
    assert read_head(cell.table).digest == proposal.digest
    assert accept(cell.table, proposal).sequence == 1


def test_a_lost_accept_is_settled_though_the_head_has_gone_on(cell):
    """Ana's accept takes effect, its answer is lost, and before she looks Ben
    proposes the next bundle. The head's row is Ben's then; told that he won,
    Ana would think her bundle is not in force.
    """
    first = cell.propose(cell.envelope("one"), "ana")
    read = cell.table.read

    def read_after_ben(key):
        cell.table.read = read
        cell.propose(cell.envelope("two"), "ben")
        return read(key)

    cell.table.steps = [
        lambda: setattr(cell.table, "read", read_after_ben),
        DONE_UNANSWERED,
    ]
    assert accept(cell.table, first).digest == first.digest
    assert read_head(cell.table).proposal.operator == "ben"


def test_an_accept_in_an_outage_is_unknown(cell):
    """The table is down: neither accepted nor refused is told."""
    proposal = cell.propose(cell.envelope("one"))
    cell.table.steps = [UNDONE_UNANSWERED, UNDONE_UNANSWERED]
    with pytest.raises(TableUnavailable):
        accept(cell.table, proposal)


def test_a_withdrawn_proposal_cannot_be_accepted(cell):
    proposal = cell.propose(cell.envelope("one"))
    withdraw(cell.table, proposal)
    with pytest.raises(RollConflict):
        accept(cell.table, proposal)
    assert read_head(cell.table).sequence == 0


def test_a_step_back_is_a_new_higher_sequence(cell):
    """The operators step back to the first bundle. With its old sequence the
    processes, which never lower theirs, would keep the second for ever.
    """
    first = cell.roll("one")
    cell.roll("two")
    envelope = fetch_envelope(cell.objects, first.digest, cell.keyring)
    back = accept(cell.table, cell.propose(envelope, "ben"))
    process = cell.process("gateway-1")
    process.watcher.refresh()
    assert (back.sequence, process.watcher.sequence, process.label) == (3, 3, "one")


@pytest.mark.parametrize(
    ("signers", "spoil"),
    [
        ((), None),
        (("ana",), None),
        (("ana", "ben"), "document"),
        (("ana", "ben"), "signature"),
        (("ana", "ben"), "same key twice"),
    ],
)
def test_a_bundle_without_enough_signatures_is_in_force_nowhere(cell, signers, spoil):
    """One signature of two, a signature of another document or one person's
    twice: whoever writes the table, no process puts it in force.
    """
    envelope = cell.envelope("one", signers)
    if spoil == "document":
        envelope.signatures.update(cell.envelope("two", signers).signatures)
    elif spoil == "signature":
        envelope.signatures["ben"] = envelope.signatures["ben"][::-1]
    elif spoil == "same key twice":
        envelope.signatures["ben"] = envelope.signatures["ana"]
    with pytest.raises(SignaturesMissing):
        cell.keyring.verify(envelope)
    accept(cell.table, cell.propose(envelope))
    process = cell.process("gateway-1")
    process.watcher.refresh()
    assert process.watcher.sequence == 0


@pytest.mark.parametrize(
    ("topology", "part"),
    [
        ({"shards_per_zone": 2}, "shards_per_zone"),
        ({"store_region": "north-tas"}, "store_region"),
        (
            {
                "regions": [
                    {"name": "south-tas", "zones": ["hobart-a"]},
                    REGIONS[1],
                ]
            },
            "zones of the store's region",
        ),
        (
            {
                "regions": [
                    {"name": "south-tas", "zones": ["kingston-b", "hobart-a"]},
                    REGIONS[1],
                ]
            },
            "zones of the store's region",
        ),
        (
            {
                "regions": [
                    {"name": "south-tas", "zones": ["hobart-a", "kingston-b", "c"]},
                    REGIONS[1],
                ]
            },
            "zones of the store's region",
        ),
    ],
)
def test_a_topology_that_would_move_keys_is_refused(cell, topology, part):
    """A member repeats a fee run under its key after the roll; the key maps to
    another shard, whose journal does not know it, and the member pays twice.
    """
    cell.roll("one")
    moved = cell.envelope("two", **topology)
    with pytest.raises(TopologyMoved) as refused:
        cell.propose(moved)
    assert refused.value.details["part"] == part
    assert read_head(cell.table).proposal is None


@pytest.mark.parametrize(
    "zones", [["launceston-a", "burnie-b"], ["burnie-b"]], ids=["added", "replaced"]
)
def test_zones_of_other_regions_may_come_and_go(cell, zones):
    cell.roll("one")
    regions = [REGIONS[0], {"name": "north-tas", "zones": zones}]
    assert cell.roll("two", regions=regions).sequence == 2


def test_the_first_bundle_of_a_cell_may_have_any_topology(cell):
    assert cell.roll("one", shards_per_zone=3).sequence == 1
