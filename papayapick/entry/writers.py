"""Write what callers hand in to the store, many requests in one transaction."""

import collections
import threading
from concurrent.futures import Future

from papayapick.clients.exceptions import (
    ConditionFailed,
    StoreRefused,
    TableUnavailable,
)
from papayapick.entry.events import CONFLICT_UNCLEAR, WRITE_FAILED, WRITE_UNSETTLED
from papayapick.entry.exceptions import AcceptanceUnknown, NotAccepted

__all__ = ["Entry", "GroupWriter"]

_ENTRIES_PER_CALL = 50
_RETRY_SECONDS = 0.1
# A request is tried again for so long; callers wait three seconds at most.
_TRY_SECONDS = 2.2


class Entry:
    """Hold one write that is wanted.

    Parameters
    ----------
    expectation : Expectation
    write : RowWrite
    deadline : float
        Monotonic seconds.

    Attributes
    ----------
    future : concurrent.futures.Future
        Gives True where the row was written, False where the expectation did not
        hold; raises ``NotAccepted`` where nothing was written and
        ``AcceptanceUnknown`` where that is not known.
    """

    __slots__ = ("deadline", "expectation", "future", "is_unsure", "write")

    def __init__(self, expectation, write, deadline):
        self.expectation = expectation
        self.write = write
        self.deadline = deadline
        self.future = Future()
        # A try had no answer: the row may be written, or may be written later.
        self.is_unsure = False


class GroupWriter:
    """Write entries in groups, each group in one transaction.

    Each partition of the store is written by a task of its own while entries for it
    wait: what comes meanwhile goes into its next group. A store that is 40 times slower
    than usual takes 0.4 s for a transaction; with one task for all of eight partitions
    callers waited for seven others, and half of those of a burst were too late.

    Parameters
    ----------
    store : RelayedStore
    clock : Clock
    stopping : threading.Event
    executor : concurrent.futures.Executor
        Runs the tasks, and settles entries whose fate is unsure, while others go on.
    """

    __slots__ = ("_clock", "_executor", "_lock", "_stopping", "_store", "_waiting")

    def __init__(self, store, clock, stopping, executor):
        self._executor = executor
        self._store = store
        self._clock = clock
        self._stopping = stopping
        self._lock = threading.Lock()
        # Entries that wait, by partition; a partition stands here while its task runs.
        self._waiting = {}

    def submit(self, expectation, write):
        """Write a row under a condition.

        Returns
        -------
        concurrent.futures.Future
            As ``Entry.future``.
        """
        deadline = self._clock.monotonic() + _TRY_SECONDS
        entry = Entry(expectation, write, deadline)
        with self._lock:
            is_idle = write.partition not in self._waiting
            self._waiting.setdefault(write.partition, collections.deque()).append(entry)
        if is_idle:
            self._executor.submit(self._write_partition, write.partition)
        return entry.future

    def _write_partition(self, partition):
        """Write what waits for a partition, until nothing does."""
        while group := self._next_group(partition):
            try:
                self._write(group)
            except Exception:
                # The task must go on: those behind would wait for ever.
                WRITE_FAILED.write_failure(**_named(group))
                for entry in group:
                    if not entry.future.done():
                        entry.future.set_exception(AcceptanceUnknown())

    def _next_group(self, partition):
        """Return entries that can go together, the oldest first."""
        group, keys = [], set()
        with self._lock:
            waiting = self._waiting[partition]
            # The same id twice: the second waits for the first.
            while (
                waiting
                and len(group) < _ENTRIES_PER_CALL
                and waiting[0].write.key not in keys
            ):
                entry = waiting.popleft()
                keys.add(entry.write.key)
                group.append(entry)
            if not group:
                del self._waiting[partition]
        return group

    def _write(self, group):
        rest = self._try_once(group)
        if rest:
            # The answer was lost. Those who come later must not wait until that
            # is settled: they are refused at once while the store is away.
            self._executor.submit(self._settle, rest)

    def _settle(self, group):
        while group:
            self._clock.wait(self._stopping, _RETRY_SECONDS)
            group = self._try_once(group)

    def _try_once(self, group):
        """Write a group; return the entries whose fate is not settled."""
        while group:
            try:
                self._store.transact(
                    [entry.expectation for entry in group],
                    [entry.write for entry in group],
                )
            except ConditionFailed as error:
                group = self._settle_conflicts(group, error.rows)
                continue
            except StoreRefused:
                return self._give_up_late(group, is_unsure=False)
            except TableUnavailable as error:
                WRITE_UNSETTLED.write(**_named(group), error=str(error))
                return self._give_up_late(group, is_unsure=True)
            for entry in group:
                entry.future.set_result(True)
            return []
        return []

    def _settle_conflicts(self, group, rows):
        """Settle the entries whose condition did not hold; return the others."""
        found = {(row.table, row.key): row.version for row in rows}
        rest = []
        for entry in group:
            wanted = entry.expectation
            version = found.get((wanted.table, wanted.key), 0)
            if version == wanted.version:
                rest.append(entry)
            else:
                entry.future.set_result(False)
        if len(rest) == len(group):
            # The store says that a condition failed and shows none that did.
            CONFLICT_UNCLEAR.write(**_named(group))
            return self._give_up_late(group, is_unsure=False)
        return rest

    def _give_up_late(self, group, is_unsure):
        now = self._clock.monotonic()
        rest = []
        for entry in group:
            entry.is_unsure = entry.is_unsure or is_unsure
            if not entry.is_unsure:
                # Nothing was done: the caller learns at once and may come back.
                error = NotAccepted(reason="the store refuses writes")
                entry.future.set_exception(error)
            elif now > entry.deadline:
                entry.future.set_exception(AcceptanceUnknown())
            else:
                rest.append(entry)
        return rest


def _named(group):
    """Return the fields by which a line names a group."""
    return {
        "request_ids": [entry.write.key for entry in group],
        "partition": group[0].write.partition,
    }
