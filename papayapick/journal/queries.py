"""Read a shard's journal back."""

import json

from papayapick.journal.records import record_from_mapping
from papayapick.journal.work import WorkBook

__all__ = [
    "JournalState",
    "journal_prefix",
    "read_journal",
    "segment_key",
    "snapshot_key",
]


def journal_prefix(shard):
    """Return the prefix of a shard's segments."""
    return f"journal/{shard}/"


def segment_key(shard, epoch, number):
    """Return the key of one segment; keys sort in the order of writing."""
    return f"{journal_prefix(shard)}{epoch:010d}/{number:010d}"


def snapshot_key(shard):
    """Return the row that names a shard's snapshot object."""
    return f"snapshot/{shard}"


class JournalState:
    """Hold what a shard's journal said when it was read.

    Parameters
    ----------
    book : WorkBook
    keys : list of str
        Of the segments, oldest first.
    snapshot_version : int
        Of the row that names the snapshot, 0 where there is none.
    """

    __slots__ = ("book", "keys", "snapshot_version")

    def __init__(self, book, keys, snapshot_version):
        self.book = book
        self.keys = keys
        self.snapshot_version = snapshot_version


def read_journal(table, objects, shard):
    """Rebuild the requests of a shard from snapshot and segments.

    Returns
    -------
    JournalState

    Raises
    ------
    TableUnavailable, ObjectsUnavailable, ObjectMissing
    """
    book = WorkBook()
    snapshot = table.read(snapshot_key(shard))
    if snapshot is not None:
        for found in json.loads(objects.get(snapshot.value["object"])):
            book.apply(record_from_mapping(found))
    rows = table.scan(journal_prefix(shard))
    for row in rows:
        for found in row.value["records"]:
            book.apply(record_from_mapping(found))
    book.note_earlier_starts()
    version = snapshot.version if snapshot is not None else 0
    return JournalState(book, [row.key for row in rows], version)
