"""The journal agrees with reported results despite lost answers and compactions."""

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
    """Leave transactions unanswered and apply them when the test requests it."""

    def __init__(self, board):
        super().__init__(board)
        self.is_unanswered = False
        self.late = []

    def transact(self, conditions, writes):
        if self.is_unanswered:
            self.late.append((conditions, writes))
            raise TableUnavailable()
        super().transact(conditions, writes)

    def apply_late(self):
        for conditions, writes in self.late:
            super().transact(conditions, writes)


class Owner:
    """Provide an owner's journal and the index of its work; the test drives both."""

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


def test_records_appended_together_share_a_write(store):
    owner = Owner(*store, "a")
    writes = store[0].writes
    entries = owner.write(*[accepted(f"r{number}") for number in range(200)])
    assert store[0].writes == writes + 1
    assert all(entry.written.result(0) is None for entry in entries)


def test_replaced_owner_writes_nothing(store):
    """A placer resumes after a pause and writes to a shard that another claimed.

    The transaction that would write its segment must fail, and the placer must
    report this.
    """
    first = Owner(*store, "a")
    second = Owner(*store, "b")
    entry = first.write(accepted("r1"))[0]
    assert isinstance(entry.written.exception(0), JournalFenced)
    with pytest.raises(JournalFenced):
        first.journal.append(accepted("r2"))
    second.write(accepted("r3"))
    assert set(states(Owner(*store, "c").work_index)) == {"r3"}


def test_replaced_owner_compacts_nothing(store):
    """A paused placer resumes in the middle of a compaction.

    Its snapshot lacks the records of its successor and would replace the
    successor's snapshot.
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


def test_records_are_refused_while_the_result_of_a_write_is_unknown(store):
    table, _ = store
    owner = Owner(*store, "a")
    table.is_unanswered = True
    entry = owner.journal.append(accepted("r1"))
    owner.journal._stop.set()
    owner.journal.write_segment()
    assert isinstance(entry.written.exception(0), JournalUnsettled)
    with pytest.raises(JournalUnavailable):
        owner.journal.append(accepted("r2"))
    owner.journal.append(Ended("r1", "done", 0.0), must_persist=True)


def test_delayed_write_after_a_compaction_takes_no_effect(store):
    """A start record gets no answer from the slow table and is resolved as not written.

    A compaction then deletes the empty segment that resolved it, and the delayed
    write arrives. If it succeeded under the free key, the journal would contain
    a start of a request that its owner considers not started. The next owner would
    ignore a cancellation that was reported as "not run".
    """
    table, _ = store
    owner = Owner(*store, "a")
    owner.write(accepted("r1"))
    table.is_unanswered = True
    entry = owner.journal.append(Started("r1", 1, [], 0.0))
    table.transact = unanswered_first(table, 1)
    owner.journal.write_segment()
    assert entry.settled.result(0) is False
    owner.compact()
    with pytest.raises(Exception, match="is not as the transaction expects"):
        table.apply_late()
    assert states(Owner(*store, "b").work_index) == {"r1": ("waiting", None)}


def unanswered_first(table, count):
    """Return a transact method that leaves the first transactions unanswered."""
    remaining = [count]
    late, prompt = table.transact, MemoryTable.transact

    def transact(conditions, writes):
        if remaining[0]:
            remaining[0] -= 1
            return late(conditions, writes)
        return prompt(table, conditions, writes)

    return transact


@pytest.mark.parametrize("target", ["table", "objects"])
@pytest.mark.parametrize("kind", ["lose_answers", "down"])
@pytest.mark.parametrize("is_retried", [False, True])
def test_fault_in_a_compaction_loses_nothing(store, target, kind, is_retried):
    """The store fails in the middle of a compaction.

    Whichever writes took effect, the next owner must read the same requests, and
    the current owner must be able to continue writing.
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
    if is_retried:
        owner.compact()
    owner.write(Ended("r1", "done", 1.0))
    expected = states(owner.work_index)
    assert expected["r1"] == ("ended", "done")
    assert states(Owner(*store, "b").work_index) == expected


def test_journal_and_snapshots_agree_after_any_compactions(store):
    """Each new owner reads the same state after random records and compactions."""
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


def test_outcome_is_removed_after_its_retention_time_and_not_before(store):
    owner = Owner(*store, "a")
    owner.write(accepted("old"), accepted("new"), accepted("open"))
    owner.write(Ended("old", "done", 10.0), Ended("new", "done", 20.0))
    owner.work_index.remove_ended_before(15.0)
    owner.compact()
    assert set(states(Owner(*store, "b").work_index)) == {"new", "open"}


class BlockingTable(MemoryTable):
    """Block transactions until the test releases them."""

    def __init__(self, board):
        super().__init__(board)
        self.is_blocking = False
        self.has_started, self.may_continue = threading.Event(), threading.Event()

    def transact(self, conditions, writes):
        if self.is_blocking:
            self.has_started.set()
            assert self.may_continue.wait(10)
        super().transact(conditions, writes)


def test_flush_waits_for_the_segment_that_is_being_written():
    """A placer is stopped while the journal's task writes the outcome of a request.

    The queue is empty during that write. If the flush of the handover returned
    immediately, the shard would be released during the write, the write would fail
    as if the shard had a newer owner, and the caller would get "unknown" for a
    request that is done.
    """
    table = BlockingTable(FaultBoard())
    owner = Owner(table, MemoryObjects(table.board), "h1")
    owner.journal.append(accepted("r1"))
    table.is_blocking = True
    with ThreadPoolExecutor(2) as executor:
        written = executor.submit(owner.journal.write_segment)
        assert table.has_started.wait(10)
        flushed = executor.submit(owner.journal.flush)
        with pytest.raises(FutureTimeout):
            flushed.result(0.2)
        table.may_continue.set()
        written.result(10)
        flushed.result(10)
    assert "r1" in [item.request_id for item in owner.work_index.items]
