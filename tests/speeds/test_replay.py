"""Errors of learned speeds in a fixed replay, beside the ways compared with."""

import pytest

from papayapick.speeds import SpeedTier, UnknownSpeeds, WorkerSpeeds
from tests.speeds import replay
from tests.speeds.replay import SpeedReplay

SEEDS = (1, 2, 3)
STRETCH = 1.5


def errors_at(make, seed, has_kinds=True, times=(1.0, 5.0, 20.0)):
    speeds = make()
    speeds.set_stretch(STRETCH)
    load = SpeedReplay(speeds, seed, has_kinds=has_kinds)
    found = []
    for time in times:
        load.run_until(time)
        found.append(load.error())
    return found, speeds, load


def known_alone():
    return WorkerSpeeds(uses_kinds=False)


@pytest.mark.parametrize("seed", SEEDS)
def test_speeds_are_known_sooner_with_the_kind_as_prior(seed):
    """Guards against speeds that are learned only when the load is over.

    One task in thirty takes seven times as long, and estimates are wrong by nine
    tenths, so that durations by themselves tell little.
    """
    unknown, _, _ = errors_at(UnknownSpeeds, seed)
    alone, _, _ = errors_at(known_alone, seed)
    with_kind, _, _ = errors_at(WorkerSpeeds, seed)
    assert min(unknown) > 0.4
    assert with_kind[0] <= unknown[0]
    assert with_kind[1] < 0.10 < 0.25 * unknown[1]
    assert with_kind[1] < alone[1]
    assert with_kind[2] < 0.05
    assert alone[2] < 0.08


@pytest.mark.parametrize("seed", SEEDS)
def test_speeds_are_learned_if_labels_do_not_tell_them(seed):
    """Guards against a kind of mixed workers that hides how they differ."""
    found, speeds, load = errors_at(WorkerSpeeds, seed, has_kinds=False)
    assert found[2] < 0.08
    assert speeds.differ
    tiers = {
        worker: (speeds.tier(worker), speed)
        for worker, speed in load.true_speeds.items()
    }
    assert all(tier == SpeedTier.FAST for tier, speed in tiers.values() if speed > 1.4)
    assert all(tier == SpeedTier.SLOW for tier, speed in tiers.values() if speed < 0.7)


@pytest.mark.parametrize("workers", [8, 20, 60])
@pytest.mark.parametrize("seed", SEEDS)
def test_equal_workers_are_never_found_to_differ(monkeypatch, seed, workers):
    """Guards against decisions that change where all workers are alike."""
    monkeypatch.setattr(replay, "KIND_SPEEDS", {"one": 1.0, "other": 1.0})
    speeds = WorkerSpeeds()
    speeds.set_stretch(1.1)
    load = SpeedReplay(speeds, seed, workers)
    for number in range(1, 60):
        load.run_until(0.5 * number)
        assert not speeds.differ
        assert set(map(speeds.tier, load.true_speeds)) == {SpeedTier.NORMAL}


def test_speeds_do_not_differ_if_no_queue_notices():
    found, speeds, load = errors_at(WorkerSpeeds, 1, times=(20.0,))
    assert speeds.differ
    speeds.set_stretch(8.0)
    speeds.refresh(load.now + 1.0)
    assert not speeds.differ
    assert speeds.as_record(load.now) is None
    speeds.set_stretch(None)
    speeds.refresh(load.now + 2.0)
    assert not speeds.differ


def test_classes_do_not_change_with_each_run():
    """Guards against rooms that are sorted anew at each run near a limit."""
    _, speeds, load = errors_at(WorkerSpeeds, 1, times=(15.0,))
    changes, tiers = 0, {}
    for number in range(150, 400):
        load.run_until(number / 10)
        now = {worker: speeds.tier(worker) for worker in load.true_speeds}
        changes += sum(now[worker] != tier for worker, tier in tiers.items())
        tiers = now
    # Sixty workers, 25 seconds.
    assert changes <= 6
