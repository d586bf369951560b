"""Compact a shard's segments into a snapshot."""

import json

from papayapick.clients import Condition, TableUnavailable, Write
from papayapick.journal.queries import snapshot_key

__all__ = ["MAX_DELETED_ROWS", "write_snapshot"]

# Limit of the transaction that also writes the snapshot's row.
MAX_DELETED_ROWS = 500


def write_snapshot(table, objects, owned, records, keys, version, name):
    """Store a snapshot of a shard's requests and delete the compacted segments.

    The snapshot object is stored first. The row that names it changes in one
    transaction with the deletes, on condition that the shard's row is unchanged.
    Even if an answer is lost, a reader sees either the old segments or the
    snapshot. Applying segments on top of a snapshot that contains them already
    gives the same state.

    Parameters
    ----------
    table : TableProtocol
    objects : ObjectsProtocol
    owned : ShardRow
    records : list of Record
        Records that reproduce the state after all segments.
    keys : list of str
        Keys of the segments to delete, oldest first, at most ``MAX_DELETED_ROWS``.
    version : int
        Version of the snapshot's row as last read; 0 if there is no row.
    name : str
        Name of the new object; must not have been used before.

    Returns
    -------
    int
        The new version of the snapshot's row.

    Raises
    ------
    TransactionConflict
        The shard has a newer owner.
    TableUnavailable, ObjectsUnavailable
        Whether the snapshot took effect is unknown; the row must be read.
    """
    row_key = snapshot_key(owned.shard)
    data = json.dumps([record.as_mapping() for record in records]).encode()
    objects.put(name, data)
    try:
        table.transact(
            [Condition(owned.key, owned.version), Condition(row_key, version)],
            [Write(row_key, {"object": name}), *[Write(key, None) for key in keys]],
        )
    except TableUnavailable:
        row = table.read(row_key)
        if row is None or row.value["object"] != name:
            raise
        return row.version
    return table.read(row_key).version
