"""What an owner has learned: when it is recorded, and when the next one takes it."""

import json

import pytest

from papayapick.clients.rows import StoredRow
from papayapick.clock import ManualClock
from papayapick.pool.records import memory as memory_module
from papayapick.pool.records.journal import PROGRESS_TABLE
from papayapick.pool.records.memory import OwnerMemory
from papayapick.speeds import WorkerSpeeds
from tests.speeds.replay import SpeedReplay


class Part:
    """Part whose record a test sets."""

    version = 1

    def __init__(self, name="part", record=None):
        self.name = name
        self.record = record
        self.restored = []

    def as_record(self, now):
        return self.record

    def restore(self, record, age_seconds):
        if "bad" in record:
            raise ValueError("bad")
        self.restored.append((record, age_seconds))


class Event:
    def __init__(self):
        self.lines = []

    def write(self, **fields):
        self.lines.append(fields)


@pytest.fixture
def events(monkeypatch):
    found = Event(), Event()
    monkeypatch.setattr(memory_module, "MEMORY_RESTORED", found[0])
    monkeypatch.setattr(memory_module, "MEMORY_LEFT_OUT", found[1])
    return found


def open_memory(part, time=1000.0):
    clock = ManualClock(time)
    memory = OwnerMemory(PROGRESS_TABLE, "pool", clock)
    memory.register(part)
    return memory, clock


def write(memory, clock, seconds=5.0):
    clock.advance(seconds)
    return memory.take_changed(clock.monotonic())


def stored(writes):
    return [
        StoredRow(one.table, one.partition, one.key, one.value, 1)
        for one in json_copy(writes)
    ]


def json_copy(writes):
    for one in writes:
        one.value = json.loads(json.dumps(one.value))
    return writes


def written(record, seconds=5.0):
    memory, clock = open_memory(Part(record=record))
    write(memory, clock, 0.0)
    return stored(write(memory, clock, seconds)), clock.time()


def test_nothing_is_written_while_nothing_is_learned():
    memory, clock = open_memory(Part())
    assert [write(memory, clock) for _ in range(20)] == [[]] * 20


def test_record_is_written_at_intervals_and_only_if_changed():
    part = Part(record={"a": 1})
    memory, clock = open_memory(part)
    assert write(memory, clock, 0.0) == []
    (first,) = write(memory, clock)
    assert (first.table, first.partition, first.key) == (
        PROGRESS_TABLE,
        "pool",
        "learned-part-0",
    )
    part.record = {"a": 2}
    assert write(memory, clock, 1.0) == []
    assert len(write(memory, clock, 4.0)) == 1
    assert write(memory, clock) == []


def test_unchanged_record_stays_young_enough_to_be_restored(events):
    """Guards against what is learned for good, and left out as it seems old."""
    part = Part(record={"a": 1})
    memory, clock = open_memory(part)
    rows = []
    for _ in range(100):
        rows = stored(write(memory, clock, 1.0)) or rows
    fresh = Part()
    successor, _ = open_memory(fresh, clock.time())
    successor.restore(rows)
    assert fresh.restored[0][0] == {"a": 1}


def test_record_that_could_not_be_committed_is_written_again():
    part = Part(record={"a": 1})
    memory, clock = open_memory(part)
    write(memory, clock, 0.0)
    writes = write(memory, clock)
    memory.requeue(writes)
    assert [one.value["record"] for one in write(memory, clock, 0.1)] == [{"a": 1}]
    part.record = None
    (deletion,) = write(memory, clock)
    assert deletion.value is None
    memory.requeue([deletion])
    assert [one.value for one in write(memory, clock, 0.1)] == [None]
    assert write(memory, clock) == []


@pytest.mark.parametrize(
    "record", [{f"w{number}": [number, 7] for number in range(9000)}, [[1] * 9] * 9000]
)
def test_long_record_takes_several_rows(record, events):
    """Guards against a record of thousands of workers that the store refuses."""
    rows, now = written(record)
    assert len(rows) > 1
    assert all(len(json.dumps(row.value)) < 64_000 for row in rows)
    part = Part()
    memory, _ = open_memory(part, now + 2.0)
    memory.restore([*reversed(rows), StoredRow("progress", "pool", "sequence", {}, 1)])
    assert part.restored == [(record, 2.0)]
    assert len(events[0].lines) == 1


def test_rows_of_an_earlier_longer_record_are_ignored(events):
    part = Part(record={f"w{number}": "x" * 50 for number in range(2000)})
    memory, clock = open_memory(part)
    write(memory, clock, 0.0)
    rows = {row.key: row for row in stored(write(memory, clock))}
    part.record = {"a": 1}
    rows.update((row.key, row) for row in stored(write(memory, clock)))
    assert len(rows) > 1
    fresh = Part()
    successor, _ = open_memory(fresh, clock.time())
    successor.restore(list(rows.values()))
    assert fresh.restored == [({"a": 1}, 0.0)]
    # Deleted together with the rows that only the first owner wrote.
    clock.advance(10.0)
    assert successor.take_changed(0.0) == []
    assert len(successor.take_changed(10.0)) == len(rows)


@pytest.mark.parametrize("age", [61.0, -61.0])
def test_old_record_is_left_out(age, events):
    rows, now = written({"a": 1})
    part = Part()
    memory, _ = open_memory(part, now + age)
    memory.restore(rows)
    assert part.restored == []
    (line,) = events[1].lines
    assert (line["part"], line["reason"]) == ("part", "old")


def test_record_of_another_version_is_left_out(events):
    rows, now = written({"a": 1})
    part = Part()
    part.version = 2
    memory, _ = open_memory(part, now)
    memory.restore(rows)
    assert part.restored == []
    assert events[1].lines[0]["reason"] == "version 1"


def drop_a_row(rows):
    del rows[1]


def set_value(value):
    def change(rows):
        for row in rows:
            row.value = value

    return change


def spoil(field, value):
    def change(rows):
        rows[0].value[field] = value

    return change


@pytest.mark.parametrize(
    "change",
    [
        drop_a_row,
        set_value("text"),
        set_value([]),
        set_value({}),
        spoil("at", "yesterday"),
        spoil("rows", None),
        spoil("record", 7),
        spoil("record", {"bad": 1}),
    ],
)
def test_unreadable_record_is_left_out(change, events):
    """Guards against hosts that fail one after the other to take the pool."""
    rows, now = written({f"w{number}": "x" * 50 for number in range(2000)})
    change(rows)
    part, other = Part(), Part("other")
    memory, _ = open_memory(part, now)
    memory.register(other)
    memory.restore(rows)
    assert part.restored == []
    assert len(events[1].lines) == 1


def test_parts_are_restored_one_by_one(events):
    first, second = Part("a", {"x": 1}), Part("b", [2])
    memory, clock = open_memory(first)
    memory.register(second)
    write(memory, clock, 0.0)
    rows = stored(write(memory, clock))
    rows[0].value["version"] = 9
    fresh = Part("a"), Part("b")
    successor, _ = open_memory(fresh[0], clock.time())
    successor.register(fresh[1])
    successor.restore(rows)
    assert fresh[0].restored == []
    assert fresh[1].restored == [([2], 0.0)]


def test_speeds_fit_into_a_row():
    """Guards against an owner of 176 workers whose records fill the store."""
    speeds = WorkerSpeeds()
    speeds.set_stretch(1.5)
    load = SpeedReplay(speeds, seed=1, workers=176)
    load.run_until(10.0)
    memory, clock = open_memory(speeds)
    write(memory, clock, 0.0)
    (row,) = write(memory, clock)
    assert len(json.dumps(row.value)) < 8_000
