"""Segments, lost answers, snapshots: what the journal holds is what was said."""

import random
import threading
from concurrent.futures import ThreadPoolExecutor
from concurrent.futures import TimeoutError as FutureTimeout

import pytest

from papayapick.clients import TableUnavailable
from papayapick.clock import ManualClock
from papayapick.journal import (
    Accepted,
    Ended,
    Journal,
    JournalFenced,
    JournalUnavailable,
    JournalUnsettled,
    Started,
)
from papayapick.journal.queries import read_journal
from papayapick.limits import TokenBucket
from papayapick.ownership import claim, read_shard
from tests.standins.board import FaultBoard
from tests.standins.store import MemoryObjects, MemoryTable

SHARD = "hobart-a.0"


class LateTable(MemoryTable):
    """Gives no answer to a transaction and applies it when the test says."""

    def __init__(self, board):
        super().__init__(board)
        self.is_late = False
        self.late = []

    def transact(self, conditions, writes):
        if self.is_late:
            self.late.append((conditions, writes))
            raise TableUnavailable()
        super().transact(conditions, writes)

    def catch_up(self):
        for conditions, writes in self.late:
            super().transact(conditions, writes)


class Owner:
    """A journal and the book it fills, stepped by the test."""

    def __init__(self, table, objects, host):
        self.table, self.objects = table, objects
        self.row = claim(table, read_shard(table, SHARD), host)
        state = read_journal(table, objects, SHARD)
        self.work_index = state.work_index
        clock = ManualClock()
        self.journal = Journal(
            table,
            self.row,
            clock,
            0.0,
            TokenBucket(1e6, 1e6, clock),
            on_written=self.work_index.apply,
        )
        self.journal.resume_from(state)

    def write(self, *records):
        entries = [self.journal.append(record) for record in records]
        self.journal.write_segment()
        return entries

    def compact(self):
        records = [one for item in self.work_index.items for one in item.records()]
        self.journal.compact(self.objects, records)


@pytest.fixture
def store():
    board = FaultBoard()
    return LateTable(board), MemoryObjects(board)


def accepted(name):
    return Accepted(name, "request", "s", "c", "", "", "d", 1e9, False)


def states(work_index):
    return {
        item.request_id: (item.state, item.ended and item.ended.outcome)
        for item in work_index.items
    }


def test_records_that_come_together_share_a_write(store):
    owner = Owner(*store, "a")
    writes = store[0].writes
    entries = owner.write(*[accepted(f"r{number}") for number in range(200)])
    assert store[0].writes == writes + 1
    assert all(entry.written.result(0) is None for entry in entries)


def test_replaced_owner_writes_nothing(store):
    """Two placers take a shard one after the other; the first wakes and writes.

    Its segment is refused in the same transaction that would write it, and it
    tells so.
    """
    first = Owner(*store, "a")
    second = Owner(*store, "b")
    entry = first.write(accepted("r1"))[0]
    assert isinstance(entry.written.exception(0), JournalFenced)
    with pytest.raises(JournalFenced):
        first.journal.append(accepted("r2"))
    second.write(accepted("r3"))
    assert set(states(Owner(*store, "c").work_index)) == {"r3"}


def test_replaced_owner_folds_nothing(store):
    """A frozen placer wakes in the middle of a compaction.

    Its snapshot lacks what its successor wrote, and would stand before it.
    """
    first = Owner(*store, "a")
    first.write(accepted("r1"))
    second = Owner(*store, "b")
    second.compact()
    second.write(Ended("r1", "done", 1.0))
    first.compact()
    with pytest.raises(JournalFenced):
        first.journal.append(accepted("r2"))
    assert states(Owner(*store, "c").work_index) == {"r1": ("ended", "done")}


def test_records_are_refused_while_the_fate_of_others_is_open(store):
    table, _ = store
    owner = Owner(*store, "a")
    table.is_late = True
    entry = owner.journal.append(accepted("r1"))
    owner.journal._stop.set()
    owner.journal.write_segment()
    assert isinstance(entry.written.exception(0), JournalUnsettled)
    with pytest.raises(JournalUnavailable):
        owner.journal.append(accepted("r2"))
    owner.journal.append(Ended("r1", "done", 0.0), must_persist=True)


def test_write_that_comes_after_a_compaction_takes_no_effect(store):
    """The table is slow: a start gets no answer and is settled as not written.

    The empty segment that settled it is folded away, and the slow write comes
    at last. It found its key free, and a request that its owner knew as not
    started had a start in the journal: its cancel, told as "not run", was void
    for the next owner.
    """
    table, _ = store
    owner = Owner(*store, "a")
    owner.write(accepted("r1"))
    table.is_late = True
    entry = owner.journal.append(Started("r1", 1, [], 0.0))
    table.transact = wake_after(table, 1)
    owner.journal.write_segment()
    assert entry.settled.result(0) is False
    owner.compact()
    with pytest.raises(Exception, match="is not as the transaction expects"):
        table.catch_up()
    assert states(Owner(*store, "b").work_index) == {"r1": ("waiting", None)}


