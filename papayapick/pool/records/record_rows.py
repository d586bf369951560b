"""Rows of the store that hold the record of one job.

Guards against a record that is larger than a row may be: the store would refuse each
commit that it is part of, for good, and no other job of the pool would be recorded
either. Such a record is compressed, and lies in rows of its own beside the job's row.
"""

import base64
import json
import zlib

from papayapick.clients.rows import RowWrite
from papayapick.pool.metrics import RECORDS_LEFT_OUT
from papayapick.pool.records.events import RECORD_TOO_LARGE

__all__ = [
    "JobRows",
    "MAX_BYTES_PER_COMMIT",
    "MAX_ROWS_PER_COMMIT",
    "RecordRows",
    "read_records",
]

# Of the records of all jobs in one transaction, before they are encoded. Half of what
# a transaction holds; the rest is for the roster and the memory of the owner.
MAX_BYTES_PER_COMMIT = 400_000
# A transaction accepts at most 100 entries, including its conditions, the roster and
# the memory.
MAX_ROWS_PER_COMMIT = 60
# Between two attempts to write a record that is too large for any transaction.
_LEFT_OUT_SECONDS = 1.0
_PIECE = "!piece-"
# Of a piece's row, for its status and the names of its fields.
_PIECE_FRAME_BYTES = 200
_PACKED = "packed"


class JobRows:
    """Writes that replace the record of one job.

    Attributes
    ----------
    identifier : str
    writes : list of RowWrite
    pieces : int
        Number of rows beside the job's own; 0 unless the record is large.
    size : int
        Bytes of all values, before they are encoded.
    """

    __slots__ = ("identifier", "pieces", "size", "writes")

    def __init__(self, identifier, writes, pieces, size):
        self.identifier = identifier
        self.writes = writes
        self.pieces = pieces
        self.size = size


class RecordRows:
    """Spread the records of jobs over as many rows as each needs.

    Parameters
    ----------
    table, pool : str
        Where the rows are stored.
    row_bytes : int
        Most bytes of a value, before it is encoded.
    """

    __slots__ = ("_left_out", "_pieces", "_pool", "_row_bytes", "_table")

    def __init__(self, table, pool, row_bytes):
        self._table = table
        self._pool = pool
        self._row_bytes = row_bytes
        # For each job with a large record, how many pieces may be in the store.
        self._pieces = {}
        # Monotonic time of the next attempt for each job that was left out.
        self._left_out = {}

    def resume(self, rows):
        """Find the pieces that earlier owners have stored.

        Parameters
        ----------
        rows : list of StoredRow
            All rows of the pool's partition.
        """
        for row in rows:
            identifier, separator, number = row.key.partition(_PIECE)
            if separator and row.value is not None:
                known = self._pieces.get(identifier, 0)
                self._pieces[identifier] = max(known, int(number))

    def is_put_off(self, identifier, now):
        """Return whether a job was left out too shortly ago for another attempt."""
        return now < self._left_out.get(identifier, now)

    def take(self, identifier, record, now):
        """Return the writes of a record, or None if no transaction can hold them.

        Parameters
        ----------
        identifier : str
            Of the job.
        record : dict
            As returned by ``progress_record``.
        now : float
            Monotonic seconds.

        Returns
        -------
        JobRows or None
        """
        text = json.dumps(record, separators=(",", ":"))
        values, size = [record], len(text)
        if size > self._row_bytes:
            values = _packed(record["status"], text, self._row_bytes)
            size = sum(len(json.dumps(value)) for value in values)
        if size > MAX_BYTES_PER_COMMIT or len(values) > MAX_ROWS_PER_COMMIT:
            self._leave_out(identifier, size, now)
            return None
        self._left_out.pop(identifier, None)
        pieces = len(values) - 1
        known = self._pieces.get(identifier, 0)
        if known or pieces:
            # Until the commit is known to be applied, either number may be right.
            self._pieces[identifier] = max(known, pieces)
        values += [None] * (known - pieces)
        writes = [
            RowWrite(self._table, self._pool, _key(identifier, number), value)
            for number, value in enumerate(values)
        ]
        return JobRows(identifier, writes, pieces, size)

    def _leave_out(self, identifier, size, now):
        self._left_out[identifier] = now + _LEFT_OUT_SECONDS
        RECORDS_LEFT_OUT.inc()
        RECORD_TOO_LARGE.write(request_id=identifier, pool=self._pool, bytes=size)

    def note_durable(self, job_rows):
        """Record that the writes of a job have been applied."""
        if job_rows.pieces:
            self._pieces[job_rows.identifier] = job_rows.pieces
        else:
            self._pieces.pop(job_rows.identifier, None)


def read_records(rows):
    """Return the records of jobs, by identifier.

    Parameters
    ----------
    rows : list of StoredRow
        All rows of the partition, or all of one job; rows of other kinds are returned
        as they are.

    Returns
    -------
    dict of str to dict
        Empty for a record that can't be read: it must not be taken for the record of a
        job that has not started.
    """
    values = {row.key: row.value or {} for row in rows}
    return {
        key: _unpacked(key, value, values)
        for key, value in values.items()
        if _PIECE not in key
    }


def _packed(status, text, row_bytes):
    """Return the value of a job's row, and those of its pieces."""
    data = base64.b64encode(zlib.compress(text.encode(), 1)).decode()
    length = max(1, row_bytes - _PIECE_FRAME_BYTES)
    pieces = [data[first : first + length] for first in range(0, len(data), length)]
    # A host of an earlier version finds no number of an occurrence here and refuses the
    # record; otherwise it would start all tasks again.
    head = {"status": status, "occurrences": {_PACKED: len(pieces)}}
    return [head, *({"status": status, "piece": piece} for piece in pieces)]


def _unpacked(identifier, value, values):
    occurrences = value.get("occurrences")
    if not isinstance(occurrences, dict) or _PACKED not in occurrences:
        return value
    try:
        numbers = range(1, occurrences[_PACKED] + 1)
        data = "".join(values[_key(identifier, one)]["piece"] for one in numbers)
        return json.loads(zlib.decompress(base64.b64decode(data)))
    except (KeyError, TypeError, ValueError, zlib.error):
        # Whoever restores the job finds no status, and logs that it is refused.
        return {}


def _key(identifier, number):
    return f"{identifier}{_PIECE}{number}" if number else identifier
