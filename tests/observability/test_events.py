"""Events are typed, bounded in volume, and never hold up whoever decides."""

import ast
import io
import json
import logging
import os
import threading

import pytest

from demo.cells import ROOT
from papayapick.clock import ManualClock
from papayapick.observability.events import EVENTS, Event, EventLog
from papayapick.observability.logs import get_logger
from papayapick.observability.queries import events_page

SEEN = Event("seen in a test", "number text", "Only here.", per_second=3)
SOURCES = [
    path
    for package in ("entry", "pool")
    for path in sorted(ROOT.joinpath("papayapick", package).glob("*.py"))
]


@pytest.fixture
def clock():
    return ManualClock(100.0)


@pytest.fixture(autouse=True)
def logging_as_before():
    root = logging.getLogger("papayapick")
    before = root.handlers, root.level, root.propagate
    yield
    root.handlers, root.level, root.propagate = before


def lines_of(stream):
    return [json.loads(line) for line in stream.getvalue().splitlines()]


def open_log(clock, stream, level="INFO"):
    log = EventLog(clock, level, {"host": "h1"}, stream)
    log.start()
    return log


def test_line_has_its_fields_and_those_of_the_process(clock):
    stream = io.StringIO()
    log = open_log(clock, stream)
    SEEN.write(number=3, text="x")
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


def test_failure_carries_its_exception(clock):
    stream = io.StringIO()
    log = open_log(clock, stream)
    try:
        raise ValueError("of the test")
    except ValueError:
        SEEN.write_failure(number=1)
    log.close()
    assert "ValueError: of the test" in lines_of(stream)[0]["exc_info"]


def test_line_under_the_level_is_not_written(clock):
    stream = io.StringIO()
    log = open_log(clock, stream, level="WARNING")
    SEEN.write(number=3)
    log.close()
    assert lines_of(stream) == []


def test_burst_is_cut_off_and_counted(clock):
    # A burst refuses thousands of callers in a second; a line for each would cost
    # the processor time that is needed to serve the others.
    stream = io.StringIO()
    log = open_log(clock, stream)
    for number in range(10):
        SEEN.write(number=number)
    log.report_dropped_lines()
    clock.advance(1.0)
    SEEN.write(number=10)
    log.close()
    found = [line for line in lines_of(stream) if line["event"] == SEEN.name]
    assert [line["number"] for line in found] == [0, 1, 2, 10]
    (told,) = [line for line in lines_of(stream) if line["event"] == "lines left out"]
    assert (told["of"], told["count"]) == (SEEN.name, 7)


def test_lines_of_other_packages_are_bounded_too(clock):
    stream = io.StringIO()
    log = open_log(clock, stream)
    for number in range(200):
        get_logger("papayapick.wire").info("connection failed", extra={"n": number})
    log.close()
    found = [line for line in lines_of(stream) if line["event"] == "connection failed"]
    assert len(found) == 30


def read_all(reading):
    # Else the stream would wait for its reader when it is closed at last.
    while os.read(reading, 1 << 16):
        pass


def test_reader_that_has_stopped_holds_up_nobody(clock):
    # The collector of the logs hangs: the pipe of standard output fills, and each
    # write into it waits for ever. The process must go on deciding, and end when it
    # is told to; lines are lost instead, and counted.
    reading, writing = os.pipe()
    stream = os.fdopen(writing, "w", buffering=1)
    log = open_log(clock, stream)
    done = threading.Event()

    def decide():
        for number in range(20_000):
            clock.advance(0.5)
            SEEN.write(number=number, text="x" * 100)
        log.close()
        done.set()

    threading.Thread(target=decide, daemon=True).start()
    is_done = done.wait(30.0)
    left_out = log._left_out.take()
    threading.Thread(target=read_all, args=(reading,), daemon=True).start()
    assert is_done
    assert left_out[SEEN.name] > 10_000


@pytest.mark.parametrize("path", SOURCES, ids=lambda path: path.stem)
def test_events_are_written_with_the_fields_that_they_declare(path):
    declared = {
        name: event
        for module in ("entry", "pool")
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
    for module in ("entry", "pool"):
        events = __import__(f"papayapick.{module}.events", fromlist=["events"])
        unused = [name for name in events.__all__ if f"{name}.write" not in text]
        assert unused == []


def test_reference_page_is_in_step():
    page = ROOT.joinpath("docs", "ref", "events.md").read_text()
    expected = events_page().splitlines()
    assert page.splitlines() == [line for line in expected if SEEN.name not in line]


def test_names_are_unique():
    with pytest.raises(ValueError, match="there already"):
        Event(next(iter(EVENTS)), "", "Twice.")
