"""Claim and release shards by compare-and-set."""

from papayapick.clients import Condition, TransactionConflict, Write
from papayapick.clients.commands import transact_with_retry
from papayapick.ownership.exceptions import TakeoverLost
from papayapick.ownership.queries import ShardRow, read_shard

__all__ = ["claim", "release"]


def claim(table, seen, host):
    """Claim a shard at the next epoch.

    Ownership has no time limit: only a compare-and-set on the row changes it. A
    table outage therefore ends no ownership, and no other placer can take the
    shard over during the outage.

    Parameters
    ----------
    table : TableProtocol
    seen : ShardRow
        The row as last read.
    host : str

    Returns
    -------
    ShardRow

    Raises
    ------
    TakeoverLost
        Another placer claimed the shard first.
    TableUnavailable
        Whether the claim took effect is unknown; the row must be read.
    """
    value = {"owner": host, "epoch": seen.epoch + 1}
    try:
        transact_with_retry(
            table, [Condition(seen.key, seen.version)], [Write(seen.key, value)]
        )
    except TransactionConflict as error:
        current = read_shard(table, seen.shard)
        raise TakeoverLost(
            shard=seen.shard, owner=current.owner, epoch=current.epoch
        ) from error
    # Read back the version of the row. A newer owner may have claimed the shard
    # meanwhile, and the journal must not write under that owner's version.
    claimed = read_shard(table, seen.shard)
    if (claimed.owner, claimed.epoch) != (host, seen.epoch + 1):
        raise TakeoverLost(shard=seen.shard, owner=claimed.owner, epoch=claimed.epoch)
    return claimed


def release(table, owned):
    """Release a shard so that another placer can claim it immediately.

    Parameters
    ----------
    table : TableProtocol
    owned : ShardRow

    Raises
    ------
    TransactionConflict
        Another placer has claimed the shard already.
    TableUnavailable
    """
    value = {"owner": "", "epoch": owned.epoch}
    transact_with_retry(
        table, [Condition(owned.key, owned.version)], [Write(owned.key, value)]
    )
    return ShardRow(owned.shard, "", owned.epoch, owned.version + 1)
