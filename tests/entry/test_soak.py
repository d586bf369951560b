"""A short soak of entry hosts under seeded faults; the long one is run by hand."""

import pytest

from tests.entry.soak import Soak

SECONDS = 12.0


@pytest.mark.parametrize("seed", [26, 41])
def test_no_task_runs_twice_under_random_faults(seed, tmp_path):
    soak = Soak(seed, tmp_path, seconds=SECONDS, hosts=3)
    assert soak.run() == []
    assert soak.runs > 20
