"""Follow the operator's configuration and keep the newest version in force."""

import threading

from papayapick.entry.cell.followers import OWNER_WAIT_SECONDS, follow_table
from papayapick.entry.configuration.announcements import Announcements
from papayapick.entry.configuration.exchange import ConfigurationExchange
from papayapick.entry.configuration.operator_rows import OperatorRows
from papayapick.entry.configuration.operator_source import OperatorSource
from papayapick.entry.events import CONFIGURATION_IN_FORCE, CONFIGURATION_REFUSED
from papayapick.platform.configuration import (
    CONFIGURATION_KEY,
    OPERATOR_TABLE,
    decode_configuration,
)
from papayapick.platform.exceptions import BodyInvalid
from papayapick.platform.waves import WAVE_PREFIX, decode_wave

__all__ = ["ConfigurationWatcher"]

# Well below the bound for a configuration change.
_RELAYED_READ_SECONDS = 1.0


class ConfigurationWatcher:
    """Hold the newest configuration that this process has read.

    Parameters
    ----------
    host : EntryHost
    """

    __slots__ = (
        "_current",
        "_host",
        "_in_force_since",
        "_is_loaded",
        "_lock",
        "_rows",
        "_waves",
        "announcements",
        "exchange",
    )

    def __init__(self, host):
        self._host = host
        self._current = None
        # Versions come on two ways, each with a thread of its own.
        self._lock = threading.Lock()
        self._is_loaded = threading.Event()
        self._in_force_since = 0.0
        self._waves = {}
        self._rows = OperatorRows()
        self.announcements = Announcements(host)
        self.exchange = ConfigurationExchange(host, self._rows)

    @property
    def current(self):
        """Return the ``CellConfiguration`` in force, or None."""
        return self._current

    @property
    def waves(self):
        """Return the upkeep waves requested by the operator, by key."""
        return dict(self._waves)

    @property
    def version(self):
        """Return the version in force, or 0 if there is none."""
        return 0 if self._current is None else self._current.version

    def age(self):
        """Return the seconds since the version came into force, or 0 if none has."""
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
            self._host.clock.wait(self._is_loaded, seconds)
        return self._current

    def run(self):
        """Follow the operator's rows until the process stops."""
        host = self._host
        source = OperatorSource(host, self._rows, self.exchange, self.announcements)
        follow_table(
            source,
            host.clock,
            OPERATOR_TABLE,
            None,
            self._note_rows,
            source.read_all,
            host.stopping,
            # The source notes answers of the store itself: other hosts answer too.
            lambda asked_at: None,
            host.store_health.note_failure,
            lambda: OWNER_WAIT_SECONDS,
        )

    def run_relayed(self):
        """Read the operator's rows by way of other hosts while the store is lost.

        Guards against a host that serves callers by way of others, while the store
        refuses it, and still accepts keys and queues that the operator has removed.
        """
        host = self._host
        while not host.stopping.is_set():
            host.clock.wait(host.stopping, _RELAYED_READ_SECONDS)
            if not host.store_health.is_lost():
                continue
            page = self.exchange.fetch_current(self._rows.version)
            # None if the store is unavailable to all hosts; the events of the followed
            # tables tell so.
            if page is not None:
                self._note_rows(self._rows.update(page.rows, page.version))

    def _note_rows(self, rows):
        for row in rows:
            if row.key == CONFIGURATION_KEY and row.value is not None:
                self._apply(row.value)
            elif row.key.startswith(WAVE_PREFIX):
                self._apply_wave(row)

    def _apply_wave(self, row):
        if row.value is None:
            self._waves.pop(row.key, None)
            return
        try:
            self._waves[row.key] = decode_wave(row.value)
        except BodyInvalid as error:
            CONFIGURATION_REFUSED.write(version_in_force=self.version, error=str(error))

    def _is_newer(self, configuration):
        # A read that began before a change may be answered after it, so an older
        # version must not replace a newer one.
        return self._current is None or configuration.version > self._current.version

    def _apply(self, value):
        began_at = self._host.clock.monotonic()
        try:
            configuration = decode_configuration(value, self._host.settings.has_teams)
        except BodyInvalid as error:
            CONFIGURATION_REFUSED.write(version_in_force=self.version, error=str(error))
            return
        if not self._is_newer(configuration):
            return
        self._host.prepare_configuration(configuration)
        with self._lock:
            # Again: a newer version may have come on the other way meanwhile.
            if not self._is_newer(configuration):
                return
            version_before, self._current = self.version, configuration
            self._in_force_since = self._host.clock.monotonic()
            self._is_loaded.set()
            self._host.note_configuration(configuration)
        CONFIGURATION_IN_FORCE.write(
            version=configuration.version,
            version_before=version_before,
            queues=len(configuration.queues),
            pools=sorted(configuration.pools),
            apply_seconds=round(self._host.clock.monotonic() - began_at, 4),
        )
