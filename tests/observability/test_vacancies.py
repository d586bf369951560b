"""For how long nobody worked for a pool, as far as logs tell."""

import json

import pytest

from papayapick.observability.log_reader import read_lines
from papayapick.observability.vacancies import read_vacancies


def _line(second, event, epoch, pool="p1", **fields):
    time = f"2026-03-11 10:00:{second:06.3f}".replace(".", ",")
    fields = {"pool": pool, "epoch": epoch, **fields}
    return json.dumps({"time": time, "event": event, **fields})


def _suspected(second, silent, epoch=2, **fields):
    silence = {"silent_seconds": silent, "owner": "h1"}
    return _line(second, "owner suspected", epoch, **silence, **fields)


def _spans(*texts):
    lines = read_lines(texts)
    (origin,) = read_lines([_line(0.0, "pool left", 0)])
    return [
        (
            pytest.approx(one.begin - origin.seconds),
            pytest.approx(one.end - origin.seconds),
            one.is_over,
        )
        for one in read_vacancies(lines, "p1")
    ]


def test_silence_before_the_suspicion_counts():
    """An owner's silence must not begin only where a host writes of it."""
    assert _spans(_suspected(49.3, 12.4), _line(49.4, "pool taken", 3)) == [
        (36.9, 49.4, True)
    ]


def test_first_host_that_waits_begins_the_vacancy():
    """The wait of a candidate must not be hidden by a later suspicion."""
    spans = _spans(
        _line(5.0, "candidate waits", 2),
        _line(5.2, "candidate waits", 2),
        _suspected(9.0, 0.7),
        _line(9.5, "pool taken", 3),
    )
    assert spans == [(5.0, 9.5, True)]


def test_new_owner_that_takes_jobs_in_first_ends_the_vacancy():
    """Jobs that an owner reads before it writes `pool taken` must not hide it."""
    spans = _spans(
        _suspected(5.0, 0.7),
        _line(6.0, "job taken in", 3),
        _line(6.1, "pool taken", 3),
        _line(6.2, "pool settled", 3),
    )
    assert spans == [(4.3, 6.0, True)]


def test_pool_that_nobody_took_is_vacant_at_the_end():
    """A pool without an owner must not look served since no line ends it."""
    spans = _spans(_line(5.0, "candidate waits", 2), _line(9.0, "host forgotten", 2))
    assert spans == [(5.0, 9.0, False)]


def test_pool_that_was_given_up_is_vacant_until_it_is_taken():
    """A handover must count as well as a loss."""
    spans = _spans(_line(5.0, "pool left", 2), _line(5.4, "pool taken", 3))
    assert spans == [(5.0, 5.4, True)]


@pytest.mark.parametrize("event", ["job taken in", "pool settled"])
def test_owner_that_works_on_was_not_missing(event):
    """A host that is cut off must not make a pool vacant by its suspicion."""
    assert _spans(_suspected(5.0, 0.7), _line(6.0, event, 2)) == []


def test_silence_does_not_begin_before_the_owner_last_worked():
    """A host that heard no owner since its start must not hide one that worked."""
    spans = _spans(
        _line(5.0, "job taken in", 2),
        _suspected(9.0, 8.0),
        _line(9.5, "pool taken", 3),
    )
    assert spans == [(5.0, 9.5, True)]


@pytest.mark.parametrize(
    "late",
    [
        _line(6.0, "pool left", 2),
        _line(6.0, "candidate waits", 2),
        _suspected(6.0, 3.0),
    ],
    ids=["left", "waits", "suspected"],
)
def test_late_line_of_an_earlier_epoch_makes_no_vacancy(late):
    """A host that learns late of a takeover must not make the pool vacant again."""
    assert _spans(_line(5.0, "pool taken", 3), late) == []


def test_other_pools_are_left_out():
    """The owner of another pool must not be missed in this one."""
    assert _spans(_line(5.0, "candidate waits", 2, pool="p2")) == []
