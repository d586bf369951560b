"""Speeds of single workers: bounds, wrong reports, other incarnations, records."""

import math

import pytest
from hypothesis import given
from hypothesis import strategies as st

from papayapick.jobs import RunPhase
from papayapick.speeds import SpeedTier, WorkerSpeeds
from tests.speeds.replay import SpeedReplay, end_run, registration, run_of, step_of

WORKERS = tuple(f"w{number}" for number in range(8))
MAX_SPEED = 16.0


def learn(speeds, durations, steps, begin=0.0):
    """Run steps with a task on each worker; return the time of the last end."""
    now = begin
    for number in range(steps):
        step = step_of(f"{int(begin * 1000) + number:016x}", len(durations))
        runs = [
            run_of(step, index, worker, now) for index, worker in enumerate(durations)
        ]
        for run in sorted(runs, key=lambda run: durations[run.worker]):
            end_run(speeds, step, run, now + durations[run.worker])
        now += max(durations.values())
        speeds.refresh(now)
    return now


def speeds_of(workers=WORKERS, kinds=None):
    speeds = WorkerSpeeds()
    speeds.set_stretch(1.5)
    for worker in workers:
        speeds.add_worker(registration(worker, (kinds or {}).get(worker, "one")))
    return speeds


def learned_speeds_of_two_kinds():
    """Return speeds in which big workers are twice as fast, and the time then."""
    kinds = {
        worker: "big" if number < 4 else "small"
        for number, worker in enumerate(WORKERS)
    }
    speeds = speeds_of(kinds=kinds)
    durations = {name: 0.5 if kind == "big" else 1.0 for name, kind in kinds.items()}
    return speeds, learn(speeds, durations, steps=12)


@given(
    st.lists(
        st.tuples(
            st.sampled_from(WORKERS),
            st.floats(allow_nan=True, allow_infinity=True),
            st.integers(-5, 200),
            st.sampled_from(["end", "progress", "restart", "leave"]),
        ),
        max_size=60,
    )
)
def test_speeds_stay_within_bounds_whatever_is_fed(found):
    """Guards against a speed of 0 or infinity, which all forecasts divide by."""
    speeds = speeds_of()
    now = 0.0
    step = None
    for number, (worker, seconds, percent, what) in enumerate(found):
        if number % 6 == 0:
            step = step_of(f"{number:016x}", 6)
        now += 0.3
        run = run_of(step, number % 6, worker, now - seconds)
        if what == "end":
            end_run(speeds, step, run, now)
        elif what == "progress":
            run.percent = percent
            pairs = [
                (one, abs(seconds))
                for one in step.active_runs()
                if 0.0 < abs(seconds) < math.inf
            ]
            speeds.note_progress(step, pairs, now)
        elif what == "restart":
            speeds.note_incarnation(worker, percent)
        else:
            speeds.forget(worker)
            speeds.add_worker(registration(worker))
        speeds.refresh(now)
        values = [speeds.speed(one) for one in WORKERS]
        assert all(1 / MAX_SPEED <= value <= MAX_SPEED for value in values)
        assert all(0.0 <= speeds.certainty(one) <= 1.0 for one in WORKERS)
        assert sum(values) / len(values) == pytest.approx(1.0, abs=0.3)


def test_resumed_runs_gangs_lasting_tasks_and_fillers_do_not_count():
    speeds = speeds_of()
    step = step_of("1" * 16, 4)
    for index, worker in enumerate(WORKERS[:4]):
        run = run_of(step, index, worker, 0.0)
        run.is_resumed = index % 2 == 0
        run.shows_worker_speed = index % 2 == 0
        assert end_run(speeds, step, run, 1.0 + index) == []
    speeds.refresh(5.0)
    assert {speeds.speed(worker) for worker in WORKERS} == {1.0}


def test_single_tasks_tell_nothing():
    speeds = speeds_of()
    for number, worker in enumerate(WORKERS * 4):
        step = step_of(f"{number:016x}", 1)
        end_run(speeds, step, run_of(step, 0, worker, 0.0), 1.0 + number)
    speeds.refresh(50.0)
    assert {speeds.speed(worker) for worker in WORKERS} == {1.0}


