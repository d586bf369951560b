"""A load of urgent and patient jobs on workers of unlike speed, by way of placement."""

import statistics

import pytest

from tests.forecasts.unequal import UnequalPool

SEEDS = range(1, 7)
CASES = {
    "even tasks": {},
    "one task in thirty is seven times as long": {"long_share": 0.03},
    "patient estimates are off by nine tenths": {"estimate_error": 0.9},
}


def _shares(way, case):
    """Return the mean shares in time of urgent and of patient jobs."""
    shares = [UnequalPool(way, seed, **CASES[case]).play() for seed in SEEDS]
    return [
        statistics.mean(share[queue] for share in shares)
        for queue in ("urgent", "patient")
    ]


@pytest.mark.parametrize("case", CASES)
def test_jobs_are_in_time_on_workers_of_unlike_speed(case, record_property):
    """Guards against wide urgent steps that wait for a last task on a slow worker.

    With best fit, half of the urgent jobs are late while fast workers run tasks of
    patient jobs that would be in time on any worker.
    """
    found = {way: _shares(way, case) for way in ("best fit", "by slack")}
    record_property("in time", found)
    print(case, found)
    (fit_urgent, fit_patient), (urgent, patient) = found.values()
    assert urgent > fit_urgent + 0.2
    assert urgent > 0.85
    assert patient > fit_patient - 0.05


def test_patient_jobs_leave_fast_workers_to_urgent_ones(record_property):
    """Guards against fast workers that are full of work with slack."""
    found = {way: _shares(way, "even tasks") for way in ("fastest first", "by slack")}
    record_property("in time", found)
    print(found)
    assert found["by slack"][0] > found["fastest first"][0]
    assert found["by slack"][1] == 1.0
