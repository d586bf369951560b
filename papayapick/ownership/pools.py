"""Claim and release pools of workers by compare-and-set, without a time limit.

The epoch in the row is the fencing token of all orders to the pool's workers. An
owner that was replaced is refused by each worker that has seen a newer epoch, and
by the store, because each of its writes is conditional on an unchanged row.
"""

from papayapick.clients.exceptions import ConditionFailed, TableUnavailable
from papayapick.clients.rows import Expectation, RowWrite
from papayapick.exceptions import PapayapickError

__all__ = [
    "CELL_TABLE",
    "MAX_LOSSES",
    "OwnershipLost",
    "PoolRow",
    "claim_pool",
    "pool_row",
    "read_pool",
    "release_pool",
]

CELL_TABLE = "cell"
_KEY = "owner"
# Enough for whoever decides by them; a row has a limited size.
MAX_LOSSES = 16


class OwnershipLost(PapayapickError):
    """Report that another host owns the pool, or has changed its row."""

    code = "ownership.pool-lost"
    template = "pool {pool} has another owner"


class PoolRow:
    """Hold the ownership row of one pool.

    Parameters
    ----------
    pool, owner : str
        An empty owner means that the pool has none.
    epoch : int
    address : str
        ``IP:PORT`` at which peers reach the owner.
    version : int
        Version of the row; 0 if there is no row.
    losses : tuple of float, optional
        When the pool was taken from an owner that may have lost power, in Unix seconds;
        the latest ones only, in order.
    """

    __slots__ = ("address", "epoch", "losses", "owner", "pool", "version")

    def __init__(self, pool, owner="", epoch=0, address="", version=0, losses=()):
        self.pool = pool
        self.owner = owner
        self.epoch = epoch
        self.address = address
        self.version = version
        self.losses = tuple(losses)

    def with_loss(self, at):
        """Return the row with one more loss of an owner, at a time in Unix seconds."""
        losses = (*self.losses, at)[-MAX_LOSSES:]
        return PoolRow(
            self.pool, self.owner, self.epoch, self.address, self.version, losses
        )

    @property
    def expectation(self):
        """Return the condition that the row is unchanged."""
        return Expectation(CELL_TABLE, self.pool, _KEY, self.version)


def read_pool(store, pool):
    """Return the row of a pool.

    Raises
    ------
    TableUnavailable
    """
    page = store.read(CELL_TABLE, pool, _KEY, limit=1)
    for row in page.rows:
        found = pool_row(row)
        if found is not None:
            return found
    return PoolRow(pool)


def pool_row(row):
    """Parse a row of the store; return None unless it is a pool's ownership row."""
    if row.table != CELL_TABLE or row.key != _KEY or row.value is None:
        return None
    value = row.value
    return PoolRow(
        row.partition,
        value["owner"],
        value["epoch"],
        value["address"],
        row.version,
        # Rows of earlier builds have none.
        value.get("losses", ()),
    )


def claim_pool(store, seen, owner, address):
    """Claim a pool at the next epoch.

    Parameters
    ----------
    store : Store
    seen : PoolRow
        The row as last read.
    owner, address : str

    Returns
    -------
    PoolRow

    Raises
    ------
    OwnershipLost
        Another host claimed the pool first.
    TableUnavailable
        Whether the claim took effect is unknown.
    """
    return _change(store, seen, owner, seen.epoch + 1, address)


def release_pool(store, held):
    """Release a pool so that another host can claim it immediately.

    Raises
    ------
    OwnershipLost, TableUnavailable
    """
    return _change(store, held, "", held.epoch, "")


def _change(store, seen, owner, epoch, address):
    value = {"owner": owner, "epoch": epoch, "address": address}
    if seen.losses:
        value["losses"] = list(seen.losses)
    write = RowWrite(CELL_TABLE, seen.pool, _KEY, value)
    try:
        version = store.transact([seen.expectation], [write])
    except ConditionFailed as error:
        raise OwnershipLost(pool=seen.pool) from error
    except TableUnavailable:
        version = _settle(store, seen, value)
    return PoolRow(seen.pool, owner, epoch, address, version, seen.losses)


def _settle(store, seen, value):
    # The answer was lost: the row shows whether the write took effect, because only
    # one process writes this combination of owner, epoch and address.
    row = read_pool(store, seen.pool)
    if (row.owner, row.epoch, row.address) == (
        value["owner"],
        value["epoch"],
        value["address"],
    ):
        return row.version
    raise TableUnavailable()
