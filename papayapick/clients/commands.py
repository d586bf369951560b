"""Retry a transaction whose answer was lost without applying it twice."""

import uuid

from papayapick.clients.exceptions import TableUnavailable, TransactionConflict
from papayapick.clients.types import Condition, Write

__all__ = ["transact_with_retry"]

_MARKER = "written_by"


def transact_with_retry(table, conditions, writes):
    """Apply a transaction; retry it once if its answer is lost.

    The first write carries a marker that no other writer uses. After a lost
    answer, or a conflict on the second attempt, the row is read back and its marker
    tells whether the first attempt took effect. Without this check, a writer whose
    answer was lost would take its own write for another writer's and report a
    conflict.

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
        Whether the transaction took effect is still unknown.
    """
    marker = uuid.uuid4().hex
    first = writes[0]
    marked = Write(first.key, {**first.value, _MARKER: marker})
    try:
        table.transact(conditions, [marked, *writes[1:]])
    except TableUnavailable:
        if not _was_applied(table, first.key, marker):
            _retry(table, conditions, [marked, *writes[1:]], marker)


def _retry(table, conditions, writes, marker):
    try:
        table.transact(conditions, writes)
    except TransactionConflict:
        # The first attempt may have taken effect after the row was read back.
        if not _was_applied(table, writes[0].key, marker):
            raise


def _was_applied(table, key, marker):
    row = table.read(key)
    return row is not None and row.value.get(_MARKER) == marker


def require_version(row, key):
    """Return the condition that a row has not changed since it was read.

    Parameters
    ----------
    row : Row or None
        The row as it was read; None requires that it is still absent.
    key : str
    """
    return Condition(key, row.version if row is not None else 0)
