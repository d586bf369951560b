"""A stand-in of the platform for the tests of its contracts."""

import pytest

from papayapick.clients import HttpPool
from tests.standins.cluster import Cluster


@pytest.fixture(scope="module")
def server():
    cluster = Cluster()
    yield cluster
    cluster.close()


@pytest.fixture
def cluster(server):
    server.reset()
    # Longer than a test takes, so that no machine returns during a test.
    server.machines.upkeep_seconds = 60.0
    return server


@pytest.fixture
def pool():
    pool = HttpPool(1.0)
    yield pool
    pool.close()
