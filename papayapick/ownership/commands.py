"""Take and release shards by compare-and-set."""

from papayapick.clients import Condition, TransactionConflict, Write
from papayapick.clients.transactions import transact_with_retry
from papayapick.ownership.exceptions import TakeoverLost
from papayapick.ownership.queries import ShardRow, read_shard

__all__ = ["claim", "release"]


def claim(table, found, host):
    """Take a shard at the next epoch.

    Ownership has no time limit: only this compare-and-set changes it. A table
    outage therefore lapses nothing, and nobody can take over meanwhile.

    Parameters
    ----------
    table : TableProtocol
    found : ShardRow
        The row as it was read.
    host : str

    Returns
    -------
    ShardRow

    Raises
    ------
    TakeoverLost
        Another placer was first.
    TableUnavailable
        Whether it was taken is unknown; read the row.
    """
    value = {"owner": host, "epoch": found.epoch + 1}
    try:
        transact_with_retry(
            table, [Condition(found.key, found.version)], [Write(found.key, value)]
        )
    except TransactionConflict as error:
        now = read_shard(table, found.shard)
        raise TakeoverLost(
            shard=found.shard, owner=now.owner, epoch=now.epoch
        ) from error
    # The row was not there before the claim, or one version older.
    taken = read_shard(table, found.shard)
    if (taken.owner, taken.epoch) != (host, found.epoch + 1):
        raise TakeoverLost(shard=found.shard, owner=taken.owner, epoch=taken.epoch)
    return taken


def release(table, owned):
    """Give a shard up so that another placer takes it at once.

    Parameters
    ----------
    table : TableProtocol
    owned : ShardRow

    Raises
    ------
    TransactionConflict
        Another placer has it already.
    TableUnavailable
    """
    value = {"owner": "", "epoch": owned.epoch}
    transact_with_retry(
        table, [Condition(owned.key, owned.version)], [Write(owned.key, value)]
    )
    return ShardRow(owned.shard, "", owned.epoch, owned.version + 1)
