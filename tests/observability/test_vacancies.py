"""The times without a working owner of a pool are found in logs."""

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


def _vacancies(*texts):
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
    """An owner's silence must count from its begin, not from when it is logged."""
    assert _vacancies(_suspected(49.3, 12.4), _line(49.4, "pool taken", 3)) == [
        (36.9, 49.4, True)
    ]


def test_vacancy_begins_with_the_first_waiting_candidate():
    """A later suspicion must not shorten the vacancy."""
    vacancies = _vacancies(
        _line(5.0, "candidate waits", 2),
        _line(5.2, "candidate waits", 2),
        _suspected(9.0, 0.7),
        _line(9.5, "pool taken", 3),
    )
    assert vacancies == [(5.0, 9.5, True)]


def test_first_job_of_a_new_owner_ends_the_vacancy():
    """Jobs that an owner reads before it logs `pool taken` must end the vacancy."""
    vacancies = _vacancies(
        _suspected(5.0, 0.7),
        _line(6.0, "job taken in", 3),
        _line(6.1, "pool taken", 3),
        _line(6.2, "pool settled", 3),
    )
    assert vacancies == [(4.3, 6.0, True)]


def test_pool_without_a_takeover_is_vacant_at_the_end():
    """A vacancy that no line ends must last until the end of the logs."""
    vacancies = _vacancies(
        _line(5.0, "candidate waits", 2), _line(9.0, "host forgotten", 2)
    )
    assert vacancies == [(5.0, 9.0, False)]


def test_handover_is_a_vacancy():
    """A handover must count like the loss of an owner."""
    vacancies = _vacancies(_line(5.0, "pool left", 2), _line(5.4, "pool taken", 3))
    assert vacancies == [(5.0, 5.4, True)]


@pytest.mark.parametrize("event", ["job taken in", "pool settled"])
def test_false_suspicion_is_no_vacancy(event):
    """The suspicion of an isolated host must not make a vacancy."""
    assert _vacancies(_suspected(5.0, 0.7), _line(6.0, event, 2)) == []


def test_vacancy_begins_after_the_last_line_of_the_owner():
    """A host that never heard from the owner must not hide that it worked before."""
    vacancies = _vacancies(
        _line(5.0, "job taken in", 2),
        _suspected(9.0, 8.0),
        _line(9.5, "pool taken", 3),
    )
    assert vacancies == [(5.0, 9.5, True)]


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
    """A host that learns of a takeover late must not make the pool vacant again."""
    assert _vacancies(_line(5.0, "pool taken", 3), late) == []


def test_other_pools_are_ignored():
    """Lines of another pool must make no vacancy in this one."""
    assert _vacancies(_line(5.0, "candidate waits", 2, pool="p2")) == []
