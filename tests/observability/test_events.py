"""Events are typed, bounded in volume, and never block the thread that decides."""

import ast
import io
import json
import logging
import os
import threading

import pytest

from demo.cells import ROOT
from papayapick.clock import ManualClock
from papayapick.executors import ElasticExecutor
from papayapick.observability.events import EVENTS, Event, EventLog
from papayapick.observability.logs import get_logger
from papayapick.observability.queries import events_page

SAMPLE = Event("seen in a test", "number text", "Only here.", per_second=3)
SOURCES = [
    path
    for package in ("entry", "overload", "pool", "speeds")
    for path in sorted(ROOT.joinpath("papayapick", package).rglob("*.py"))
]

MODULES = ("entry", "overload", "pool", "pool.records", "pool.takeover", "speeds")


@pytest.fixture
def clock():
    return ManualClock(100.0)


@pytest.fixture(autouse=True)
def restored_logging():
    root = logging.getLogger("papayapick")
    before = root.handlers, root.level, root.propagate, logging.logThreads
    yield
    root.handlers, root.level, root.propagate, logging.logThreads = before


def lines_of(stream):
    return [json.loads(line) for line in stream.getvalue().splitlines()]


def open_log(clock, stream, level="INFO"):
    log = EventLog(clock, level, {"host": "h1"}, stream)
    log.start()
    return log


def test_line_has_its_fields_and_those_of_the_process(clock):
    stream = io.StringIO()
    log = open_log(clock, stream)
    SAMPLE.write(number=3, text="x")
    log.close()
    (line,) = lines_of(stream)
    assert line.pop("time")
    assert line == {
        "level": "INFO",
        "event": "seen in a test",
        "host": "h1",
        "number": 3,
        "text": "x",
    }


def test_lines_keep_no_object_of_the_threads_that_wrote_them(clock):
    """Guards against memory that grows with the threads of an executor that have ended.

    The interpreter keeps an object for each thread of which a line gave the name.
    """
    log = open_log(clock, io.StringIO())
    before = threading.active_count()
    executor = ElasticExecutor(1, "test")
    executor.submit(SAMPLE.write, number=3, text="x").result(10)
    executor.shutdown()
    assert threading.active_count() == before
    log.close()


def test_failure_carries_its_exception(clock):
    stream = io.StringIO()
    log = open_log(clock, stream)
    try:
        raise ValueError("of the test")
    except ValueError:
        SAMPLE.write_failure(number=1)
    log.close()
    assert "ValueError: of the test" in lines_of(stream)[0]["exc_info"]


def test_line_below_the_level_is_not_written(clock):
    stream = io.StringIO()
    log = open_log(clock, stream, level="WARNING")
    SAMPLE.write(number=3)
    log.close()
    assert lines_of(stream) == []


def test_lines_over_the_limit_are_dropped_and_counted(clock):
    # In a burst thousands of requests per second are refused. A line for each would
    # take processor time from the requests that are served.
    stream = io.StringIO()
    log = open_log(clock, stream)
    for number in range(10):
        SAMPLE.write(number=number)
    log.report_dropped_lines()
    clock.advance(1.0)
    SAMPLE.write(number=10)
    log.close()
    found = [line for line in lines_of(stream) if line["event"] == SAMPLE.name]
    assert [line["number"] for line in found] == [0, 1, 2, 10]
    (report,) = [line for line in lines_of(stream) if line["event"] == "lines left out"]
    assert (report["of"], report["count"]) == (SAMPLE.name, 7)


def test_lines_of_other_packages_are_limited(clock):
    stream = io.StringIO()
    log = open_log(clock, stream)
    for number in range(200):
        get_logger("papayapick.wire").info("connection failed", extra={"n": number})
    log.close()
    found = [line for line in lines_of(stream) if line["event"] == "connection failed"]
    assert len(found) == 30


def read_all(read_end):
    # Without a reader, closing the stream would block.
    while os.read(read_end, 1 << 16):
        pass


def test_stalled_reader_blocks_no_decision(clock):
    # When the collector of the logs hangs, the pipe of standard output fills and each
    # write blocks forever. The process must still decide, and end when it is stopped;
    # lines are dropped and counted instead.
    read_end, write_end = os.pipe()
    stream = os.fdopen(write_end, "w", buffering=1)
    log = open_log(clock, stream)
    done = threading.Event()

    def decide():
        for number in range(20_000):
            clock.advance(0.5)
            SAMPLE.write(number=number, text="x" * 100)
        log.close()
        done.set()

    threading.Thread(target=decide, daemon=True).start()
    is_done = done.wait(30.0)
    dropped = log._dropped.pop_counts()
    threading.Thread(target=read_all, args=(read_end,), daemon=True).start()
    assert is_done
    assert dropped[SAMPLE.name] > 10_000


@pytest.mark.parametrize("path", SOURCES, ids=lambda path: path.stem)
def test_events_are_written_with_the_fields_that_they_declare(path):
    declared = {
        name: event
        for module in MODULES
        for name, event in vars(
            __import__(f"papayapick.{module}.events", fromlist=["events"])
        ).items()
        if isinstance(event, Event)
    }
    for node in ast.walk(ast.parse(path.read_text())):
        if not isinstance(node, ast.Call) or not isinstance(node.func, ast.Attribute):
            continue
        target = node.func.value
        if node.func.attr not in ("write", "write_failure"):
            continue
        if not isinstance(target, ast.Name) or target.id not in declared:
            continue
        fields = declared[target.id].fields
        given = {one.arg for one in node.keywords if one.arg is not None}
        assert given <= set(fields), f"{target.id}: {given - set(fields)}"
        if all(one.arg is not None for one in node.keywords):
            assert given == set(fields), f"{target.id} lacks {set(fields) - given}"


def test_each_event_is_written_somewhere():
    text = "".join(path.read_text() for path in SOURCES if path.stem != "events")
    for module in MODULES:
        events = __import__(f"papayapick.{module}.events", fromlist=["events"])
        unused = [name for name in events.__all__ if f"{name}.write" not in text]
        assert unused == []


def test_reference_page_is_in_step():
    page = ROOT.joinpath("docs", "ref", "events.md").read_text()
    expected = events_page().splitlines()
    assert page.splitlines() == [line for line in expected if SAMPLE.name not in line]


def test_names_are_unique():
    with pytest.raises(ValueError, match="defined already"):
        Event(next(iter(EVENTS)), "", "Twice.")
