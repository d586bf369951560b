"""Track the segments of a journal and compact them into snapshots."""

from papayapick.clients import Condition
from papayapick.journal.commands import MAX_DELETED_ROWS, write_snapshot
from papayapick.journal.queries import segment_key, snapshot_key

__all__ = ["Segments"]

_SEGMENTS_PER_SNAPSHOT = 64


class Segments:
    """Track the segments that one owner has read or written.

    Parameters
    ----------
    owned : ShardRow
    """

    __slots__ = ("_keys", "_next_number", "_owned", "_records", "_snapshot_version")

    def __init__(self, owned):
        self._owned = owned
        self._keys = []
        self._next_number = 0
        # Number of records in segments that are not in a snapshot yet.
        self._records = 0
        self._snapshot_version = 0

    @property
    def next_key(self):
        """Return the key of the next segment to write."""
        return segment_key(self._owned.shard, self._owned.epoch, self._next_number)

    def resume_from(self, state):
        """Continue from a journal as read; must precede the first write."""
        self._keys = list(state.keys)
        self._snapshot_version = state.snapshot_version

    def conditions(self, key):
        """Return the conditions under which a segment may be written.

        They include the snapshot's row: a delayed write whose answer was lost must not
        take effect after a compaction has deleted the row under its key.
        """
        return [
            Condition(self._owned.key, self._owned.version),
            Condition(snapshot_key(self._owned.shard), self._snapshot_version),
            Condition(key, 0),
        ]

    def note_written(self, key, records):
        """Record that the next segment was written with a number of records."""
        self._next_number += 1
        self._keys.append(key)
        self._records += records

    def is_compaction_due(self, items):
        """Return whether a compaction saves more than it costs.

        Parameters
        ----------
        items : int
            Number of requests in the snapshot. Rewriting a large snapshot for a few
            segments would cost more bytes than the segments themselves.
        """
        count = len(self._keys)
        if count >= MAX_DELETED_ROWS:
            return True
        return count >= _SEGMENTS_PER_SNAPSHOT and self._records >= items / 2

    def compact(self, table, objects, records):
        """Replace the segments written so far with one snapshot.

        Parameters
        ----------
        table : TableProtocol
        objects : ObjectsProtocol
        records : list of Record
            Records that reproduce the state after all segments.

        Raises
        ------
        TransactionConflict, TableUnavailable, ObjectsUnavailable
            The records stay readable.
        """
        owned = self._owned
        name = f"snapshot/{owned.shard}/{owned.epoch:010d}/{self._next_number:010d}"
        keys = self._keys[:MAX_DELETED_ROWS]
        self._snapshot_version = write_snapshot(
            table, objects, owned, records, keys, self._snapshot_version, name
        )
        del self._keys[: len(keys)]
        self._records = 0
