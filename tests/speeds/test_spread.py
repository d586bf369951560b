"""When speeds differ, and the classes of workers near a limit."""

from types import SimpleNamespace

import pytest

from papayapick.speeds import SpeedTier
from papayapick.speeds.spread import SpeedSpread


def workers(*speeds, certainty=0.98):
    return [
        SimpleNamespace(speed=speed, certainty=certainty, tier=SpeedTier.NORMAL)
        for speed in speeds
    ]


def spread_of(stretch=1.5):
    spread = SpeedSpread()
    spread.set_stretch(stretch)
    return spread


@pytest.mark.parametrize(("certainty", "differ"), [(0.98, True), (0.55, False)])
def test_uncertain_speeds_must_be_further_apart(certainty, differ):
    """Guards against differences that are due to a few runs."""
    spread = spread_of()
    states = workers(*[0.75] * 6, *[1.25] * 6, certainty=certainty)
    assert spread.update(states) == differ
    assert spread.differ == differ


def test_speeds_of_few_certain_workers_do_not_count():
    states = workers(0.5, 0.5, 1.5, 1.5) + workers(*[1.0] * 20, certainty=0.4)
    spread = spread_of()
    spread.update(states)
    assert not spread.differ


def test_single_slow_and_fast_workers_do_not_make_speeds_differ():
    """Guards against a worker that is slow for a moment, in a pool of equal ones."""
    spread = spread_of()
    spread.update(workers(0.2, *[1.0] * 10, 3.0))
    assert not spread.differ


def test_differences_count_until_they_are_clearly_smaller():
    """Guards against decisions that change their way several times a second."""
    spread = spread_of()
    wide, near, narrow = (
        workers(*[low] * 6, *[high] * 6)
        for low, high in ((0.7, 1.3), (0.81, 1.19), (0.95, 1.05))
    )
    assert [spread.update(near), spread.differ] == [False, False]
    assert [spread.update(wide), spread.differ] == [True, True]
    assert [spread.update(near), spread.differ] == [False, True]
    assert [spread.update(narrow), spread.differ] == [True, False]


def test_worker_near_a_limit_keeps_its_class():
    """Guards against rooms that are sorted anew at each run."""
    spread = spread_of()
    states = workers(*[0.6] * 6, 1.0, *[1.6] * 6)
    found = []
    for speed in (1.0, 1.15, 1.3, 1.15, 1.0, 0.87, 0.75, 0.87, 1.0):
        states[6].speed = speed
        spread.update(states)
        found.append(states[6].tier.name[0])
    assert "".join(found) == "NNFFNNSSN"
    assert {state.tier for state in states[:6]} == {SpeedTier.SLOW}
    assert {state.tier for state in states[7:]} == {SpeedTier.FAST}


def test_stretch_of_one_does_not_make_all_workers_differ():
    """Guards against queues whose policy leaves no slack at all."""
    spread = spread_of(stretch=1.0)
    spread.update(workers(*[0.95] * 6, *[1.05] * 6))
    assert not spread.differ
