"""Types of rows in partitioned tables and of transactions on them."""

__all__ = ["Expectation", "Page", "RowWrite", "StoredRow"]


class StoredRow:
    """Hold one row of the store.

    Parameters
    ----------
    table, partition, key : str
    value : dict or None
        None if the row was deleted or its bytes are not a JSON object.
    version : int
        Version of the transaction that last wrote the row.
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
    """Hold a page of rows that were read at one version of the store.

    Parameters
    ----------
    rows : list of StoredRow
    version : int
        Version of the store at which the rows were read.
    has_more : bool
        Whether further pages follow.
    """

    __slots__ = ("has_more", "rows", "version")

    def __init__(self, rows, version, has_more=False):
        self.rows = rows
        self.version = version
        self.has_more = has_more


class Expectation:
    """Require that a row has a version, or with version 0 that it is absent."""

    __slots__ = ("key", "partition", "table", "version")

    def __init__(self, table, partition, key, version):
        self.table = table
        self.partition = partition
        self.key = key
        self.version = version


class RowWrite:
    """Set a row, or delete it if the value is None."""

    __slots__ = ("key", "partition", "table", "value")

    def __init__(self, table, partition, key, value):
        self.table = table
        self.partition = partition
        self.key = key
        self.value = value