def test_one_long_run_changes_a_speed_little():
    """Guards against a worker that counts as slow for one task of seven lengths."""
    speeds = speeds_of()
    now = learn(speeds, dict.fromkeys(WORKERS, 1.0), steps=6)
    learn(speeds, {**dict.fromkeys(WORKERS, 1.0), "w0": 7.0}, 1, begin=now)
    assert speeds.speed("w0") > 0.94
    assert speeds.tier("w0") == SpeedTier.NORMAL


def test_end_that_is_read_late_tells_nothing():
    """Guards against a worker that counts as slow as it could not be reached."""
    speeds = speeds_of()
    now = learn(speeds, dict.fromkeys(WORKERS, 1.0), steps=6)
    known = speeds.speed("w0")
    for number in range(6):
        step = step_of(f"{100 + number:016x}", len(WORKERS))
        runs = [run_of(step, index, name, now) for index, name in enumerate(WORKERS)]
        for run in reversed(runs):
            is_late = run.worker == "w0"
            end_run(speeds, step, run, now + 1.0 + 3.0 * is_late, 3.0 * is_late)
        now += 4.0
        speeds.refresh(now)
    assert speeds.speed("w0") == pytest.approx(known, abs=0.01)


def test_worker_that_reports_wrong_progress_is_known_by_its_ends():
    """Guards against a worker that claims to be five times as fast as it is.

    Reports count less than ends and are cut, so that it is not given the work that has
    no time left.
    """
    speeds = speeds_of()
    now = 0.0
    for number in range(12):
        step = step_of(f"{number:016x}", len(WORKERS))
        runs = [run_of(step, index, name, now) for index, name in enumerate(WORKERS)]
        for run in runs:
            run.percent, run.phase = 40, RunPhase.RUNNING
        projected = [(run, 0.2 if run.worker == "w0" else 1.0) for run in runs]
        speeds.note_progress(step, projected, now + 0.2)
        speeds.note_progress(step, projected, now + 0.3)
        for run in runs:
            end_run(speeds, step, run, now + 1.0)
        now += 1.0
        speeds.refresh(now)
    assert 0.9 < speeds.speed("w0") < 1.35


@pytest.mark.parametrize(("before", "after"), [(0.5, 2.0), (2.0, 0.5)])
def test_worker_that_comes_back_at_another_speed_is_learned_anew(before, after):
    """Guards against a new incarnation that is taken for the old one."""
    speeds = speeds_of()
    speeds.note_incarnation("w0", 1)
    now = learn(speeds, {**dict.fromkeys(WORKERS, 1.0), "w0": before}, steps=12)
    known = speeds.speed("w0")
    assert (known > 1.4) if before < 1.0 else (known < 0.7)
    speeds.note_incarnation("w0", 1)
    assert speeds.speed("w0") == known
    speeds.note_incarnation("w0", 2)
    speeds.refresh(now + 1.0)
    assert speeds.speed("w0") == pytest.approx(1.0, abs=0.2)
    durations = {**dict.fromkeys(WORKERS, 1.0), "w0": after}
    learn(speeds, durations, 12, begin=now + 1.0)
    assert (speeds.speed("w0") > 1.4) == (after < 1.0)


def test_worker_of_another_kind_at_the_same_address_starts_from_that_kind():
    speeds, now = learned_speeds_of_two_kinds()
    speeds.add_worker(registration("w0", "small"))
    speeds.refresh(now + 1.0)
    assert speeds.speed("w0") == pytest.approx(speeds.speed("w5"), rel=0.2)


def test_new_worker_has_the_speed_of_its_kind_but_not_of_its_rack():
    speeds, now = learned_speeds_of_two_kinds()
    speeds.add_worker(registration("w9", "big", rack="r-77"))
    speeds.refresh(now + 1.0)
    assert speeds.differ
    assert speeds.tier("w9") == SpeedTier.FAST
    assert speeds.certainty("unknown") == 0.0
    assert speeds.tier("unknown") == SpeedTier.NORMAL


