"""Decoding of the runs that a worker reports."""

import json
from types import SimpleNamespace

import pytest

from papayapick.platform.workers import WorkerClient

TASK = "5c0e7a21d94b36f8.0.0.0"


class StubPool:
    """Answer each call with a report of one run."""

    def __init__(self, row):
        body = {"clock_ms": 5_000, "born": 1, "running": [row], "finished": []}
        self._body = json.dumps(body).encode()

    def request(self, *args, **options):
        return SimpleNamespace(status=200, body=self._body)


def reported_run(row):
    (run,) = WorkerClient("w1", "a:1", StubPool(row)).renew(1, 0).runs
    return run


@pytest.mark.parametrize("rest", [[], [None]])
def test_missing_measurement_is_not_decoded_as_zero(rest):
    """Guards against taking an unmeasured tail latency for one of zero."""
    assert reported_run([TASK, 1, "", 100, *rest]).measurement is None


@pytest.mark.parametrize("measurement", [0, 85])
def test_reported_measurement_is_unchanged(measurement):
    assert reported_run([TASK, 1, "", 100, measurement]).measurement == measurement
