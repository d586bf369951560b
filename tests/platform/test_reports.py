"""Lists of workers, decoded once into types of the product."""

import json
from types import SimpleNamespace

import pytest

from papayapick.platform.workers import WorkerClient

TASK = "5c0e7a21d94b36f8.0.0.0"


class Pool:
    """Answer each call with one list of what runs."""

    def __init__(self, row):
        body = {"clock_ms": 5_000, "born": 1, "running": [row], "finished": []}
        self._body = json.dumps(body).encode()

    def request(self, *args, **options):
        return SimpleNamespace(status=200, body=self._body)


def listed(row):
    (run,) = WorkerClient("w1", "a:1", Pool(row)).renew(1, 0).runs
    return run


@pytest.mark.parametrize("rest", [[], [None]])
def test_figure_that_is_missing_is_not_zero(rest):
    """A tail that nobody has measured was taken for one of nothing."""
    assert listed([TASK, 1, "", 100, *rest]).measurement is None


@pytest.mark.parametrize("measurement", [0, 85])
def test_figure_that_is_told_stays_as_it_is(measurement):
    assert listed([TASK, 1, "", 100, measurement]).measurement == measurement