def test_what_is_old_is_forgotten_slowly():
    speeds = speeds_of()
    now = learn(speeds, {**dict.fromkeys(WORKERS, 1.0), "w0": 2.0}, steps=12)
    known = speeds.certainty("w0")
    speeds.set_stretch(1.5)
    speeds.refresh(now + 60.0)
    # Each of its weights has halved, so that a new run counts twice as much.
    assert speeds.certainty("w0") < known - 0.04
    assert speeds.speed("w0") < 0.8


def test_kinds_that_no_worker_has_are_bounded():
    speeds = WorkerSpeeds()
    for number in range(500):
        speeds.add_worker(registration("w0", f"kind{number}"))
    assert len(speeds._kinds) <= 101


def learned(seed=1):
    speeds = WorkerSpeeds()
    speeds.set_stretch(1.5)
    load = SpeedReplay(speeds, seed)
    load.run_until(20.0)
    return speeds, load


def test_next_owner_continues_from_the_record():
    """Guards against an owner that is lost while all is learned."""
    speeds, load = learned()
    record = speeds.as_record(load.now)
    fresh = WorkerSpeeds()
    fresh.set_stretch(1.5)
    next_load = SpeedReplay(fresh, 1)
    before = next_load.error()
    fresh.restore(record, 2.0)
    fresh.refresh(1000.0)
    assert fresh.differ
    assert before > 0.4
    assert next_load.error() < 0.08
    assert all(fresh.tier(worker) == speeds.tier(worker) for worker in load.true_speeds)


def test_restored_speeds_count_at_once():
    """Guards against a new owner whose first round takes all workers for equal.

    It places all that waited, and urgent steps would be given the slow workers first.
    """
    speeds, load = learned()
    fresh = speeds_of(load.true_speeds)
    fresh.set_stretch(1.5)
    fresh.restore(speeds.as_record(load.now), 2.0)
    assert fresh.differ
    for worker in load.true_speeds:
        assert fresh.speed(worker) == pytest.approx(speeds.speed(worker), rel=0.1)
        assert fresh.tier(worker) == speeds.tier(worker)


def test_restored_worker_that_restarted_meanwhile_starts_from_its_kind():
    speeds = speeds_of()
    speeds.note_incarnation("w0", 1)
    learn(speeds, {**dict.fromkeys(WORKERS, 1.0), "w0": 3.0, "w1": 3.0, "w2": 3.0}, 12)
    record = speeds.as_record(100.0)
    fresh = speeds_of()
    fresh.restore(record, 1.0)
    fresh.note_incarnation("w0", 2)
    fresh.refresh(100.0)
    assert fresh.speed("w0") > 1.5 * fresh.speed("w1")


@pytest.mark.parametrize(
    "record",
    [
        {"worker/w0": [1]},
        {"worker/w0": ["x", 10, 1, None]},
        {"worker/w0": [0, 10, 7, None]},
        {"worker/w0": [0, float("nan"), 1, None]},
        {"worker/w0": [99999, 10, 1, None]},
        {"worker/w0": [0, 10, 1, "born"]},
        {"kind/a": None},
        ["worker/w0"],
    ],
)
def test_record_that_cannot_be_read_changes_nothing(record):
    speeds = speeds_of()
    with pytest.raises((AttributeError, TypeError, ValueError)):
        speeds.restore(record, 1.0)
    speeds.refresh(1.0)
    assert not speeds.differ
    assert speeds.certainty("w0") == 0.0


def test_record_of_many_workers_is_small():
    speeds, load = learned()
    record = speeds.as_record(load.now)
    size = sum(len(str(key)) + len(str(value)) for key, value in record.items())
    assert size / len(load.true_speeds) < 48


def test_large_pool_derives_its_speeds_less_often():
    """Guards against an owner of thousands of workers that holds its lock for this."""
    speeds = speeds_of([f"w{number}" for number in range(2000)])
    speeds.refresh(10.0)
    speeds.set_stretch(1.5)
    speeds.refresh(11.9)
    assert speeds._is_changed
    speeds.refresh(12.1)
    assert not speeds._is_changed
