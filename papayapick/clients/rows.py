"""Rows of a store of tables with partitions, and transactions on them."""

__all__ = ["Expectation", "Page", "RowWrite", "StoredRow"]


class StoredRow:
    """Hold one row of the store.

    Parameters
    ----------
    table, partition, key : str
    value : dict or None
        None where the row was deleted, or where its bytes are no JSON object.
    version : int
        Of the transaction that wrote it last.
    is_deleted : bool
    """

    __slots__ = ("is_deleted", "key", "partition", "table", "value", "version")

    def __init__(self, table, partition, key, value, version, is_deleted=False):
        self.table = table
        self.partition = partition
        self.key = key
        self.value = value
        self.version = version
        self.is_deleted = is_deleted


class Page:
    """Hold rows as of one moment.

    Parameters
    ----------
    rows : list of StoredRow
    version : int
        Newest version of the store at that moment.
    has_more : bool
    """

    __slots__ = ("has_more", "rows", "version")

    def __init__(self, rows, version, has_more=False):
        self.rows = rows
        self.version = version
        self.has_more = has_more


class Expectation:
    """Demand that a row has a version, or with 0 that it is absent."""

    __slots__ = ("key", "partition", "table", "version")

    def __init__(self, table, partition, key, version):
        self.table = table
        self.partition = partition
        self.key = key
        self.version = version


class RowWrite:
    """Set a row, or delete it where the value is None."""

    __slots__ = ("key", "partition", "table", "value")

    def __init__(self, table, partition, key, value):
        self.table = table
        self.partition = partition
        self.key = key
        self.value = value
