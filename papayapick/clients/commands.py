"""Settle transactions whose answers were lost."""

import uuid

from papayapick.clients.exceptions import TableUnavailable, TransactionConflict
from papayapick.clients.types import Condition, Write

__all__ = ["transact_settled"]

_MARKER = "written_by"


def transact_settled(table, conditions, writes):
    """Apply a transaction and settle a lost answer by reading back.

    The first write carries a marker that no other writer uses. Where the
    answer is lost, or a conflict is met on a second try, the row tells whether
    the first try took effect: without this, a writer whose answer was lost
    would see its own write as somebody else's and report a conflict.

    Parameters
    ----------
    table : TableProtocol
    conditions : list of Condition
    writes : list of Write
        The first must set a value.

    Raises
    ------
    TransactionConflict
        Nothing was written, or the answer was lost and another writer has
        changed the row since.
    TableUnavailable
        The effect is still unknown.
    """
    marker = uuid.uuid4().hex
    first = writes[0]
    marked = Write(first.key, {**first.value, _MARKER: marker})
    try:
        table.transact(conditions, [marked, *writes[1:]])
    except TableUnavailable:
        if not _was_applied(table, first.key, marker):
            _apply_again(table, conditions, [marked, *writes[1:]], marker)


def _apply_again(table, conditions, writes, marker):
    try:
        table.transact(conditions, writes)
    except TransactionConflict:
        # The first try may have been under way while the row was read.
        if not _was_applied(table, writes[0].key, marker):
            raise


def _was_applied(table, key, marker):
    row = table.read(key)
    return row is not None and row.value.get(_MARKER) == marker


def require_version(row, key):
    """Return the condition that a row is still as it was read.

    Parameters
    ----------
    row : Row or None
    key : str
    """
    return Condition(key, row.version if row is not None else 0)
