"""Write callers' requests to the store, many of them in one transaction."""

import collections
import threading
from concurrent.futures import Future
from concurrent.futures import TimeoutError as FutureTimeout

from papayapick.clients.exceptions import (
    ConditionFailed,
    StoreRefused,
    TableUnavailable,
)
from papayapick.entry.events import CONFLICT_UNCLEAR, WRITE_FAILED, WRITE_UNSETTLED
from papayapick.entry.exceptions import (
    AcceptanceUnknown,
    GuardFailed,
    NotAccepted,
)

__all__ = ["GroupWriter", "PendingWrite", "wait_for_write"]

# Of a transaction: conditions and writes together.
_ENTRIES_PER_CALL = 100
_RETRY_SECONDS = 0.1
# Retries end after this time; callers wait three seconds at most.
_DEADLINE_SECONDS = 2.2
_ANSWER_TIMEOUT_SECONDS = 2.6


class PendingWrite:
    """Hold one conditional write until its outcome is known.

    Parameters
    ----------
    expectation : Expectation
    write : RowWrite
    deadline : float
        Monotonic seconds.
    guard : Expectation, optional
        Second condition, on a row of the same partition that other writes share.

    Attributes
    ----------
    future : concurrent.futures.Future
        Gives True if the row was written and False if the expectation did not hold;
        raises ``GuardFailed`` or ``NotAccepted`` if nothing was written and
        ``AcceptanceUnknown`` if that is not known.
    """

    __slots__ = (
        "deadline",
        "expectation",
        "future",
        "guard",
        "may_be_applied",
        "write",
    )

    def __init__(self, expectation, write, deadline, guard=None):
        self.expectation = expectation
        self.guard = guard
        self.write = write
        self.deadline = deadline
        self.future = Future()
        # An attempt had no answer: the row may be written now or later.
        self.may_be_applied = False


class _Group:
    """Gather writes that fit in one transaction."""

    __slots__ = ("_guards", "_written", "pending")

    def __init__(self):
        self.pending = []
        self._written = set()
        self._guards = set()

    def admits(self, pending):
        """Return whether a write fits, and depends on none of the others.

        A second write of the same row must wait for the first, and one whose guard
        another one writes must meet its outcome.
        """
        guards = self._guards | _guard_rows(pending)
        written = self._written | {_row_of(pending.write)}
        entries = 2 * len(written) + len(guards)
        is_new = len(written) > len(self._written)
        return is_new and not written & guards and entries <= _ENTRIES_PER_CALL

    def add(self, pending):
        """Add a write that fits."""
        self.pending.append(pending)
        self._written.add(_row_of(pending.write))
        self._guards |= _guard_rows(pending)


def _row_of(one):
    return one.table, one.key


def _guard_rows(pending):
    return set() if pending.guard is None else {_row_of(pending.guard)}


