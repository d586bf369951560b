"""Propose, accept and acknowledge bundles."""

from papayapick.bundle.exceptions import RollConflict
from papayapick.bundle.heads import (
    HEAD_KEY,
    SEEN_PREFIX,
    Head,
    Proposal,
    accepted_key,
)
from papayapick.bundle.queries import (
    object_name,
    read_accepted,
    read_head,
    stored_bundle,
)
from papayapick.bundle.topology import check_topology_kept
from papayapick.clients import Condition, TransactionConflict, Write
from papayapick.clients.transactions import transact_with_retry

__all__ = ["accept", "acknowledge", "propose"]

PROPOSAL_SECONDS = 30.0
# A cell may roll thousands of bundles a day; whoever settles an accept by its
# row does so within seconds.
_ACCEPTED_KEPT = 1000


def propose(table, objects, envelope, operator, now):
    """Store a verified bundle and offer it to every process.

    Parameters
    ----------
    table : TableProtocol
    objects : ObjectsProtocol
    envelope : Envelope
        Its signatures have been checked.
    operator : str
    now : float
        Seconds since the epoch.

    Returns
    -------
    Proposal

    Raises
    ------
    RollUnderWay, RollConflict, TopologyMoved, TableUnavailable,
    ObjectsUnavailable
    """
    digest = envelope.bundle.digest
    head = read_head(table)
    if head.proposal is not None:
        head.proposal.refuse_if_open(now, PROPOSAL_SECONDS)
    if head.sequence:
        check_topology_kept(stored_bundle(objects, head.digest), envelope.bundle)
    objects.put(object_name(digest), envelope.to_bytes())
    proposal = Proposal(head.sequence + 1, digest, operator, now)
    _change_head(table, head, head.as_mapping(proposal))
    return proposal


def accept(table, proposal):
    """Put a proposal in force.

    The change is a compare-and-set of the one row that holds both, so of two
    operators one wins; a lost answer is settled by reading the row back.

    Returns
    -------
    Head

    Raises
    ------
    RollConflict
        Names the winner.
    TableUnavailable
        The outcome is not known; look again.
    """
    head = read_head(table)
    if head.proposal is None or head.proposal.as_mapping() != proposal.as_mapping():
        return _settle(table, head, proposal)
    accepted = Head(
        proposal.sequence, proposal.digest, proposal.operator, None, head.version
    )
    writes = [
        Write(HEAD_KEY, accepted.as_mapping()),
        Write(accepted_key(proposal.sequence), proposal.as_mapping()),
        Write(accepted_key(proposal.sequence - _ACCEPTED_KEPT), None),
    ]
    try:
        transact_with_retry(table, [Condition(HEAD_KEY, head.version)], writes)
    except TransactionConflict:
        return _settle(table, read_head(table), proposal)
    return accepted


def _settle(table, head, proposal):
    # The head may have gone on to another's proposal before a lost answer was
    # settled. It then looks as if that operator had won, though this bundle is
    # in force; the row of the sequence tells for good what was accepted.
    accepted = read_accepted(table, proposal.sequence)
    if accepted is None:
        raise _conflict(head)
    if accepted.as_mapping() != proposal.as_mapping():
        raise RollConflict(
            operator=accepted.operator,
            digest=accepted.digest[:12],
            sequence=accepted.sequence,
        )
    return Head(
        proposal.sequence, proposal.digest, proposal.operator, None, head.version
    )


def withdraw(table, proposal):
    """Take back a proposal that has not been accepted, if it is still there."""
    head = read_head(table)
    if head.proposal and head.proposal.as_mapping() == proposal.as_mapping():
        _change_head(table, head, head.as_mapping())


def acknowledge(table, host, sequence, digest, state):
    """Say that a process has verified a bundle or put it in force."""
    value = {"sequence": sequence, "digest": digest, "state": state}
    table.transact([], [Write(SEEN_PREFIX + host, value)])


def _change_head(table, head, value):
    try:
        transact_with_retry(
            table, [Condition(HEAD_KEY, head.version)], [Write(HEAD_KEY, value)]
        )
    except TransactionConflict as error:
        raise _conflict(read_head(table)) from error


def _conflict(head):
    winner = head.proposal or head
    return RollConflict(
        operator=winner.operator or "nobody",
        digest=winner.digest[:12],
        sequence=winner.sequence,
    )
