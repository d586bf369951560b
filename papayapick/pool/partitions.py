"""Spread the jobs of a pool over partitions of the store."""

__all__ = ["job_partition", "job_partitions"]

# A partition applies its transactions one after the other. With all of a pool's in
# one, a store that is 38 times slower than usual takes 9 a second, and the groups
# of nine hosts wait for each other for seconds. Records of progress lie apart, in
# the partition of the owner's row, on which they depend.
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
