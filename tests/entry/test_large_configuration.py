"""Configurations of thousands of routes, behind links that take seconds for one."""

import pytest

from tests.entry.cell import EntryCell, wait_for
from tests.standins.cluster import Cluster
from tests.standins.links import SharedLink

ROUTES = 1400
# The hosts of the other region need 4 s to read such a configuration all at once.
REMOTE_HOSTS = 6
LINK_BYTES_PER_SECOND = 700_000
IN_FORCE_SECONDS = 20.0
# On the wire, about 240 bytes a route and a third more for their encoding.
CONFIGURATION_BYTES = 338_000


def version_in_force(host):
    versions = [
        line["version"]
        for line in host.events()
        if line["event"] == "configuration in force"
    ]
    return max(versions, default=0)


@pytest.fixture
def cluster():
    cluster = Cluster()
    cluster.configure()
    yield cluster
    cluster.close()


@pytest.fixture
def link(cluster):
    link = SharedLink(cluster.address, LINK_BYTES_PER_SECOND)
    yield link
    link.close()


@pytest.fixture
def cell(cluster, link, tmp_path):
    with EntryCell(
        cluster, tmp_path, hosts=2, remote=REMOTE_HOSTS, link=link.address
    ) as cell:
        yield cell


def change(cell):
    """Have the operator add many routes; wait until all hosts serve them."""
    cell.cluster.configure(2, more_routes=ROUTES)
    wait_for(
        lambda: all(version_in_force(host) == 2 for host in cell.hosts),
        IN_FORCE_SECONDS,
    )


def test_large_configuration_comes_into_force_behind_a_shared_slow_link(cell):
    """Guards against hosts that cut off its transfer and begin again, for ever."""
    change(cell)


def test_large_configuration_passes_a_slow_link_less_than_twice(cell, link):
    """Guards against a link that is full, as each host reads all routes over it."""
    before = link.carried_bytes
    change(cell)
    assert link.carried_bytes - before < 2 * CONFIGURATION_BYTES