def wake_after(table, count):
    """Return a transact that is late so many times."""
    left = [count]
    late, prompt = table.transact, MemoryTable.transact

    def transact(conditions, writes):
        if left[0]:
            left[0] -= 1
            return late(conditions, writes)
        return prompt(table, conditions, writes)

    return transact


@pytest.mark.parametrize("target", ["table", "objects"])
@pytest.mark.parametrize("kind", ["lose_answers", "down"])
@pytest.mark.parametrize("is_again", [False, True])
def test_fault_in_a_compaction_loses_nothing(store, target, kind, is_again):
    """The store fails in the middle of folding the journal.

    Whatever took effect, the next owner reads the same requests, and the owner
    goes on writing.
    """
    table, objects = store
    owner = Owner(*store, "a")
    for number in range(70):
        owner.write(accepted(f"r{number}"))
    owner.write(Started("r1", 1, [], 0.0), Ended("r2", "done", 1.0))
    table.board.set(target, kind, 1 if kind == "lose_answers" else True)
    try:
        owner.compact()
    except Exception as error:
        assert error.code in ("table.unavailable", "objects.unavailable")
    table.board.clear()
    if is_again:
        owner.compact()
    owner.write(Ended("r1", "done", 1.0))
    expected = states(owner.work_index)
    assert expected["r1"] == ("ended", "done")
    assert states(Owner(*store, "b").work_index) == expected


def test_journal_and_snapshots_agree_whatever_is_folded_when(store):
    """Random records, compactions and owners: the book is always the same."""
    generator = random.Random(11)
    owner = Owner(*store, "a")
    for number in range(400):
        name = f"r{generator.randrange(60)}"
        owner.write(
            generator.choice(
                [
                    accepted(name),
                    Started(name, number, [], 0.0),
                    Ended(name, "done", float(number)),
                ]
            )
        )
        if generator.random() < 0.1:
            owner.compact()
        if generator.random() < 0.05:
            expected = states(owner.work_index)
            owner = Owner(*store, f"h{number}")
            assert states(owner.work_index) == expected


def test_compaction_keeps_the_journal_short(store):
    table, _ = store
    owner = Owner(*store, "a")
    for number in range(1200):
        owner.write(accepted(f"r{number % 40}"), Ended(f"r{number % 40}", "done", 0.0))
        if owner.journal.is_compaction_due(len(owner.work_index)):
            owner.compact()
    segments = [key for key in table.rows if key.startswith("journal/")]
    assert len(segments) < 128


def test_outcome_is_forgotten_after_its_time_and_no_sooner(store):
    owner = Owner(*store, "a")
    owner.write(accepted("old"), accepted("new"), accepted("open"))
    owner.write(Ended("old", "done", 10.0), Ended("new", "done", 20.0))
    owner.work_index.remove_ended_before(15.0)
    owner.compact()
    assert set(states(Owner(*store, "b").work_index)) == {"new", "open"}


class SlowTable(MemoryTable):
    """Hold a transaction until the test lets it through."""

    def __init__(self, board):
        super().__init__(board)
        self.is_slow = False
        self.is_entered, self.may_go = threading.Event(), threading.Event()

    def transact(self, conditions, writes):
        if self.is_slow:
            self.is_entered.set()
            assert self.may_go.wait(10)
        super().transact(conditions, writes)


def test_flush_waits_for_the_segment_that_is_being_written():
    """A placer is told to stop while a slow request ends, on a busy machine.

    The end was queued and its run counted as over; the journal's task was writing
    it, so the queue was empty and the flush of the handover returned at once. The
    shard was released under the write, the write failed as if by a newer owner, and
    the caller heard "unknown" of a request that was done.
    """
    table = SlowTable(FaultBoard())
    owner = Owner(table, MemoryObjects(table.board), "h1")
    owner.journal.append(accepted("r1"))
    table.is_slow = True
    with ThreadPoolExecutor(2) as executor:
        written = executor.submit(owner.journal.write_segment)
        assert table.is_entered.wait(10)
        flushed = executor.submit(owner.journal.flush)
        with pytest.raises(FutureTimeout):
            flushed.result(0.2)
        table.may_go.set()
        written.result(10)
        flushed.result(10)
    assert "r1" in [item.request_id for item in owner.work_index.items]
