"""What the logs of several hosts say of one request, and what decided it."""

import json

from papayapick.observability.logged import read_lines
from papayapick.observability.stories import Story

JOB = "5c0e7a21d94b36f8"


def _line(time, event, **fields):
    return json.dumps({"time": time, "event": event, **fields})


def _own(time, event, **fields):
    return _line(time, event, request_id=JOB, **fields)


def _story(*texts):
    return Story(JOB, read_lines(texts))


def test_wait_over_midnight_is_the_longest():
    """A wait that ends on the next day must not count as a negative one."""
    story = _story(
        _own("2026-03-11 23:59:57,000", "job accepted"),
        _own("2026-03-11 23:59:58,000", "job taken in"),
        _own("2026-03-11 23:59:58,100", "step waits", reason="room"),
        _own("2026-03-12 00:00:03,000", "step placed"),
        _own("2026-03-12 00:00:04,000", "job ended", status="completed"),
    )
    assert story.deciding().event == "step waits"


def test_wait_of_a_whole_day_is_longer_than_one_of_an_hour():
    """Days that pass between two lines must not fall out of the time between them."""
    story = _story(
        _own("2026-03-11 10:00:00,000", "job accepted"),
        _own("2026-03-11 11:00:00,000", "job taken in"),
        _own("2026-03-12 11:00:00,000", "step placed"),
        _own("2026-03-12 11:00:01,000", "job ended", status="completed"),
    )
    assert story.deciding().event == "step placed"


def test_takeover_of_another_pool_is_no_cause():
    """A pool that the request isn't of must not be named for its wait."""
    story = _story(
        _own("2026-03-11 10:00:00,000", "job accepted", pool="p1"),
        _line("2026-03-11 10:00:02,000", "pool taken", pool="p2", epoch=4),
        _line("2026-03-11 10:00:03,000", "store lost"),
        _own("2026-03-11 10:00:05,000", "job taken in", pool="p1", epoch=1),
        _own("2026-03-11 10:00:05,100", "step placed"),
        _own("2026-03-11 10:00:06,000", "job ended", status="completed"),
    )
    assert story.deciding().event == "store lost"
    assert [line.event for line in story.around()] == ["store lost"]
