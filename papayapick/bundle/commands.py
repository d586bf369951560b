"""Propose, accept, withdraw and acknowledge bundles."""

from papayapick.bundle.exceptions import RollConflict
from papayapick.bundle.heads import (
    ACKNOWLEDGEMENT_PREFIX,
    HEAD_KEY,
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
from papayapick.bundle.topology import check_topology_unchanged
from papayapick.clients import Condition, TransactionConflict, Write
from papayapick.clients.commands import transact_with_retry

__all__ = ["accept", "acknowledge", "propose"]

PROPOSAL_SECONDS = 30.0
# A cell may roll thousands of bundles a day, and an accept whose answer was lost
# is checked against its row within seconds.
_MAX_ACCEPTED_ROWS = 1000


def propose(table, objects, envelope, operator, now):
    """Store a verified bundle and propose it to the processes of the cell.

    Parameters
    ----------
    table : TableProtocol
    objects : ObjectsProtocol
    envelope : Envelope
        Its signatures have been verified.
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
        check_topology_unchanged(stored_bundle(objects, head.digest), envelope.bundle)
    objects.put(object_name(digest), envelope.to_bytes())
    proposal = Proposal(head.sequence + 1, digest, operator, now)
    _write_head(table, head, head.as_mapping(proposal))
    return proposal


def accept(table, proposal):
    """Accept a proposal, which puts its bundle in force.

    The change is a compare-and-set of the row that holds both the accepted bundle
    and the open proposal, so only one of two concurrent operators succeeds. When
    the answer to the write is lost, the outcome is determined by reading the
    stored rows.

    Returns
    -------
    Head

    Raises
    ------
    RollConflict
        Another proposal was accepted; the error names its operator.
    TableUnavailable
        The outcome is unknown; read the head again.
    """
    head = read_head(table)
    if head.proposal is None or head.proposal.as_mapping() != proposal.as_mapping():
        return _resolve_outcome(table, head, proposal)
    accepted = Head(
        proposal.sequence, proposal.digest, proposal.operator, None, head.version
    )
    writes = [
        Write(HEAD_KEY, accepted.as_mapping()),
        Write(accepted_key(proposal.sequence), proposal.as_mapping()),
        Write(accepted_key(proposal.sequence - _MAX_ACCEPTED_ROWS), None),
    ]
    try:
        transact_with_retry(table, [Condition(HEAD_KEY, head.version)], writes)
    except TransactionConflict:
        return _resolve_outcome(table, read_head(table), proposal)
    return accepted


def _resolve_outcome(table, head, proposal):
    # Another operator may have proposed the next bundle before the outcome of this
    # accept is checked. The head then names that operator although this bundle is
    # in force, so the row of the sequence, which never changes, decides.
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
    """Withdraw a proposal that has not been accepted, if it is still open."""
    head = read_head(table)
    if head.proposal and head.proposal.as_mapping() == proposal.as_mapping():
        _write_head(table, head, head.as_mapping())


def acknowledge(table, host, sequence, digest, state):
    """Record that a process has verified a bundle or put it in force."""
    value = {"sequence": sequence, "digest": digest, "state": state}
    table.transact([], [Write(ACKNOWLEDGEMENT_PREFIX + host, value)])


def _write_head(table, head, value):
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
