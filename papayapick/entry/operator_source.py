"""Read the operator's rows from the store, or by way of other hosts if they are long.

Guards against links that are full for seconds because each host reads thousands of
routes, 350 bytes a route, from the store: heartbeats and calls of the store wait behind
them, working owners are replaced, and the version comes into force too late. The hosts
that read it quickly do so, and pass it on compressed to a tenth.
"""

import random

from papayapick.clients.exceptions import AnswerTooLarge
from papayapick.clients.rows import Page
from papayapick.entry.events import CONFIGURATION_READ_DIRECTLY
from papayapick.platform.configuration import OPERATOR_TABLE

__all__ = ["OperatorSource"]

# A shorter answer is read from the store by every host: asking others would not be
# faster.
_SHORT_ANSWER_BYTES = 64_000
# A host reads an answer from the store if its own link needs no longer than this.
_QUICK_SECONDS = 0.15
# A host with a longer round trip to the store shares the way to it with its region.
_NEAR_ROUND_TRIP_SECONDS = 0.02
# How much longer such a host asks others before it reads a long answer from the store.
_REMOTE_EXTRA_SECONDS = 0.5
_MAX_ASKING_SECONDS = 1.0
# Spreads the hosts that found nobody to ask, so that the later ones do.
_JITTER_SHARE = 0.3
_PAUSE_SECONDS = 0.1


class OperatorSource:
    """Read the operator's rows, with the methods of a store that ``follow_table`` uses.

    Parameters
    ----------
    host : EntryHost
    rows : OperatorRows
        Holds the rows read last.
    exchange : ConfigurationExchange
    """

    __slots__ = ("_exchange", "_host", "_rows")

    def __init__(self, host, rows, exchange):
        self._host = host
        self._rows = rows
        self._exchange = exchange

    def follow(self, table, version, wait_seconds):
        """Wait for changes; see ``Store.follow``."""
        # Other hosts may have told about changes beyond the last page.
        version = max(version, self._rows.version)
        store = self._host.store
        page = self._read(
            version,
            lambda max_bytes=None: store.follow(
                table, version, wait_seconds, max_bytes
            ),
        )
        self._rows.update(page.rows, page.version)
        return page

    def read_all(self):
        """Return all rows and the version from which to follow them."""
        store = self._host.store
        page = self._read(
            0,
            lambda max_bytes=None: Page(*store.read_all(OPERATOR_TABLE, "", max_bytes)),
        )
        return self._rows.replace(page.rows, page.version), page.version

    def _read(self, version, read):
        try:
            page = read(self._max_direct_bytes())
        except AnswerTooLarge as error:
            self._host.store_health.note_answer()
            page = self._ask_others(version, error.body_bytes)
            if page is not None:
                return page
            CONFIGURATION_READ_DIRECTLY.write(bytes=error.body_bytes)
            page = read()
        self._host.store_health.note_answer()
        return page

    def _ask_others(self, version, body_bytes):
        """Ask other hosts for a while; return a Page of newer rows, or None."""
        host = self._host
        until = host.clock.monotonic() + self._asking_seconds(body_bytes)
        while host.clock.monotonic() < until and host.peers.all():
            page = self._exchange.fetch(version)
            if page is not None or host.stopping.is_set():
                return page
            host.clock.wait(host.stopping, _PAUSE_SECONDS)
        return None

    def _max_direct_bytes(self):
        """Return the length up to which an answer is read from the store at once."""
        if not self._is_near():
            return _SHORT_ANSWER_BYTES
        quick = _QUICK_SECONDS * self._host.settings.bytes_per_second
        return max(_SHORT_ANSWER_BYTES, int(quick))

    def _asking_seconds(self, body_bytes):
        """Return for how long to ask others, the less the faster this host reads."""
        seconds = body_bytes / self._host.settings.bytes_per_second
        if not self._is_near():
            seconds += _REMOTE_EXTRA_SECONDS
        jitter = 1 + random.uniform(0, _JITTER_SHARE)
        return min(_MAX_ASKING_SECONDS, seconds) * jitter

    def _is_near(self):
        seconds = self._host.store_seconds
        return seconds is not None and seconds < _NEAR_ROUND_TRIP_SECONDS
