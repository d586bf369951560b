"""What an owner has learned, recorded for the next owner of the pool.

Guards against an owner that begins anew in the middle of the load: until it has learned
the speeds of its workers again, wide urgent jobs end late.
"""

import json
from typing import Protocol

from papayapick.clients.rows import RowWrite
from papayapick.pool.records.events import MEMORY_LEFT_OUT, MEMORY_RESTORED

__all__ = ["LEARNED_PREFIX", "OwnerMemory", "UNREADABLE", "Remembered", "join_rows"]

# Beginning of the keys of its rows, which lie beside the records of progress.
LEARNED_PREFIX = "learned-"
# Least time between two records of a part.
_WRITE_INTERVAL_SECONDS = 5.0
# A record that has not changed is written again after this time, since an old one is
# left out.
_REPEAT_SECONDS = 30.0
_MAX_AGE_SECONDS = 60.0
# Raised by a record of another form than expected.
UNREADABLE = (ArithmeticError, AttributeError, LookupError, TypeError, ValueError)
# The limit of a row is 64 KB.
_ROW_BYTES = 40_000


class Remembered(Protocol):
    """Part of what an owner has learned, which the next owner continues from.

    Attributes
    ----------
    name : str
        Unique among the parts; part of a key in the store.
    version : int
        Of the form of its record.
    """

    name: str
    version: int

    def as_record(self, now: float) -> dict | list | None:
        """Return what was learned, for JSON; None if nothing learned is in use."""

    def restore(self, record: dict | list, age_seconds: float) -> None:
        """Continue from a record.

        Raises
        ------
        ArithmeticError, AttributeError, LookupError, TypeError, ValueError
            If the record can't be read; the part is then as before.
        """


class _PartState:
    """What is known of the rows of one part."""

    __slots__ = ("due_at", "has_rows", "keys", "part", "text", "written_at")

    def __init__(self, part):
        self.part = part
        # None until it was asked for: a new owner has more urgent records.
        self.due_at = None
        self.written_at = float("-inf")
        # Record that was written last, None if it is not known.
        self.text = None
        # Keys of its rows, deleted ones included, and whether any may be in the store.
        self.keys = set()
        self.has_rows = False


class OwnerMemory:
    """Write the records of all parts, and restore them after a takeover.

    Parameters
    ----------
    table, pool : str
        Where the rows are stored.
    clock : Clock
        Its wall clock tells the age of a record.
    """

    __slots__ = ("_clock", "_parts", "_pool", "_table")

    def __init__(self, table, pool, clock):
        self._table = table
        self._pool = pool
        self._clock = clock
        self._parts = {}

    def register(self, part):
        """Add a part, or replace the one of its name.

        Parameters
        ----------
        part : Remembered
        """
        self._parts[part.name] = _PartState(part)

    def take_changed(self, now):
        """Return writes of the records that are due and have changed.

        Parameters
        ----------
        now : float
            Monotonic seconds.

        Returns
        -------
        list of RowWrite
        """
        writes = []
        for state in self._parts.values():
            if state.due_at is None:
                state.due_at = now + _WRITE_INTERVAL_SECONDS
            elif now >= state.due_at:
                state.due_at = now + _WRITE_INTERVAL_SECONDS
                writes += self._take(state, now)
        return writes

    def requeue(self, writes):
        """Return writes that could not be committed to the next ``take_changed``."""
        lost = {write.key for write in writes}
        for state in self._parts.values():
            if lost & state.keys:
                state.due_at, state.text, state.has_rows = float("-inf"), None, True

    def _take(self, state, now):
        record = state.part.as_record(now)
        if record is None:
            # Otherwise the next owner would restore what is not in use any more.
            deleted = sorted(state.keys) if state.has_rows else []
            state.text, state.has_rows = None, False
            return [self._write(key, None) for key in deleted]
        text = json.dumps(record, separators=(",", ":"))
        if text == state.text and now - state.written_at < _REPEAT_SECONDS:
            return []
        state.text, state.written_at, state.has_rows = text, now, True
        # A copy, as it is sent while the part may change.
        record = json.loads(text)
        head = {
            "name": state.part.name,
            "version": state.part.version,
            "at": round(self._clock.time(), 3),
        }
        chunks = [record] if len(text) <= _ROW_BYTES else _split(record)
        writes = [
            self._write(
                f"{LEARNED_PREFIX}{state.part.name}-{number}",
                {**head, "row": number, "rows": len(chunks), "record": chunk},
            )
            for number, chunk in enumerate(chunks)
        ]
        state.keys.update(write.key for write in writes)
        return writes

    def _write(self, key, value):
        return RowWrite(self._table, self._pool, key, value)

    def restore(self, rows):
        """Restore all parts from the rows of the partition.

        Parameters
        ----------
        rows : list of StoredRow
            Rows of jobs and others are ignored.
        """
        learned = [row for row in rows if row.key.startswith(LEARNED_PREFIX)]
        for state in self._parts.values():
            prefix = f"{LEARNED_PREFIX}{state.part.name}-"
            found = [
                row
                for row in learned
                if row.key.startswith(prefix)
                and row.key.removeprefix(prefix).isdigit()
                and row.value is not None
            ]
            if found:
                state.keys.update(row.key for row in found)
                state.has_rows = True
                self._restore_part(state.part, [row.value for row in found])

    def _restore_part(self, part, values):
        age = None
        try:
            at, version, record = join_rows(values)
            age = round(self._clock.time() - at, 3)
            # The clock of the host that wrote it may be ahead of this one's.
            if abs(age) > _MAX_AGE_SECONDS:
                self._leave_out(part, age, "old")
                return
            if version != part.version:
                self._leave_out(part, age, f"version {version}")
                return
            part.restore(record, max(0.0, age))
        except UNREADABLE as error:
            # The next owner must take the pool whatever the record holds.
            self._leave_out(part, age, f"unreadable: {error!r}"[:200])
            return
        MEMORY_RESTORED.write(pool=self._pool, part=part.name, age_seconds=age)

    def _leave_out(self, part, age, reason):
        MEMORY_LEFT_OUT.write(
            pool=self._pool, part=part.name, age_seconds=age, reason=reason
        )


def join_rows(values):
    """Return the newest whole record among the rows of one part.

    Parameters
    ----------
    values : list of dict
        In any order. Rows of an earlier, longer record may be among them.

    Returns
    -------
    at : float
        Unix seconds at which it was written.
    version : int
    record : dict or list

    Raises
    ------
    ArithmeticError, AttributeError, LookupError, TypeError, ValueError
        If a row is missing or can't be read.
    """
    newest = max(float(value["at"]) for value in values)
    rows = {value["row"]: value for value in values if value["at"] == newest}
    head = rows[0]
    chunks = [rows[number]["record"] for number in range(head["rows"])]
    if isinstance(chunks[0], list):
        record = [item for chunk in chunks for item in chunk]
    else:
        record = {key: value for chunk in chunks for key, value in chunk.items()}
    return newest, head["version"], record


def _split(record):
    """Return the record in chunks, each short enough for a row."""
    is_list = isinstance(record, list)
    chunks, size = [[]], 0
    for item in record if is_list else record.items():
        length = len(json.dumps(item, separators=(",", ":"))) + 1
        if chunks[-1] and size + length > _ROW_BYTES:
            chunks.append([])
            size = 0
        chunks[-1].append(item)
        size += length
    return chunks if is_list else [dict(chunk) for chunk in chunks]
