"""Own a pool of workers: a row taken by compare-and-set, without a time limit.

The epoch in the row is the fencing token of all orders to the pool's workers. An
owner that was replaced is refused by each worker that has seen a newer epoch, and
by the store, where each of its writes demands that the row is unchanged.
"""

from papayapick.clients.exceptions import ConditionFailed, TableUnavailable
from papayapick.clients.rows import Expectation, RowWrite
from papayapick.exceptions import PapayapickError

__all__ = [
    "CELL_TABLE",
    "OwnershipLost",
    "PoolRow",
    "claim_pool",
    "pool_row",
    "read_pool",
    "release_pool",
]

CELL_TABLE = "cell"
_KEY = "owner"


class OwnershipLost(PapayapickError):
    """Report that another host owns the pool, or has changed its row."""

    code = "ownership.pool-lost"
    template = "pool {pool} has another owner"


class PoolRow:
    """Hold who owns a pool.

    Parameters
    ----------
    pool, owner : str
        An owner of "" means that nobody does.
    epoch : int
    address : str
        ``IP:PORT`` at which peers reach the owner.
    version : int
        Of the row; 0 where there is none.
    """

    __slots__ = ("address", "epoch", "owner", "pool", "version")

    def __init__(self, pool, owner="", epoch=0, address="", version=0):
        self.pool = pool
        self.owner = owner
        self.epoch = epoch
        self.address = address
        self.version = version

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
    """Return who owns a pool from a row of the store, or None for another row."""
    if row.table != CELL_TABLE or row.key != _KEY or row.value is None:
        return None
    value = row.value
    return PoolRow(
        row.partition, value["owner"], value["epoch"], value["address"], row.version
    )


def claim_pool(store, seen, owner, address):
    """Become the owner of a pool at the next epoch.

    Parameters
    ----------
    store : Store
    seen : PoolRow
        The row as it was read.
    owner, address : str

    Returns
    -------
    PoolRow

    Raises
    ------
    OwnershipLost
        Another host was faster.
    TableUnavailable
        The effect is not known.
    """
    return _change(store, seen, owner, seen.epoch + 1, address)


def release_pool(store, held):
    """Give a pool up so that another host takes it at once.

    Raises
    ------
    OwnershipLost, TableUnavailable
    """
    return _change(store, held, "", held.epoch, "")


def _change(store, seen, owner, epoch, address):
    value = {"owner": owner, "epoch": epoch, "address": address}
    write = RowWrite(CELL_TABLE, seen.pool, _KEY, value)
    try:
        version = store.transact([seen.expectation], [write])
    except ConditionFailed as error:
        raise OwnershipLost(pool=seen.pool) from error
    except TableUnavailable:
        version = _settle(store, seen, value)
    return PoolRow(seen.pool, owner, epoch, address, version)


def _settle(store, seen, value):
    # The answer was lost: the row tells whether the write took effect. Owner,
    # epoch and address are written by one process only.
    row = read_pool(store, seen.pool)
    if (row.owner, row.epoch, row.address) == (
        value["owner"],
        value["epoch"],
        value["address"],
    ):
        return row.version
    raise TableUnavailable()
