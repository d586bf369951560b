"""Hold the keys of a cell, so that one can be replaced while the cell runs."""

import base64
import binascii

from papayapick.wire.exceptions import CellKeyInvalid

__all__ = ["CellKeys"]

_LEAST_KEY_BYTES = 32
_MOST_KEYS = 4


class CellKeys:
    """Hold the keys that a process accepts; it opens connections with the first.

    A key is replaced in three rounds, each over all processes: accept the new
    one as second, then put it first, then drop the old one. At each moment any
    two processes have a key in common that the caller sends first.

    Parameters
    ----------
    keys : sequence of bytes
        Each of at most 64 bytes.

    Examples
    --------
    >>> CellKeys([b"new", b"old"]).first
    b'new'
    """

    __slots__ = ("_keys",)

    def __init__(self, keys):
        self._keys = tuple(keys)

    def __iter__(self):
        return iter(self._keys)

    def __len__(self):
        return len(self._keys)

    def __repr__(self):
        # A key in a log line or a traceback would be a key given away.
        return f"CellKeys({len(self._keys)} keys)"

    @property
    def first(self):
        """Return the key with which connections are opened."""
        return self._keys[0]

    @classmethod
    def of(cls, keys):
        """Return the keys themselves, or those of one key given as bytes."""
        return keys if isinstance(keys, cls) else cls([keys])

    @classmethod
    def from_file(cls, path):
        """Read a file with a base64 key on each line.

        Raises
        ------
        CellKeyInvalid
            Tells the line, never its text.
        """
        try:
            with open(path, "rb") as file:
                lines = file.read().split()
        except OSError as error:
            raise CellKeyInvalid(path=path, reason=error.strerror) from error
        if not 0 < len(lines) <= _MOST_KEYS:
            reason = f"it has {len(lines)} keys, allowed are 1 to {_MOST_KEYS}"
            raise CellKeyInvalid(path=path, reason=reason)
        keys = [_decoded(path, number, line) for number, line in enumerate(lines, 1)]
        if len(set(keys)) != len(keys):
            raise CellKeyInvalid(path=path, reason="a key stands twice")
        return cls(keys)


def _decoded(path, number, line):
    try:
        key = base64.b64decode(line, validate=True)
    except binascii.Error:
        key = b""
    if not _LEAST_KEY_BYTES <= len(key) <= 64:
        reason = f"line {number} is no base64 of {_LEAST_KEY_BYTES} to 64 bytes"
        # Without its cause, which quotes the line.
        raise CellKeyInvalid(path=path, reason=reason) from None
    return key
