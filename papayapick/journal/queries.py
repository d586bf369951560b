"""Read a shard's journal back."""

import json

from papayapick.journal.records import record_from_mapping
from papayapick.journal.work import WorkBook

__all__ = ["journal_prefix", "read_work", "segment_key", "snapshot_key"]


def journal_prefix(shard):
    """Return the prefix of a shard's segments."""
    return f"journal/{shard}/"


def segment_key(shard, epoch, number):
    """Return the key of one segment; keys sort in the order of writing."""
    return f"{journal_prefix(shard)}{epoch:010d}/{number:010d}"


def snapshot_key(shard):
    """Return the row that names a shard's snapshot object."""
    return f"snapshot/{shard}"


def read_work(table, objects, shard):
    """Rebuild the requests of a shard from snapshot and segments.

    Returns
    -------
    WorkBook

    Raises
    ------
    TableUnavailable, ObjectsUnavailable, ObjectMissing
    """
    book = WorkBook()
    snapshot = table.read(snapshot_key(shard))
    if snapshot is not None and snapshot.value.get("object"):
        for found in json.loads(objects.get(snapshot.value["object"])):
            book.apply(record_from_mapping(found))
    for row in table.scan(journal_prefix(shard)):
        for found in row.value["records"]:
            book.apply(record_from_mapping(found))
    book.note_earlier_starts()
    return book
