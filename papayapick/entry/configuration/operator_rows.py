"""Hold the operator's rows as last read, and encode them for other hosts."""

import json
import threading
import zlib

from papayapick.clients.rows import StoredRow
from papayapick.platform.configuration import OPERATOR_TABLE
from papayapick.wire.exceptions import FrameInvalid

__all__ = ["OperatorRows", "decode_rows", "encode_rows"]

# Compressed rows of this size still fit into a message.
_MAX_ENCODED_BYTES = 2 << 20
# Bounds the memory that a decoded message takes.
_MAX_DECODED_BYTES = 32 << 20
# Thousands of similar routes shrink to a tenth at any level; this one is the fastest.
_COMPRESSION_LEVEL = 1


class OperatorRows:
    """Hold the operator's rows, complete up to a version of the store.

    Read and changed by several threads.
    """

    __slots__ = ("_encoded", "_encoded_versions", "_lock", "_rows", "_version")

    def __init__(self):
        self._rows = {}
        self._version = 0
        self._encoded = b""
        self._encoded_versions = ()
        self._lock = threading.Lock()

    @property
    def version(self):
        """Return the version up to which all rows are known, or 0 before any is."""
        return self._version

    def update(self, rows, version):
        """Apply all changes up to a version.

        Parameters
        ----------
        rows : list of StoredRow
        version : int

        Returns
        -------
        list of StoredRow
            Those that were not known yet. The others must not be applied again: they
            may have been replaced by newer ones, which came on another way.
        """
        with self._lock:
            fresh = [row for row in rows if self._is_newer(row)]
            self._rows.update({row.key: row for row in fresh})
            self._version = max(self._version, version)
        return fresh

    def _is_newer(self, row):
        known = self._rows.get(row.key)
        return known is None or known.version < row.version

    def replace(self, rows, version):
        """Replace all rows by those of a whole read.

        Parameters
        ----------
        rows : list of StoredRow
        version : int

        Returns
        -------
        list of StoredRow
            The rows, and one without a value for each that has been deleted since.
            Those that another host has told of in a newer form are left out.
        """
        present = {row.key for row in rows}
        with self._lock:
            deleted = [
                StoredRow(row.table, row.partition, row.key, None, version, True)
                for row in self._rows.values()
                if row.key not in present and row.version <= version
            ]
        self.update(rows + deleted, version)
        return [row for row in rows + deleted if not self._is_replaced(row)]

    def _is_replaced(self, row):
        return self._rows[row.key].version > row.version

    def changed_since(self, version):
        """Return the rows changed since a version, encoded; empty bytes for none.

        Parameters
        ----------
        version : int

        Returns
        -------
        rows : bytes
            See ``encode_rows``. Also empty if they are too many for a message: the
            other host then reads them from the store.
        version : int
            Version up to which these are all changes.
        """
        with self._lock:
            changed = [row for row in self._rows.values() if row.version > version]
            versions = tuple(row.version for row in changed)
            if versions != self._encoded_versions:
                # Kept, as many hosts ask for the same change.
                encoded = encode_rows(changed)
                is_small = len(encoded) <= _MAX_ENCODED_BYTES
                self._encoded = encoded if is_small else b""
                self._encoded_versions = versions
            return self._encoded, self._version


def encode_rows(rows):
    """Return rows of the operator as compressed bytes; empty for no rows.

    Examples
    --------
    >>> row = StoredRow("op", "", "config", {"version": 3}, 7)
    >>> decode_rows(encode_rows([row]))[0].value
    {'version': 3}
    """
    if not rows:
        return b""
    fields = [[row.key, row.version, row.value] for row in rows]
    data = json.dumps(fields, separators=(",", ":")).encode()
    return zlib.compress(data, _COMPRESSION_LEVEL)


def decode_rows(data):
    """Return the rows that ``encode_rows`` has encoded, as a list of StoredRow.

    Raises
    ------
    FrameInvalid
        The bytes are no such rows.
    """
    if not data:
        return []
    try:
        decompressor = zlib.decompressobj()
        text = decompressor.decompress(data, _MAX_DECODED_BYTES)
        return [
            StoredRow(OPERATOR_TABLE, "", key, value, version, value is None)
            for key, version, value in json.loads(text)
        ]
    except (zlib.error, ValueError, TypeError, RecursionError) as error:
        raise FrameInvalid(reason="not rows of the operator") from error
