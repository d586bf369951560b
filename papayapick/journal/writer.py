"""Write records in segments, fenced by the shard's epoch."""

import threading
from concurrent.futures import Future

from papayapick.journal.exceptions import (
    JournalFenced,
    JournalUnavailable,
    JournalUnsettled,
)
from papayapick.journal.queries import segment_key
from papayapick.observability import get_logger
from papayapick.platforms import (
    Condition,
    TableUnavailable,
    TransactionConflict,
    Write,
)

__all__ = ["Journal"]

_LOG = get_logger(__name__)
_RECORDS_PER_SEGMENT = 256
_SETTLE_SECONDS = 0.25


class _Entry:
    """Pair a record with its fate.

    ``written`` is told at once, with JournalUnsettled where the fate is open;
    ``settled`` gets True or False once it is known.
    """

    __slots__ = ("record", "settled", "written")

    def __init__(self, record):
        self.record = record
        self.written = Future()
        self.settled = Future()

    def succeed(self):
        if not self.written.done():
            self.written.set_result(None)
        self.settled.set_result(True)

    def fail(self, error):
        if not self.written.done():
            self.written.set_exception(error)
        self.settled.set_result(False)


class Journal:
    """Append records to the journal of one shard at one epoch.

    Records that come within the linger share one row, written in one
    transaction with the condition that the shard's row has not changed. So an
    owner that was replaced can write nothing any more.

    Parameters
    ----------
    table : TableProtocol
    owned : ShardRow
    clock : Clock
    linger : float
        Seconds that a record waits for others.
    bucket : TokenBucket
        Writes that the process may make.
    on_fenced : callable, optional
        Called once when a newer owner is met.
    on_written : callable, optional
        Called with each durable record, in the order of the journal and before
        its future is settled.
    """

    __slots__ = (
        "_bucket",
        "_clock",
        "_entries",
        "_is_closed",
        "_is_fenced",
        "_is_settling",
        "_is_writing",
        "_linger",
        "_lock",
        "_next",
        "_on_fenced",
        "_on_written",
        "_owned",
        "_stop",
        "_table",
        "_wakeup",
        "_writing",
    )

    def __init__(
        self, table, owned, clock, linger, bucket, on_fenced=None, on_written=None
    ):
        self._table = table
        self._owned = owned
        self._clock = clock
        self._linger = linger
        self._bucket = bucket
        self._on_fenced = on_fenced or (lambda: None)
        self._on_written = on_written or (lambda record: None)
        self._entries = []
        self._next = 0
        self._is_fenced = False
        self._is_settling = False
        self._is_writing = False
        self._is_closed = False
        self._lock = threading.Lock()
        self._writing = threading.Lock()
        self._wakeup = threading.Event()
        self._stop = threading.Event()

    @property
    def is_available(self):
        """Return whether records are taken now."""
        return not (self._is_fenced or self._is_settling or self._is_closed)

    @property
    def is_idle(self):
        """Return whether every record taken so far has its fate."""
        with self._lock:
            return not (self._entries or self._is_writing)

    def append(self, record, must_last=False):
        """Queue a record.

        Parameters
        ----------
        record : Record
        must_last : bool
            Take the record even during an outage: an outcome is known already
            and is written as soon as the table is back.

        Returns
        -------
        _Entry
            Its future ``written`` gives None, or raises JournalUnsettled or
            JournalFenced.

        Raises
        ------
        JournalFenced, JournalUnavailable
            Nothing will be written.
        """
        with self._lock:
            if self._is_fenced or self._is_closed:
                raise JournalFenced(shard=self._owned.shard)
            if self._is_settling and not must_last:
                raise JournalUnavailable(shard=self._owned.shard)
            entry = _Entry(record)
            self._entries.append(entry)
        self._wakeup.set()
        return entry

    def run(self):
        """Write segments until closed; the task of this journal."""
        while not self._stop.is_set():
            self._clock.wait(self._wakeup, 1.0)
            if self._entries and not self._stop.is_set():
                self._clock.wait(self._stop, self._linger)
                self._wait_for_token()
            self.write_segment()

    def close(self):
        """Stop the task; what is queued fails."""
        self._is_closed = True
        self._stop.set()
        self._wakeup.set()
        with self._lock:
            entries, self._entries = self._entries, []
        for entry in entries:
            entry.fail(JournalFenced(shard=self._owned.shard))

    def flush(self):
        """Write all that is queued, in the calling thread."""
        while self._entries and not self._is_fenced:
            self.write_segment()

    def write_segment(self):
        """Write what is queued as one row and settle its fate."""
        # A flush at shutdown meets the task of this journal: two segments under
        # one number would conflict and look like a newer owner.
        with self._writing:
            with self._lock:
                batch = self._entries[:_RECORDS_PER_SEGMENT]
                del self._entries[: len(batch)]
                if not self._entries:
                    # What is left of a wave wakes the task again at once: it would
                    # sleep a second after each segment.
                    self._wakeup.clear()
                self._is_writing = bool(batch)
            try:
                if batch:
                    self._write(batch)
            finally:
                self._is_writing = False

    def _write(self, batch):
        key = segment_key(self._owned.shard, self._owned.epoch, self._next)
        try:
            self._create(key, [entry.record.as_mapping() for entry in batch])
        except TransactionConflict:
            self._fence(batch)
            return
        except TableUnavailable:
            self._settle(key, batch)
            return
        self._next += 1
        for entry in batch:
            self._on_written(entry.record)
            entry.succeed()

    def _create(self, key, records):
        self._table.transact(
            [Condition(self._owned.key, self._owned.version), Condition(key, 0)],
            [Write(key, {"records": records})],
        )

    def _settle(self, key, batch):
        # The write may have taken effect, and may still take effect later. An
        # empty segment under the same key decides it: either it is created, and
        # the late write fails on the existing row, or the first one is there.
        self._is_settling = True
        _LOG.warning("journal unsettled", extra={"shard": self._owned.shard})
        for entry in batch:
            entry.written.set_exception(JournalUnsettled(shard=self._owned.shard))
        while not self._stop.is_set():
            try:
                was_written = self._decide(key, batch)
            except TransactionConflict:
                self._fence(batch)
                return
            except TableUnavailable:
                self._clock.wait(self._stop, _SETTLE_SECONDS)
                continue
            self._next += 1
            with self._lock:
                self._is_settling = False
            for entry in batch:
                if was_written:
                    self._on_written(entry.record)
                entry.settled.set_result(was_written)
            return

    def _decide(self, key, batch):
        try:
            self._create(key, [])
        except TransactionConflict:
            row = self._table.read(key)
            if row is None:
                raise
            return row.value["records"] == [e.record.as_mapping() for e in batch]
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
