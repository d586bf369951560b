"""Connections to servers: those that carry a call, and idle ones for the next call."""

import collections
import http.client
import select
import threading
from typing import Protocol

from papayapick.clock import SystemClock

__all__ = ["Connections", "ConnectionMonitor", "PooledConnection"]

_MAX_IDLE_PER_ADDRESS = 32
_MAX_IDLE = 10_000
# The operating system repeats a lost SYN packet only after a second; opening another
# connection is faster. The first limit is several times the time that connecting takes
# between regions. It is doubled for each further attempt in case the route is slow.
_CONNECT_SECONDS = 0.25


class ConnectionMonitor(Protocol):
    """Receive what becomes of connections; called without a lock held."""

    def note_opened(self) -> None:
        """Count a connection that was opened."""

    def note_closed(self) -> None:
        """Count a connection that was closed."""

    def note_refused(self, address: str, is_open: int, error: Exception) -> None:
        """Note a new connection that was reset before its first answer.

        Parameters
        ----------
        address : str
            ``IP:PORT``.
        is_open : int
            Number of other connections that are open to the address.
        error : Exception
        """


class _NoMonitor:
    """Ignore what becomes of connections."""

    __slots__ = ()

    def note_opened(self):
        pass

    def note_closed(self):
        pass

    def note_refused(self, address, is_open, error):
        pass


class PooledConnection:
    """Hold an open connection.

    Parameters
    ----------
    address : str
        ``IP:PORT``.
    http : http.client.HTTPConnection

    Attributes
    ----------
    has_answered : bool
        Whether a call over it was answered. A server that accepts no more connections
        resets a new one in place of its first answer.
    """

    __slots__ = ("address", "has_answered", "http")

    def __init__(self, address, http):
        self.address = address
        self.http = http
        self.has_answered = False

    def has_input(self):
        """Return whether the server closed it or sent bytes without a request."""
        poller = select.poll()
        poller.register(self.http.sock, select.POLLIN)
        return bool(poller.poll(0))


class Connections:
    """Open connections, and keep idle ones per address.

    Parameters
    ----------
    clock : Clock, optional
    max_idle : int, optional
        Most idle connections to keep in all; those idle for longest are closed.
    monitor : ConnectionMonitor, optional
    """

    __slots__ = (
        "_clock",
        "_idle",
        "_lock",
        "_max_idle",
        "_monitor",
        "_open",
        "_order",
    )

    def __init__(self, clock=None, max_idle=_MAX_IDLE, monitor=None):
        self._clock = clock or SystemClock()
        self._max_idle = max_idle
        self._monitor = monitor or _NoMonitor()
        # Idle connections by address.
        self._idle = {}
        # Idle connections, in the order in which they became idle.
        self._order = collections.OrderedDict()
        # Number of open connections by address.
        self._open = collections.Counter()
        self._lock = threading.Lock()

    @property
    def idle_count(self):
        """Return the number of idle connections."""
        return len(self._order)

    def open_count(self, address):
        """Return the number of open connections to an address, idle ones included."""
        return self._open[address]

    def most_open(self):
        """Return the number of open connections to the address with most of them."""
        with self._lock:
            return max(self._open.values(), default=0)

    def lend(self, address, limit, is_new=False):
        """Return an idle connection that is still usable, or open one.

        Parameters
        ----------
        address : str
        limit : TimeLimit
        is_new : bool, optional
            Open a connection even if one is idle.

        Returns
        -------
        PooledConnection
            To be passed to ``give_back`` or ``discard``.

        Raises
        ------
        OSError
            No connection could be opened.
        """
        connection = None if is_new else self._take_idle(address)
        return connection or self._open_one(address, limit)

    def give_back(self, connection):
        """Keep a connection for the next call after an answer was read in full."""
        connection.has_answered = True
        surplus = None
        with self._lock:
            kept = self._idle.setdefault(connection.address, [])
            kept.append(connection)
            self._order[connection] = None
            if len(kept) > _MAX_IDLE_PER_ADDRESS:
                surplus = self._pop_idle(connection.address, 0)
            elif len(self._order) > self._max_idle:
                surplus = self._pop_idle(next(iter(self._order)).address, 0)
        if surplus is not None:
            self._close(surplus)

    def discard(self, connection, error=None):
        """Close a connection whose call failed, or that is not to be used again.

        Parameters
        ----------
        connection : PooledConnection
        error : Exception, optional
            Why its call has no answer.
        """
        self._close(connection)
        if isinstance(error, ConnectionError) and not connection.has_answered:
            is_open = self._open[connection.address]
            self._monitor.note_refused(connection.address, is_open, error)

    def close(self):
        """Close the idle connections."""
        with self._lock:
            idle = list(self._order)
            self._order.clear()
            self._idle = {}
        for connection in idle:
            self._close(connection)

    def _take_idle(self, address):
        """Return an idle connection that is still usable, or None."""
        while True:
            with self._lock:
                connection = self._pop_idle(address)
            if connection is None or not connection.has_input():
                return connection
            self._close(connection)

    def _pop_idle(self, address, position=-1):
        """Remove an idle connection of an address, the latest by default."""
        kept = self._idle.get(address)
        if not kept:
            return None
        connection = kept.pop(position)
        del self._order[connection]
        if not kept:
            del self._idle[address]
        return connection

    def _open_one(self, address, limit):
        connection = PooledConnection(address, self._connect(address, limit))
        with self._lock:
            self._open[address] += 1
        self._monitor.note_opened()
        return connection

    def _connect(self, address, limit):
        seconds = _CONNECT_SECONDS
        while True:
            connection = http.client.HTTPConnection(
                address, timeout=min(seconds, limit.remaining())
            )
            try:
                connection.connect()
            except TimeoutError:
                connection.close()
                seconds *= 2
            except OSError:
                connection.close()
                raise
            else:
                return connection

    def _close(self, connection):
        connection.http.close()
        address = connection.address
        with self._lock:
            self._open[address] -= 1
            if not self._open[address]:
                del self._open[address]
        self._monitor.note_closed()
