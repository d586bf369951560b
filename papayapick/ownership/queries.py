"""Read who owns the shards."""

__all__ = ["SHARD_PREFIX", "ShardRow", "read_shard", "read_shards"]

SHARD_PREFIX = "shard/"


class ShardRow:
    """Hold the row of one shard; an owner of "" means that nobody serves it.

    Parameters
    ----------
    shard : str
    owner : str
    epoch : int
    version : int
        Of the row; 0 where there is none.
    """

    __slots__ = ("epoch", "owner", "shard", "version")

    def __init__(self, shard, owner, epoch, version):
        self.shard = shard
        self.owner = owner
        self.epoch = epoch
        self.version = version

    @classmethod
    def from_row(cls, shard, row):
        """Read a row of the table, or None where it is absent."""
        if row is None:
            return cls(shard, "", 0, 0)
        return cls(shard, row.value["owner"], row.value["epoch"], row.version)

    @property
    def key(self):
        """Return the key of the row."""
        return SHARD_PREFIX + self.shard


def read_shard(table, shard):
    """Return the row of one shard; raise TableUnavailable."""
    return ShardRow.from_row(shard, table.read(SHARD_PREFIX + shard))


def read_shards(table):
    """Return the rows that exist, by shard; raise TableUnavailable."""
    found = {}
    for row in table.scan(SHARD_PREFIX):
        shard = row.key.removeprefix(SHARD_PREFIX)
        found[shard] = ShardRow.from_row(shard, row)
    return found
