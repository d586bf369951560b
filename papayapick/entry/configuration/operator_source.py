"""Read the operator's rows from the store, or by way of other hosts if they are long.

Guards against links that are full for seconds because each host reads thousands of
routes, 350 bytes a route, from the store: heartbeats and calls of the store wait behind
them, working owners are replaced, and the version comes into force too late. The hosts
that read them quickly do so, and pass them on compressed to a tenth.
"""

import random

from papayapick.clients.rows import Page
from papayapick.entry.events import CONFIGURATION_READ_DIRECTLY
from papayapick.platform.configuration import OPERATOR_TABLE

__all__ = ["OperatorSource"]

# Hosts with a longer round trip to the store share the way to it with their region.
_NEAR_ROUND_TRIP_SECONDS = 0.02
# A quick host reads a configuration of 2,500 routes in 0.25 s.
_QUICK_BYTES_PER_SECOND = 4_000_000
# Compressed; about as many routes as a narrow link carries in a tenth of a second.
_LONG_BYTES = 5_000
# Shares of the time in which a version is to be in force. The store is asked for
# changes that nobody has announced after the first, and for long ones that nobody has
# sent after one between the others. Spread, so that one host reads them first.
_CHECK_SHARE = 0.4
_ASKING_SHARES = (0.2, 0.5)
_PAUSE_SECONDS = 0.1


class OperatorSource:
    """Read the operator's rows, with the methods of a store that ``follow_table`` uses.

    Parameters
    ----------
    host : EntryHost
    rows : OperatorRows
        Holds the rows read last.
    exchange : ConfigurationExchange
    announcements : Announcements
    """

    __slots__ = ("_announcements", "_exchange", "_host", "_rows")

    def __init__(self, host, rows, exchange, announcements):
        self._host = host
        self._rows = rows
        self._exchange = exchange
        self._announcements = announcements

    def follow(self, table, version, wait_seconds):
        """Wait for changes; see ``Store.follow``.

        On a host without a quick way to the store the call may take longer than
        ``wait_seconds``, without calling the store meanwhile.
        """
        # Other hosts may have told about changes beyond the last page.
        version = max(version, self._rows.version)
        page = None
        if not self._is_quick():
            page = self._wait_for_others(version)
            wait_seconds = 0.0
        if page is None:
            page = self._host.store.follow(table, version, wait_seconds)
            self._host.store_health.note_answer()
        fresh = self._rows.update(page.rows, page.version)
        self._announce(fresh, version)
        return Page(fresh, page.version)

    def read_all(self):
        """Return all rows and the version from which to follow them."""
        self._announcements.read()
        page = None
        if not self._is_quick() and self._announcements.long_version:
            page = self._ask_others(0)
        if page is None:
            page = Page(*self._host.store.read_all(OPERATOR_TABLE, ""))
            self._host.store_health.note_answer()
        rows = self._rows.replace(page.rows, page.version)
        self._announce(page.rows, 0)
        return rows, page.version

    def _is_quick(self):
        """Return whether this host reads long rows from the store in little time."""
        seconds = self._host.store_seconds
        is_near = seconds is not None and seconds < _NEAR_ROUND_TRIP_SECONDS
        return (
            is_near and self._host.settings.bytes_per_second > _QUICK_BYTES_PER_SECOND
        )

    def _wait_for_others(self, version):
        """Wait for an announcement; return a Page of long rows that others sent.

        Returns None if the store is to be asked: for short rows that were announced,
        for long ones that no other host has, and now and then for unannounced ones.
        """
        interval = _CHECK_SHARE * self._host.settings.configuration_seconds
        # Spread, so that one host finds an unannounced change before all others look.
        interval *= random.uniform(0.6, 1.0)
        if not self._announcements.wait_for_newer(version, interval):
            return None
        if self._announcements.long_version <= version:
            return None
        return self._ask_others(version)

    def _ask_others(self, version):
        """Ask other hosts for a while; return a Page of newer rows, or None."""
        host = self._host
        share = random.uniform(*_ASKING_SHARES)
        until = host.clock.monotonic() + share * host.settings.configuration_seconds
        while host.clock.monotonic() < until and not self._is_alone():
            page = self._exchange.fetch(version)
            if page is not None or host.stopping.is_set():
                return page
            host.clock.wait(host.stopping, _PAUSE_SECONDS)
        CONFIGURATION_READ_DIRECTLY.write(version=self._announcements.version)
        return None

    def _is_alone(self):
        return self._host.has_read_hosts and not self._host.peers.all()

    def _announce(self, rows, version):
        """Announce changes since a version, unless another host has done so."""
        newest = max((row.version for row in rows), default=0)
        if newest <= self._announcements.version:
            return
        encoded, _ = self._rows.changed_since(version)
        # In the background: without an answer it would delay the version here.
        self._host.executor.submit(
            self._announcements.announce, newest, len(encoded) > _LONG_BYTES
        )
