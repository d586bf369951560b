"""Generate keys."""

import base64
import json
import os

from papayapick.bundle import generate_key
from papayapick.management.base import Command
from papayapick.management.exceptions import FileUnwritable

__all__ = ["KeyCommand"]

_CELL_KEY_BYTES = 32


class KeyCommand(Command):
    """Generate an operator's signing key, or the key of a cell.

    Secret keys are written to files that only their owner can read, and are never
    printed or logged.
    """

    name = "key"
    usage = """Generate keys for operators and for the cell.

Usage:
  papayapick key operator <name> <private-file> [--json]
  papayapick key cell <file> [--json]
  papayapick key --help

Options:
  --json  Write JSON lines for programs.
  --help  Show this page.
"""

    def handle(self):
        """Write the key file, and print the public key of an operator."""
        if self.options["operator"]:
            private, public = generate_key()
            name, path = self.options["<name>"], self.options["<private-file>"]
            _write_private(path, private)
            line = json.dumps({name: public})
            self.output.write(line, operator=name, public=public, file=path)
        else:
            path = self.options["<file>"]
            key = base64.b64encode(os.urandom(_CELL_KEY_BYTES))
            _write_private(path, key + b"\n")
            self.output.write(f"key written to {path}", file=path)
        return 0


def _write_private(path, data):
    flags = os.O_WRONLY | os.O_CREAT | os.O_EXCL
    try:
        with os.fdopen(os.open(path, flags, 0o600), "wb") as file:
            file.write(data)
    except OSError as error:
        raise FileUnwritable(path=path, reason=error.strerror) from error
