"""Define the base of all commands."""

import getpass
import json
import sys

from papayapick.clients import HostList, HttpPool, ObjectStore, Table
from papayapick.clock import SystemClock
from papayapick.conf import Settings
from papayapick.conf.setting import OPERATOR
from papayapick.management.exceptions import FileUnreadable, FileUnwritable

__all__ = ["Command", "Output", "read_file", "write_file"]


class Output:
    """Write text for people, or JSON lines with ``--json``.

    Parameters
    ----------
    stream : file
    is_json : bool
    """

    __slots__ = ("_is_json", "_stream")

    def __init__(self, stream, is_json):
        self._stream = stream
        self._is_json = is_json

    def write(self, text, **values):
        """Write the text, or with ``--json`` the values as a JSON line."""
        line = json.dumps(values, sort_keys=True) if self._is_json else text
        self._stream.write(line + "\n")
        self._stream.flush()


class Command:
    """Run one command.

    Parameters
    ----------
    options : dict
        As returned by docopt.
    output : Output
    clock : Clock, optional
    """

    name = ""
    usage = ""

    def __init__(self, options, output, clock=None):
        self.options = options
        self.output = output
        self.clock = clock or SystemClock()

    def handle(self):
        """Run the command and return its exit code.

        Returns
        -------
        int
        """
        raise NotImplementedError

    def settings(self):
        """Return the operator's settings; raise SettingsError."""
        return Settings.from_config(OPERATOR, self.options)

    def platform(self, settings):
        """Return the clients of the table, the object store and the live list."""
        pool = HttpPool(settings.platform_timeout_seconds)
        return (
            Table(settings.table_url, pool),
            ObjectStore(settings.objects_url, pool),
            HostList(settings.hosts_url, pool),
        )

    def operator(self):
        """Return the name under which the operator acts."""
        return self.options.get("--operator") or getpass.getuser()


def read_file(path):
    """Return the bytes of a file, or of standard input for ``-``.

    Raises
    ------
    FileUnreadable
    """
    if path == "-":
        return sys.stdin.buffer.read()
    try:
        with open(path, "rb") as file:
            return file.read()
    except OSError as error:
        raise FileUnreadable(path=path, reason=error.strerror) from error


def write_file(path, data):
    """Write bytes to a file.

    Raises
    ------
    FileUnwritable
    """
    try:
        with open(path, "wb") as file:
            file.write(data)
    except OSError as error:
        raise FileUnwritable(path=path, reason=error.strerror) from error
