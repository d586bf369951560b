"""Distribute the jobs of a pool over partitions of the store."""

__all__ = ["job_partition", "job_partitions", "pool_of_partition"]

# A partition applies its transactions one after another. With all jobs of a pool in one
# partition, a store that is 38 times slower than usual applies 9 transactions a second,
# and the group commits of nine hosts wait for each other for seconds. Records of
# progress are kept in the partition of the owner's row, whose version they depend on.
_PARTITIONS = 8


def job_partition(pool, identifier):
    """Return the partition that holds a job.

    Examples
    --------
    >>> job_partition("pool-1", "5c0e7a21d94b36f8")
    'pool-1/0'
    """
    return f"{pool}/{int(identifier, 16) % _PARTITIONS}"


def job_partitions(pool):
    """Return all partitions that hold jobs of a pool."""
    return [f"{pool}/{number}" for number in range(_PARTITIONS)]


def pool_of_partition(partition):
    """Return the pool whose jobs a partition holds.

    Examples
    --------
    >>> pool_of_partition("pool-1/7")
    'pool-1'
    """
    return partition.rpartition("/")[0]
