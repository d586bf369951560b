"""The row of a pool keeps when its owners were lost."""

import pytest

from papayapick.clients.http import HttpPool
from papayapick.clients.rows import RowWrite
from papayapick.ownership.pools import (
    CELL_TABLE,
    MAX_LOSSES,
    PoolRow,
    claim_pool,
    read_pool,
    release_pool,
)
from papayapick.platform.store import Store
from tests.standins.cluster import Cluster


@pytest.fixture
def store():
    cluster, pool = Cluster(), HttpPool(1.0)
    yield Store(cluster.address, pool)
    pool.close()
    cluster.close()


def test_losses_outlast_claims_and_releases(store):
    """Guards against owners that forget how many were lost before them.

    Each would leave idle connections at the workers until these accept no others.
    """
    first = claim_pool(store, PoolRow("pool"), "h1", "a:1")
    second = claim_pool(store, first.with_loss(7.5), "h2", "a:2")
    release_pool(store, second)
    third = claim_pool(store, read_pool(store, "pool"), "h3", "a:3")
    assert (third.epoch, third.losses) == (3, (7.5,))
    assert read_pool(store, "pool").losses == (7.5,)


def test_row_of_an_earlier_build_has_no_losses(store):
    """Guards against a pool that nobody can take after an upgrade."""
    value = {"owner": "h1", "epoch": 4, "address": "a:1"}
    store.transact([], [RowWrite(CELL_TABLE, "pool", "owner", value)])
    row = read_pool(store, "pool")
    assert (row.epoch, row.losses) == (4, ())


def test_row_keeps_the_latest_losses_only():
    """Guards against a row that grows with each loss until the store refuses it."""
    row = PoolRow("pool")
    for at in range(3 * MAX_LOSSES):
        row = row.with_loss(float(at))
    assert len(row.losses) == MAX_LOSSES
    assert row.losses[-1] == 3 * MAX_LOSSES - 1