class GroupWriter:
    """Write rows in groups, each group in one transaction.

    Each partition of the store is written by a task of its own as long as it has
    pending writes. Those that arrive during a transaction form the next group. A store
    that is 40 times slower than usual takes 0.4 s for a transaction: with one task for
    all of eight partitions, callers would wait for the other seven, and half of the
    callers of a burst would exceed their time limits.

    Parameters
    ----------
    store : RelayedStore
    clock : Clock
    stopping : threading.Event
    executor : concurrent.futures.Executor
        Runs the tasks of the partitions and the retries of writes with an unknown
        outcome.
    """

    __slots__ = ("_clock", "_executor", "_lock", "_stopping", "_store", "_waiting")

    def __init__(self, store, clock, stopping, executor):
        self._executor = executor
        self._store = store
        self._clock = clock
        self._stopping = stopping
        self._lock = threading.Lock()
        # Pending writes by partition; a partition is present while its task runs.
        self._waiting = {}

    def submit(self, expectation, write, guard=None):
        """Queue a conditional write; see ``PendingWrite``.

        Returns
        -------
        concurrent.futures.Future
            As ``PendingWrite.future``.
        """
        deadline = self._clock.monotonic() + _DEADLINE_SECONDS
        pending = PendingWrite(expectation, write, deadline, guard)
        with self._lock:
            is_idle = write.partition not in self._waiting
            self._waiting.setdefault(write.partition, collections.deque()).append(
                pending
            )
        if is_idle:
            self._executor.submit(self._drain_partition, write.partition)
        return pending.future

    def _drain_partition(self, partition):
        """Write the groups of a partition until no write is pending."""
        while group := self._next_group(partition):
            try:
                self._write_group(group)
            except Exception:
                # The task must go on, or later writes would stay pending for ever.
                WRITE_FAILED.write_failure(**_log_fields(group))
                for pending in group:
                    if not pending.future.done():
                        pending.future.set_exception(AcceptanceUnknown())

    def _next_group(self, partition):
        """Remove and return writes that fit in one transaction, the oldest first."""
        group = _Group()
        with self._lock:
            waiting = self._waiting[partition]
            while waiting and group.admits(waiting[0]):
                group.add(waiting.popleft())
            if not group.pending:
                del self._waiting[partition]
        return group.pending

    def _write_group(self, group):
        unsettled = self._try_group(group)
        if unsettled:
            # The answer was lost. Later writes must not wait until this group is
            # settled: while the store is unavailable, they are refused at once.
            self._executor.submit(self._retry_until_settled, unsettled)

    def _retry_until_settled(self, group):
        while group:
            self._clock.wait(self._stopping, _RETRY_SECONDS)
            group = self._try_group(group)

    def _try_group(self, group):
        """Try to write a group; return the writes whose outcome is still unknown."""
        while group := _with_newest_guards(group):
            try:
                self._store.transact(
                    [pending.expectation for pending in group] + _guards(group),
                    [pending.write for pending in group],
                )
            except ConditionFailed as error:
                group = self._resolve_conflicts(group, error.rows)
                continue
            except StoreRefused:
                return self._fail_refused_or_expired(group, may_be_applied=False)
            except TableUnavailable as error:
                WRITE_UNSETTLED.write(**_log_fields(group), error=str(error))
                return self._fail_refused_or_expired(group, may_be_applied=True)
            for pending in group:
                pending.future.set_result(True)
            return []
        return []

    def _resolve_conflicts(self, group, rows):
        """Settle the writes whose condition did not hold; return the others."""
        versions = {(row.table, row.key): row.version for row in rows}
        unsettled = []
        for pending in group:
            expectation = pending.expectation
            version = versions.get((expectation.table, expectation.key), 0)
            if version != expectation.version:
                pending.future.set_result(False)
            elif _fails_guard(pending, versions):
                # Nor can an earlier attempt without an answer be applied any more.
                pending.future.set_exception(GuardFailed())
            else:
                unsettled.append(pending)
        if len(unsettled) == len(group):
            # The store reported a failed condition, but all of them hold.
            CONFLICT_UNCLEAR.write(**_log_fields(group))
            return self._fail_refused_or_expired(group, may_be_applied=False)
        return unsettled

    def _fail_refused_or_expired(self, group, may_be_applied):
        now = self._clock.monotonic()
        unsettled = []
        for pending in group:
            pending.may_be_applied = pending.may_be_applied or may_be_applied
            if not pending.may_be_applied:
                # Nothing was written: the caller is refused at once and may retry.
                error = NotAccepted(reason="the store refuses writes")
                pending.future.set_exception(error)
            elif now > pending.deadline:
                pending.future.set_exception(AcceptanceUnknown())
            else:
                unsettled.append(pending)
        return unsettled


def _fails_guard(pending, versions):
    guard = pending.guard
    if guard is None:
        return False
    return versions.get((guard.table, guard.key), 0) != guard.version


def _guards(group):
    """Return the second conditions of a group, each row once."""
    found = {one.guard.key: one.guard for one in group if one.guard is not None}
    return list(found.values())


def _with_newest_guards(group):
    """Fail the writes whose guard expects an older version than others of the group."""
    newest = {}
    for one in group:
        if one.guard is not None:
            version = newest.get(one.guard.key, 0)
            newest[one.guard.key] = max(version, one.guard.version)
    kept = []
    for one in group:
        if one.guard is None or one.guard.version == newest[one.guard.key]:
            kept.append(one)
        else:
            one.future.set_exception(GuardFailed())
    return kept


def _log_fields(group):
    """Return the fields that identify a group in log events."""
    return {
        "request_ids": [pending.write.key for pending in group],
        "partition": group[0].write.partition,
    }


def wait_for_write(future):
    """Return the result of ``GroupWriter.submit``.

    Raises
    ------
    GuardFailed, NotAccepted, AcceptanceUnknown
    """
    try:
        return future.result(_ANSWER_TIMEOUT_SECONDS)
    except FutureTimeout as error:
        raise AcceptanceUnknown() from error
