"""Load a shard's work from its journal."""

import json

from papayapick.journal.records import record_from_mapping
from papayapick.journal.work import WorkIndex

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
    """Return the key of one segment; keys sort in write order."""
    return f"{journal_prefix(shard)}{epoch:010d}/{number:010d}"


def snapshot_key(shard):
    """Return the key of the row that names a shard's snapshot object."""
    return f"snapshot/{shard}"


class JournalState:
    """Hold the state of a shard's journal as read.

    Parameters
    ----------
    work_index : WorkIndex
    keys : list of str
        Keys of the segments, oldest first.
    snapshot_version : int
        Version of the row that names the snapshot; 0 if there is no row.
    """

    __slots__ = ("keys", "snapshot_version", "work_index")

    def __init__(self, work_index, keys, snapshot_version):
        self.work_index = work_index
        self.keys = keys
        self.snapshot_version = snapshot_version


def read_journal(table, objects, shard):
    """Rebuild the requests of a shard from its snapshot and segments.

    Returns
    -------
    JournalState

    Raises
    ------
    TableUnavailable, ObjectsUnavailable, ObjectMissing
    """
    work_index = WorkIndex()
    snapshot = table.read(snapshot_key(shard))
    if snapshot is not None:
        for mapping in json.loads(objects.get(snapshot.value["object"])):
            work_index.apply(record_from_mapping(mapping))
    rows = table.scan(journal_prefix(shard))
    for row in rows:
        for mapping in row.value["records"]:
            work_index.apply(record_from_mapping(mapping))
    work_index.mark_started_as_run()
    version = snapshot.version if snapshot is not None else 0
    return JournalState(work_index, [row.key for row in rows], version)
