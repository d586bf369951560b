"""Rolls of bundles: races of operators, lost answers, signatures, topology."""

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


def test_only_one_of_two_concurrent_rolls_is_accepted(cell):
    """Ana's proposal has expired, Ben proposes, and both accept. If both accepts
    succeeded, processes would run two bundles under one sequence.
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


def test_an_open_proposal_cannot_be_replaced(cell):
    """Ben proposes while processes still acknowledge Ana's proposal; the error
    names her as the operator.
    """
    cell.propose(cell.envelope("one"), "ana")
    with pytest.raises(RollUnderWay) as refused:
        cell.propose(cell.envelope("two"), "ben")
    assert refused.value.details["operator"] == "ana"


def test_an_accept_that_loses_a_write_race_names_the_other_operator(cell):
    """Both operators have read the head, and Ben's write is applied first."""
    first = cell.propose(cell.envelope("one"), "ana")
    cell.clock.advance(PROPOSAL_SECONDS)
    second = None

    def accept_other():
        nonlocal second
        cell.table.steps = []
        second = cell.propose(cell.envelope("two"), "ben")
        accept(cell.table, second)

    cell.table.steps = [accept_other]
    with pytest.raises(RollConflict) as lost:
        accept(cell.table, first)
    assert lost.value.details["operator"] == "ben"
    assert read_head(cell.table).digest == second.digest


@pytest.mark.parametrize("step", [DONE_UNANSWERED, UNDONE_UNANSWERED, LATE])
def test_an_accept_whose_answer_is_lost_is_resolved(cell, step):
    """The answer to the accepting write is lost. If the accept were reported as
    failed, the operator would roll again or roll back a bundle that is in force.
    """
    proposal = cell.propose(cell.envelope("one"))
    cell.table.steps = [step]
    assert accept(cell.table, proposal).sequence == 1
    for _ in range(len(cell.table.late)):
        with pytest.raises(TransactionConflict):
            cell.table.apply_late()
    assert read_head(cell.table).digest == proposal.digest
    assert accept(cell.table, proposal).sequence == 1


def test_a_lost_accept_is_resolved_after_the_head_has_changed(cell):
    """Ana's accept is applied, its answer is lost, and Ben proposes the next
    bundle before she reads the head. The head row then names Ben; an error that
    he was first would suggest to Ana that her bundle is not in force.
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
    """The table is unavailable, so the outcome is neither accepted nor rejected."""
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


def test_a_rollback_gets_a_new_higher_sequence(cell):
    """Operators roll back to the first bundle. Processes never go to a lower
    sequence, so under its old sequence they would stay on the second bundle.
    """
    first = cell.roll("one")
    cell.roll("two")
    envelope = fetch_envelope(cell.objects, first.digest, cell.keyring)
    rollback = accept(cell.table, cell.propose(envelope, "ben"))
    process = cell.process("gateway-1")
    process.watcher.refresh()
    assert (rollback.sequence, process.watcher.sequence, process.label) == (3, 3, "one")


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
    """One signature of two, a signature of another document, or one operator's
    signature twice: no process puts such a bundle in force, even if it was
    written to the table.
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
    """A caller retries a fee run under its idempotency key after the roll. The key
    would map to another shard, whose journal does not have it, and the fee would
    be charged twice.
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
def test_zones_of_other_regions_may_be_added_and_removed(cell, zones):
    cell.roll("one")
    regions = [REGIONS[0], {"name": "north-tas", "zones": zones}]
    assert cell.roll("two", regions=regions).sequence == 2


def test_the_first_bundle_of_a_cell_may_have_any_topology(cell):
    assert cell.roll("one", shards_per_zone=3).sequence == 1
