"""Fixtures of the tests of a pool's owner."""

import pytest

from tests.pool.owners import host_with_two_workers


@pytest.fixture
def host():
    return host_with_two_workers()
