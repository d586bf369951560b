"""Know which segments a journal has, and when to fold them into a snapshot."""

from papayapick.clients import Condition
from papayapick.journal.commands import MAX_DELETED_ROWS, write_snapshot
from papayapick.journal.queries import segment_key, snapshot_key

__all__ = ["Segments"]

_SEGMENTS_PER_SNAPSHOT = 64


class Segments:
    """Hold the segments that one owner has read or written, and the next one's key.

    Parameters
    ----------
    owned : ShardRow
    """

    __slots__ = ("_keys", "_next", "_owned", "_records", "_snapshot_version")

    def __init__(self, owned):
        self._owned = owned
        self._keys = []
        self._next = 0
        # Records in the segments that no snapshot holds yet.
        self._records = 0
        self._snapshot_version = 0

    @property
    def next_key(self):
        """Return the key of the segment that is written next."""
        return segment_key(self._owned.shard, self._owned.epoch, self._next)

    def resume_from(self, state):
        """Continue the journal that was read; before the first record."""
        self._keys = list(state.keys)
        self._snapshot_version = state.snapshot_version

    def conditions(self, key):
        """Return the conditions under which a segment may be written.

        The snapshot's row is one of them: a write whose answer was lost and whose key
        a compaction has freed since must not take effect.
        """
        return [
            Condition(self._owned.key, self._owned.version),
            Condition(snapshot_key(self._owned.shard), self._snapshot_version),
            Condition(key, 0),
        ]

    def note_written(self, key, records):
        """Take in that the next segment was written, with so many records."""
        self._next += 1
        self._keys.append(key)
        self._records += records

    def is_compaction_due(self, items):
        """Return whether folding saves more than it costs.

        Parameters
        ----------
        items : int
            Requests that the snapshot would hold: writing it anew for a few
            segments costs more bytes than the segments.
        """
        count = len(self._keys)
        if count >= MAX_DELETED_ROWS:
            return True
        return count >= _SEGMENTS_PER_SNAPSHOT and self._records >= items / 2

    def compact(self, table, objects, records):
        """Replace the segments written so far by one snapshot.

        Parameters
        ----------
        table : TableProtocol
        objects : ObjectsProtocol
        records : list of Record
            What the segments amount to.

        Raises
        ------
        TransactionConflict, TableUnavailable, ObjectsUnavailable
            What was written stays readable.
        """
        owned = self._owned
        name = f"snapshot/{owned.shard}/{owned.epoch:010d}/{self._next:010d}"
        keys = self._keys[:MAX_DELETED_ROWS]
        self._snapshot_version = write_snapshot(
            table, objects, owned, records, keys, self._snapshot_version, name
        )
        del self._keys[: len(keys)]
        self._records = 0
