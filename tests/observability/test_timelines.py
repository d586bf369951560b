"""What the logs of several hosts say of one request, and what decided it."""

import json

import pytest

from papayapick.observability.log_reader import read_lines
from papayapick.observability.timelines import RequestTimeline
from tests.management.commands import run_command

JOB = "5c0e7a21d94b36f8"


def _line(time, event, **fields):
    return json.dumps({"time": time, "event": event, **fields})


def _own(time, event, **fields):
    return _line(time, event, request_id=JOB, **fields)


def _story(*texts):
    return RequestTimeline(JOB, read_lines(texts))


def test_wait_over_midnight_is_the_longest():
    """A wait that ends on the next day must not count as a negative one."""
    timeline = _story(
        _own("2026-03-11 23:59:57,000", "job accepted"),
        _own("2026-03-11 23:59:58,000", "job taken in"),
        _own("2026-03-11 23:59:58,100", "step waits", reason="room"),
        _own("2026-03-12 00:00:03,000", "step placed"),
        _own("2026-03-12 00:00:04,000", "job ended", status="completed"),
    )
    assert timeline.deciding().event == "step waits"


def test_wait_of_a_whole_day_is_longer_than_one_of_an_hour():
    """Days that pass between two lines must not fall out of the time between them."""
    timeline = _story(
        _own("2026-03-11 10:00:00,000", "job accepted"),
        _own("2026-03-11 11:00:00,000", "job taken in"),
        _own("2026-03-12 11:00:00,000", "step placed"),
        _own("2026-03-12 11:00:01,000", "job ended", status="completed"),
    )
    assert timeline.deciding().event == "step placed"


def test_takeover_of_another_pool_is_no_cause():
    """A pool that the request isn't of must not be named for its wait."""
    timeline = _story(
        _own("2026-03-11 10:00:00,000", "job accepted", pool="p1"),
        _line("2026-03-11 10:00:02,000", "pool taken", pool="p2", epoch=4),
        _line("2026-03-11 10:00:03,000", "store lost"),
        _own("2026-03-11 10:00:05,000", "job taken in", pool="p1", epoch=1),
        _own("2026-03-11 10:00:05,100", "step placed"),
        _own("2026-03-11 10:00:06,000", "job ended", status="completed"),
    )
    assert timeline.deciding().event == "store lost"
    assert [line.event for line in timeline.context_lines()] == ["store lost"]


_ACCEPTED = _own("2026-03-11 10:00:01,000", "job accepted", pool="p1")
_WAITS = _line("2026-03-11 10:00:00,500", "candidate waits", pool="p1", epoch=2)
_SUSPECTED = _line(
    "2026-03-11 10:00:12,000",
    "owner suspected",
    pool="p1",
    epoch=2,
    owner="h1",
    silent_seconds=11.8,
)
_TAKEN_OVER = (
    _ACCEPTED,
    _SUSPECTED,
    _line("2026-03-11 10:00:12,500", "pool taken", pool="p1", epoch=3),
    _own("2026-03-11 10:00:12,600", "job taken in", pool="p1", epoch=3),
    _own("2026-03-11 10:00:12,700", "step placed"),
    _own("2026-03-11 10:00:14,000", "job ended", status="completed"),
)


def _vacant(timeline):
    return [one.seconds for one in timeline.vacancies()]


def test_wait_without_an_owner_is_told():
    """A request must not wait for an owner without a word of how long."""
    assert _vacant(_story(*_TAKEN_OVER)) == [pytest.approx(11.5)]


def test_request_that_nobody_took_in_is_explained():
    """A request without an owner must not be explained by its acceptance."""
    timeline = _story(_WAITS, _ACCEPTED, _SUSPECTED)
    assert timeline.deciding().event == "owner suspected"
    assert _vacant(timeline) == [pytest.approx(11.0)]


def test_owner_lost_before_it_placed_the_request_is_told():
    """A request that an owner took in must not look served once that one is gone."""
    taken_in = _own("2026-03-11 10:00:01,100", "job taken in", pool="p1", epoch=2)
    waits = _WAITS.replace("10:00:00,500", "10:00:04,500")
    end = _line("2026-03-11 10:00:09,500", "host reached again")
    timeline = _story(_ACCEPTED, taken_in, waits, end)
    assert timeline.deciding().event == "candidate waits"
    assert _vacant(timeline) == [pytest.approx(5.0)]


def test_vacancy_after_the_placement_is_not_told():
    """An owner that is lost later must not be blamed for an early wait."""
    later = _SUSPECTED.replace("10:00:12,000", "10:00:20,000").replace("11.8", "0.7")
    placed = _own("2026-03-11 10:00:02,000", "step placed")
    ended = _own("2026-03-11 10:00:30,000", "job ended", status="completed")
    assert _vacant(_story(_ACCEPTED, placed, later, ended)) == []


def test_request_that_was_refused_tells_of_no_vacancy():
    """A request that was never accepted waits for no owner."""
    refused = _own("2026-03-11 10:00:01,000", "request refused")
    assert _vacant(_story(_WAITS, refused, _SUSPECTED)) == []


def test_command_shows_the_time_without_an_owner(tmp_path):
    """What the timeline knows of a vacancy must reach the engineer on call."""
    path = tmp_path / "host.log"
    path.write_text("\n".join(_TAKEN_OVER))
    arguments = ("logs", "explain", JOB, path)
    assert (
        "pool p1 had no working owner for 11.50 s of its wait, from 2026-03-11 10:00:01"
        in run_command(*arguments).out
    )
    vacancies = run_command(*arguments, "--json").lines[-1]["vacancies"]
    assert [(one["pool"], one["seconds"], one["is_over"]) for one in vacancies] == [
        ("p1", 11.5, True)
    ]


def test_request_that_was_placed_meanwhile_had_an_owner():
    """A host that is cut off must not take a working owner's placement for none."""
    placed = _own("2026-03-11 10:00:03,000", "step placed", epoch=2)
    ended = _own("2026-03-11 10:00:04,000", "job ended", status="completed")
    assert _vacant(_story(_WAITS, _ACCEPTED, placed, ended)) == []


def test_running_request_is_explained_by_its_own_lines():
    """What comes after the placement must not count as a wait for one."""
    placed = _own("2026-03-11 10:00:02,000", "step placed", epoch=2)
    taken = _line("2026-03-11 10:00:30,000", "pool taken", pool="p1", epoch=3)
    assert _story(_ACCEPTED, placed, taken).deciding().event == "step placed"
