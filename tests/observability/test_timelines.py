"""A request is explained from the log lines of several hosts."""

import json

import pytest

from papayapick.observability.log_reader import read_lines
from papayapick.observability.timelines import RequestTimeline
from tests.management.commands import run_command

JOB = "5c0e7a21d94b36f8"


def _line(time, event, **fields):
    return json.dumps({"time": time, "event": event, **fields})


def _request_line(time, event, **fields):
    return _line(time, event, request_id=JOB, **fields)


def _timeline(*texts):
    return RequestTimeline(JOB, read_lines(texts))


def test_wait_over_midnight_is_the_longest():
    """A wait that ends on the next day must not count as a negative one."""
    timeline = _timeline(
        _request_line("2026-03-11 23:59:57,000", "job accepted"),
        _request_line("2026-03-11 23:59:58,000", "job taken in"),
        _request_line("2026-03-11 23:59:58,100", "step waits", reason="room"),
        _request_line("2026-03-12 00:00:03,000", "step placed"),
        _request_line("2026-03-12 00:00:04,000", "job ended", status="completed"),
    )
    assert timeline.deciding().event == "step waits"


def test_wait_of_a_whole_day_is_longer_than_one_of_an_hour():
    """Whole days between two lines must count in the time between them."""
    timeline = _timeline(
        _request_line("2026-03-11 10:00:00,000", "job accepted"),
        _request_line("2026-03-11 11:00:00,000", "job taken in"),
        _request_line("2026-03-12 11:00:00,000", "step placed"),
        _request_line("2026-03-12 11:00:01,000", "job ended", status="completed"),
    )
    assert timeline.deciding().event == "step placed"


def test_takeover_of_another_pool_is_no_cause():
    """A wait must not be explained by a pool that the request is not in."""
    timeline = _timeline(
        _request_line("2026-03-11 10:00:00,000", "job accepted", pool="p1"),
        _line("2026-03-11 10:00:02,000", "pool taken", pool="p2", epoch=4),
        _line("2026-03-11 10:00:03,000", "store lost"),
        _request_line("2026-03-11 10:00:05,000", "job taken in", pool="p1", epoch=1),
        _request_line("2026-03-11 10:00:05,100", "step placed"),
        _request_line("2026-03-11 10:00:06,000", "job ended", status="completed"),
    )
    assert timeline.deciding().event == "store lost"
    assert [line.event for line in timeline.context_lines()] == ["store lost"]


_ACCEPTED = _request_line("2026-03-11 10:00:01,000", "job accepted", pool="p1")
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
    _request_line("2026-03-11 10:00:12,600", "job taken in", pool="p1", epoch=3),
    _request_line("2026-03-11 10:00:12,700", "step placed"),
    _request_line("2026-03-11 10:00:14,000", "job ended", status="completed"),
)


def _vacant_seconds(timeline):
    return [one.seconds for one in timeline.vacancies()]


def test_wait_without_an_owner_is_measured():
    """The time that a request waits for an owner must be shown."""
    assert _vacant_seconds(_timeline(*_TAKEN_OVER)) == [pytest.approx(11.5)]


def test_request_without_an_owner_is_explained():
    """A request without an owner must be explained by the lack of one."""
    timeline = _timeline(_WAITS, _ACCEPTED, _SUSPECTED)
    assert timeline.deciding().event == "owner suspected"
    assert _vacant_seconds(timeline) == [pytest.approx(11.0)]


def test_owner_lost_before_the_placement_leaves_a_vacancy():
    """A request must not look served after the owner that read it is gone."""
    taken_in = _request_line(
        "2026-03-11 10:00:01,100", "job taken in", pool="p1", epoch=2
    )
    waits = _WAITS.replace("10:00:00,500", "10:00:04,500")
    end = _line("2026-03-11 10:00:09,500", "host reached again")
    timeline = _timeline(_ACCEPTED, taken_in, waits, end)
    assert timeline.deciding().event == "candidate waits"
    assert _vacant_seconds(timeline) == [pytest.approx(5.0)]


def test_vacancy_after_the_placement_is_ignored():
    """The later loss of an owner must not explain an earlier wait."""
    later = _SUSPECTED.replace("10:00:12,000", "10:00:20,000").replace("11.8", "0.7")
    placed = _request_line("2026-03-11 10:00:02,000", "step placed")
    ended = _request_line("2026-03-11 10:00:30,000", "job ended", status="completed")
    assert _vacant_seconds(_timeline(_ACCEPTED, placed, later, ended)) == []


def test_refused_request_has_no_vacancy():
    """A request that was never accepted waits for no owner."""
    refused = _request_line("2026-03-11 10:00:01,000", "request refused")
    assert _vacant_seconds(_timeline(_WAITS, refused, _SUSPECTED)) == []


def test_command_shows_the_time_without_an_owner(tmp_path):
    """The command must show vacancies to the engineer on call."""
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


def test_request_placed_meanwhile_had_an_owner():
    """A false suspicion by an isolated host must not make a vacancy."""
    placed = _request_line("2026-03-11 10:00:03,000", "step placed", epoch=2)
    ended = _request_line("2026-03-11 10:00:04,000", "job ended", status="completed")
    assert _vacant_seconds(_timeline(_WAITS, _ACCEPTED, placed, ended)) == []


def test_running_request_is_explained_by_its_own_lines():
    """Time after the placement must not count as a wait for it."""
    placed = _request_line("2026-03-11 10:00:02,000", "step placed", epoch=2)
    taken = _line("2026-03-11 10:00:30,000", "pool taken", pool="p1", epoch=3)
    assert _timeline(_ACCEPTED, placed, taken).deciding().event == "step placed"
