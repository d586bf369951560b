"""Types of the platform's table and object store."""

from typing import Protocol

__all__ = ["Condition", "ObjectsProtocol", "Row", "TableProtocol", "Write"]

ABSENT = 0


class Row:
    """Hold one row of the table.

    Parameters
    ----------
    key : str
    value : dict
        JSON values.
    version : int
        Increases with each write of the row; 0 means that the row is absent.
    """

    __slots__ = ("key", "value", "version")

    def __init__(self, key, value, version):
        self.key = key
        self.value = value
        self.version = version


class Condition:
    """Require that a row has a version, or with version 0 that it is absent."""

    __slots__ = ("key", "version")

    def __init__(self, key, version):
        self.key = key
        self.version = version


class Write:
    """Set a row, or delete it if the value is None."""

    __slots__ = ("key", "value")

    def __init__(self, key, value):
        self.key = key
        self.value = value


class TableProtocol(Protocol):
    """Read and change rows in transactions."""

    def read(self, key: str) -> Row | None:
        """Return a row, or None; raise TableUnavailable."""

    def scan(self, prefix: str) -> list[Row]:
        """Return the rows whose keys begin with the prefix, ordered by key."""

    def transact(self, conditions: list[Condition], writes: list[Write]) -> None:
        """Apply all writes if all conditions hold.

        Raises TransactionConflict, or TableUnavailable with the effect unknown.
        """


class ObjectsProtocol(Protocol):
    """Store and read objects by name."""

    def put(self, name: str, data: bytes) -> None:
        """Store an object; a name always stands for the same bytes."""

    def get(self, name: str) -> bytes:
        """Return an object's bytes; raise ObjectMissing or ObjectsUnavailable."""
