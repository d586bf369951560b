"""Fixtures of the tests of jobs."""

import pytest

from papayapick.jobs import JobRegistry


@pytest.fixture
def registry():
    return JobRegistry()
