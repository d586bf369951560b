"""Announce changes of the operator's rows to the other hosts, by a short row.

The platform's store sends a changed row whole to each host that waits for it, and a
long answer fills slow links even if the host stops reading. So only hosts with a quick
way to the store wait for the operator's rows, and announce what they have read in a row
that all hosts follow.
"""

import threading

from papayapick.clients.exceptions import ConditionFailed, TableUnavailable
from papayapick.clients.rows import Expectation, RowWrite
from papayapick.entry.events import CONFIGURATION_NOT_ANNOUNCED
from papayapick.ownership.pools import CELL_TABLE

__all__ = ["ANNOUNCEMENT_PARTITION", "Announcements"]

ANNOUNCEMENT_PARTITION = "configuration"
_KEY = "newest"
# The other hosts that read the same change announce it as well, if this one fails.
_ATTEMPTS = 3


class Announcements:
    """Hold the newest announcement, and write those of this host.

    Parameters
    ----------
    host : EntryHost

    Attributes
    ----------
    version : int
        Version of the newest row of the operator that was announced.
    long_version : int
        Version of the newest row that is long.
    """

    __slots__ = ("_host", "_lock", "_newer", "_row_version", "long_version", "version")

    def __init__(self, host):
        self._host = host
        self._row_version = 0
        self._lock = threading.Lock()
        self._newer = threading.Event()
        self.version = 0
        self.long_version = 0

    def read(self):
        """Read the announcement from the store."""
        for row in self._host.store.read(CELL_TABLE, ANNOUNCEMENT_PARTITION).rows:
            self.note_row(row)

    def note_row(self, row):
        """Update the announcement to the row in the store, unless it is older.

        Parameters
        ----------
        row : StoredRow
        """
        if row.key != _KEY or row.value is None:
            return
        with self._lock:
            if row.version <= self._row_version:
                return
            self._row_version = row.version
            self.version = max(self.version, row.value.get("version", 0))
            self.long_version = max(self.long_version, row.value.get("long", 0))
        self._newer.set()

    def wait_for_newer(self, version, seconds):
        """Wait for an announcement of a newer row; return whether there is one.

        Parameters
        ----------
        version : int
        seconds : float
        """
        self._newer.clear()
        if self.version <= version:
            self._host.clock.wait(self._newer, seconds)
        return self.version > version

    def announce(self, version, is_long):
        """Tell all hosts which row is the newest, unless another host has done so.

        Parameters
        ----------
        version : int
            Of the newest row of the operator.
        is_long : bool
            Whether reading it takes a host with a narrow link long.
        """
        for _ in range(_ATTEMPTS):
            if version <= self.version:
                return
            long_version = version if is_long else self.long_version
            value = {"version": version, "long": long_version}
            place = (CELL_TABLE, ANNOUNCEMENT_PARTITION, _KEY)
            try:
                self._host.store.transact(
                    [Expectation(*place, self._row_version)], [RowWrite(*place, value)]
                )
            except ConditionFailed as error:
                for row in error.rows:
                    self.note_row(row)
            except TableUnavailable as error:
                CONFIGURATION_NOT_ANNOUNCED.write(version=version, error=str(error))
            else:
                return
