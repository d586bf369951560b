"""The demo's requests get the expected answers on both deployments."""

import pytest

from demo.__main__ import Demo
from demo.cells import Cell


@pytest.mark.parametrize("deployment", ["footfall", "wayleave"])
def test_demo_reports_no_error(deployment):
    with Cell(deployment) as cell:
        assert Demo(cell).run() == 0
