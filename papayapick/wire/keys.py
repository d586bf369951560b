"""Read the keys of a cell, which can be replaced while the cell runs."""

import base64
import binascii

from papayapick.wire.exceptions import CellKeyInvalid

__all__ = ["CellKeys"]

_MIN_KEY_BYTES = 32
_MAX_KEYS = 4


class CellKeys:
    """Hold the keys that a process accepts; it opens connections with the first.

    A key is rotated in three steps, each completed on all processes: add the new key
    as the second one, then move it to the front, then remove the old key. At any time,
    the first key of each process is accepted by all others.

    Parameters
    ----------
    keys : sequence of bytes
        Each has at most 64 bytes.

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
        # The default would disclose the keys in log lines and tracebacks.
        return f"CellKeys({len(self._keys)} keys)"

    @property
    def first(self):
        """Return the key that opens connections."""
        return self._keys[0]

    @classmethod
    def of(cls, keys):
        """Return CellKeys as they are; wrap a single key given as bytes."""
        return keys if isinstance(keys, cls) else cls([keys])

    @classmethod
    def from_file(cls, path):
        """Read a file with a base64 key on each line.

        Raises
        ------
        CellKeyInvalid
            Names the line but never quotes it.
        """
        try:
            with open(path, "rb") as file:
                lines = file.read().split()
        except OSError as error:
            raise CellKeyInvalid(path=path, reason=error.strerror) from error
        if not 0 < len(lines) <= _MAX_KEYS:
            reason = f"it has {len(lines)} keys, expected 1 to {_MAX_KEYS}"
            raise CellKeyInvalid(path=path, reason=reason)
        keys = [_decoded(path, number, line) for number, line in enumerate(lines, 1)]
        if len(set(keys)) != len(keys):
            raise CellKeyInvalid(path=path, reason="a key stands twice in it")
        return cls(keys)


def _decoded(path, number, line):
    try:
        key = base64.b64decode(line, validate=True)
    except binascii.Error:
        key = b""
    if not _MIN_KEY_BYTES <= len(key) <= 64:
        reason = f"line {number} is not the base64 form of {_MIN_KEY_BYTES} to 64 bytes"
        # Without a cause, since its traceback could show the line.
        raise CellKeyInvalid(path=path, reason=reason) from None
    return key
