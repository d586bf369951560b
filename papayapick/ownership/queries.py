"""Read the ownership rows of shards."""

__all__ = ["SHARD_PREFIX", "ShardRow", "read_shard", "read_shards"]

SHARD_PREFIX = "shard/"


class ShardRow:
    """Hold the ownership row of one shard.

    Parameters
    ----------
    shard : str
    owner : str
        Name of a placer; empty if the shard has no owner.
    epoch : int
    version : int
        Version of the row; 0 if there is no row.
    """

    __slots__ = ("epoch", "owner", "shard", "version")

    def __init__(self, shard, owner, epoch, version):
        self.shard = shard
        self.owner = owner
        self.epoch = epoch
        self.version = version

    @classmethod
    def from_row(cls, shard, row):
        """Build from a row of the table, or from None if there is no row."""
        if row is None:
            return cls(shard, "", 0, 0)
        return cls(shard, row.value["owner"], row.value["epoch"], row.version)

    @property
    def key(self):
        """Return the key of the row."""
        return SHARD_PREFIX + self.shard


def read_shard(table, shard):
    """Return the ownership row of one shard; raise TableUnavailable."""
    return ShardRow.from_row(shard, table.read(SHARD_PREFIX + shard))


def read_shards(table):
    """Return the existing ownership rows by shard; raise TableUnavailable."""
    rows = {}
    for row in table.scan(SHARD_PREFIX):
        shard = row.key.removeprefix(SHARD_PREFIX)
        rows[shard] = ShardRow.from_row(shard, row)
    return rows
