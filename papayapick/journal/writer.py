"""Write records in segments, fenced by the shard's row."""

import random
import threading

from papayapick.clients import (
    ObjectsUnavailable,
    TableUnavailable,
    TransactionConflict,
    Write,
)
from papayapick.journal.entries import Entry
from papayapick.journal.exceptions import (
    JournalFenced,
    JournalUnavailable,
    JournalUnsettled,
)
from papayapick.journal.segments import Segments
from papayapick.observability import get_logger

__all__ = ["Journal"]

_LOG = get_logger(__name__)
_RECORDS_PER_SEGMENT = 256
_RESOLVE_RETRY_SECONDS = 0.25


class Journal:
    """Append records to the journal of one shard at one epoch.

    Records appended within the linger time share one row. It is written in a
    transaction on condition that the shard's row has not changed, so an owner
    that was replaced can't write any more.

    Parameters
    ----------
    table : TableProtocol
    owned : ShardRow
    clock : Clock
    linger : float
        Seconds that a record waits for others to share its segment.
    bucket : TokenBucket
        Limits the journal writes of the process.
    on_fenced : callable, optional
        Called when a write fails because the shard has a newer owner.
    on_written : callable, optional
        Called with each durable record, in journal order and before its futures
        complete.
    on_segment : callable, optional
        Called by the journal's task between two segments.
    generator : random.Random, optional
        Spreads the retries of many journals after an outage.
    """

    __slots__ = (
        "_bucket",
        "_clock",
        "_entries",
        "_generator",
        "_is_closed",
        "_is_fenced",
        "_is_settling",
        "_is_writing",
        "_linger",
        "_lock",
        "_on_fenced",
        "_on_segment",
        "_on_written",
        "_owned",
        "_segments",
        "_stop",
        "_table",
        "_wakeup",
        "_write_lock",
    )

    def __init__(
        self,
        table,
        owned,
        clock,
        linger,
        bucket,
        on_fenced=None,
        on_written=None,
        on_segment=None,
        generator=None,
    ):
        self._table = table
        self._owned = owned
        self._clock = clock
        self._linger = linger
        self._bucket = bucket
        self._on_fenced = on_fenced or (lambda: None)
        self._on_written = on_written or (lambda record: None)
        self._on_segment = on_segment or (lambda: None)
        self._generator = generator or random.Random(0)
        self._entries = []
        self._segments = Segments(owned)
        self._is_fenced = False
        self._is_settling = False
        self._is_writing = False
        self._is_closed = False
        self._lock = threading.Lock()
        self._write_lock = threading.Lock()
        self._wakeup = threading.Event()
        self._stop = threading.Event()

    @property
    def is_available(self):
        """Return whether the journal accepts records now."""
        return not (self._is_fenced or self._is_settling or self._is_closed)

    @property
    def is_idle(self):
        """Return whether no accepted record is queued or being written."""
        with self._lock:
            return not (self._entries or self._is_writing)

    def append(self, record, must_persist=False):
        """Queue a record.

        Parameters
        ----------
        record : Record
        must_persist : bool
            Accept the record even during an outage, for an outcome that is known
            already. It is written as soon as the table is available again.

        Returns
        -------
        Entry
            Its future ``written`` returns None, or raises JournalUnsettled,
            JournalUnavailable or JournalFenced.

        Raises
        ------
        JournalFenced, JournalUnavailable
            The record was not accepted.
        """
        with self._lock:
            if self._is_fenced or self._is_closed:
                raise JournalFenced(shard=self._owned.shard)
            if self._is_settling and not must_persist:
                raise JournalUnavailable(shard=self._owned.shard)
            entry = Entry(record, must_persist)
            self._entries.append(entry)
        self._wakeup.set()
        return entry

    def run(self):
        """Write segments until the journal is closed; run as the journal's task."""
        while not self._stop.is_set():
            self._clock.wait(self._wakeup, 1.0)
            if self._entries and not self._stop.is_set():
                self._clock.wait(self._stop, self._linger)
                self._wait_for_token()
            self.write_segment()
            try:
                self._on_segment()
            except (TableUnavailable, ObjectsUnavailable):
                _LOG.info("compaction postponed", extra={"shard": self._owned.shard})

    def resume_from(self, state):
        """Continue from a journal as read; must precede the first record."""
        self._segments.resume_from(state)

    def is_compaction_due(self, items):
        """Return whether a compaction saves more than it costs; see ``Segments``."""
        return self._segments.is_compaction_due(items)

    def compact(self, objects, records):
        """Replace the segments written so far with one snapshot.

        Parameters
        ----------
        objects : ObjectsProtocol
        records : list of Record
            Records that reproduce the state after all segments.

        Raises
        ------
        TableUnavailable, ObjectsUnavailable
            The compaction can be retried later; the records stay readable.
        """
        self._wait_for_token()
        try:
            self._segments.compact(self._table, objects, records)
        except TransactionConflict:
            self._fence([])

    def close(self):
        """Stop the task and fail all queued records."""
        self._is_closed = True
        self._stop.set()
        self._wakeup.set()
        with self._lock:
            entries, self._entries = self._entries, []
        for entry in entries:
            entry.fail(JournalFenced(shard=self._owned.shard))

    def flush(self):
        """Write all queued records in the calling thread.

        Also waits for a segment that the journal's task is writing, whose records
        are not in the queue any more. Releasing the shard during that write would
        lose the outcomes of completed work.
        """
        while not (self.is_idle or self._is_fenced or self._stop.is_set()):
            self.write_segment()

    def write_segment(self):
        """Write queued records as one segment and determine whether it was written."""
        # A flush at shutdown runs concurrently with the journal's task: two segments
        # with the same number would conflict, which looks like a newer owner.
        with self._write_lock:
            with self._lock:
                batch = self._entries[:_RECORDS_PER_SEGMENT]
                del self._entries[: len(batch)]
                if not self._entries:
                    # Cleared only if no records are left. Otherwise the task would
                    # sleep for a second after each segment of a burst.
                    self._wakeup.clear()
                self._is_writing = bool(batch)
            try:
                if batch:
                    self._write(batch)
            finally:
                self._is_writing = False

    def _write(self, batch):
        key = self._segments.next_key
        try:
            self._create(key, [entry.record.as_mapping() for entry in batch])
        except TransactionConflict:
            self._fence(batch)
            return
        except TableUnavailable:
            self._settle(key, batch)
            return
        self._segments.note_written(key, len(batch))
        for entry in batch:
            self._on_written(entry.record)
            entry.succeed()

    def _create(self, key, records):
        conditions = self._segments.conditions(key)
        self._table.transact(conditions, [Write(key, {"records": records})])

    def _settle(self, key, batch):
        # The write may have taken effect or may take effect later. Writing an empty
        # segment under the same key resolves this: either it is created and the
        # delayed write fails because the row exists, or the first write is there.
        self._refuse_queued()
        _LOG.warning(
            "result of a journal write unknown", extra={"shard": self._owned.shard}
        )
        for entry in batch:
            entry.written.set_exception(JournalUnsettled(shard=self._owned.shard))
        while not self._stop.is_set():
            try:
                was_written = self._resolve(key, batch)
            except TransactionConflict:
                self._fence(batch)
                return
            except TableUnavailable:
                # Spread the retries of many journals after an outage.
                jitter = 0.5 + self._generator.random()
                self._clock.wait(self._stop, _RESOLVE_RETRY_SECONDS * jitter)
                continue
            self._segments.note_written(key, len(batch))
            with self._lock:
                self._is_settling = False
            for entry in batch:
                if was_written:
                    self._on_written(entry.record)
                entry.settled.set_result(was_written)
            return

    def _refuse_queued(self):
        # Records queued during the write would wait until the outage ends. They can be
        # refused safely, because none of them was sent to the table.
        with self._lock:
            self._is_settling = True
            refused = [entry for entry in self._entries if not entry.must_persist]
            self._entries = [entry for entry in self._entries if entry.must_persist]
        for entry in refused:
            entry.fail(JournalUnavailable(shard=self._owned.shard))

    def _resolve(self, key, batch):
        try:
            self._create(key, [])
        except TransactionConflict:
            row = self._table.read(key)
            if row is None:
                raise
            return row.value["records"] == [
                entry.record.as_mapping() for entry in batch
            ]
        return False

    def _fence(self, batch):
        with self._lock:
            self._is_fenced = True
            batch = batch + self._entries
            self._entries = []
        for entry in batch:
            entry.fail(JournalFenced(shard=self._owned.shard))
        self._on_fenced()

    def _wait_for_token(self):
        wait = self._bucket.take()
        while wait and not self._stop.is_set():
            self._clock.wait(self._stop, wait)
            wait = self._bucket.take()
