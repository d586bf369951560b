"""Follow the operator's configuration; never go back to an older version."""

import threading

from papayapick.entry.events import CONFIGURATION_IN_FORCE, CONFIGURATION_REFUSED
from papayapick.platform.configuration import (
    CONFIGURATION_KEY,
    OPERATOR_TABLE,
    decode_configuration,
)
from papayapick.platform.exceptions import BodyInvalid
from papayapick.platform.waves import WAVE_PREFIX, decode_wave

__all__ = ["ConfigurationWatcher"]


class ConfigurationWatcher:
    """Hold the newest configuration that this process has seen.

    Parameters
    ----------
    host : EntryHost
    """

    __slots__ = ("_current", "_has_one", "_host", "_in_force_since", "_waves")

    def __init__(self, host):
        self._host = host
        self._current = None
        self._has_one = threading.Event()
        self._in_force_since = 0.0
        self._waves = {}

    @property
    def current(self):
        """Return the ``CellConfiguration`` in force, or None."""
        return self._current

    @property
    def waves(self):
        """Return the waves of upkeep that the operator asks for, by key."""
        return dict(self._waves)

    @property
    def version(self):
        """Return the version in force; 0 for none."""
        return 0 if self._current is None else self._current.version

    def age(self):
        """Return the seconds for which the version has been in force; 0 for none."""
        if self._current is None:
            return 0.0
        return self._host.clock.monotonic() - self._in_force_since

    def wait_for_first(self, seconds):
        """Wait for the first configuration and return it, or None.

        Parameters
        ----------
        seconds : float
        """
        if self._current is None:
            self._host.clock.wait(self._has_one, seconds)
        return self._current

    def run(self):
        """Follow the operator's rows until the process stops."""
        self._host.follow(
            OPERATOR_TABLE, None, self._note_rows, self._read, self._host.stopping
        )

    def _read(self):
        return self._host.store.read_all(OPERATOR_TABLE, "")

    def _note_rows(self, rows):
        for row in rows:
            if row.key == CONFIGURATION_KEY and row.value is not None:
                self._take(row.value)
            elif row.key.startswith(WAVE_PREFIX):
                self._take_wave(row)

    def _take_wave(self, row):
        if row.value is None:
            self._waves.pop(row.key, None)
            return
        try:
            self._waves[row.key] = decode_wave(row.value)
        except BodyInvalid as error:
            CONFIGURATION_REFUSED.write(version_in_force=self.version, error=str(error))

    def _take(self, value):
        try:
            found = decode_configuration(value)
        except BodyInvalid as error:
            CONFIGURATION_REFUSED.write(version_in_force=self.version, error=str(error))
            return
        # A reading that began before a change may arrive after it: an older
        # version never replaces a newer one in the life of a process.
        if self._current is not None and found.version <= self._current.version:
            return
        version_before, self._current = self.version, found
        self._in_force_since = self._host.clock.monotonic()
        self._has_one.set()
        CONFIGURATION_IN_FORCE.write(
            version=found.version,
            version_before=version_before,
            queues=len(found.queues),
            pools=sorted(found.pools),
        )
        self._host.note_configuration(found)
