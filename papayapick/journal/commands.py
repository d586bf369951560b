"""Fold a shard's segments into a snapshot."""

import json

from papayapick.clients import Condition, TableUnavailable, Write
from papayapick.journal.queries import snapshot_key

__all__ = ["MAX_DELETED_ROWS", "write_snapshot"]

# Rows deleted in one transaction with the snapshot's row.
MAX_DELETED_ROWS = 500


def write_snapshot(table, objects, owned, records, keys, version, name):
    """Store what a shard's requests amount to, and delete what it stands for.

    The object is stored first; the row that names it changes in one
    transaction with the deletes and with "the shard is still mine". Whatever
    answer is lost, either the old segments or the snapshot are read, and
    reading some segments on top of the snapshot gives the same.

    Parameters
    ----------
    table : TableProtocol
    objects : ObjectsProtocol
    owned : ShardRow
    records : list of Record
        What all the segments amount to.
    keys : list of str
        Of the segments to delete, oldest first, at most ``MAX_DELETED_ROWS``.
    version : int
        Of the snapshot's row as it was read, 0 where there is none.
    name : str
        Of the object, never used before.

    Returns
    -------
    int
        New version of the snapshot's row.

    Raises
    ------
    TransactionConflict
        A newer owner has the shard.
    TableUnavailable, ObjectsUnavailable
        Whether it took effect is unknown; read the row.
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
