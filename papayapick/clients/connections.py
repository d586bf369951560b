"""Connections to servers: those that carry a call, and idle ones for the next call."""

import collections
import threading
from typing import Protocol

from papayapick.clients.pooled_connection import PooledConnection
from papayapick.clock import SystemClock

__all__ = ["ConnectionMonitor", "Connections"]

_MAX_IDLE_PER_ADDRESS = 32
_MAX_IDLE = 10_000
# A call that waits longer for a connection than this share of its time would be sent
# and then given up, so that nobody knows whether it had an effect.
_MAX_WAIT_SHARE = 0.5
# A server that refused a connection is tried again after this time.
_REFUSAL_SECONDS = 1.0


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


class _Loan:
    """Decide, or wait for the decision, which connection a call is to use."""

    __slots__ = ("connection", "event")

    def __init__(self):
        self.event = threading.Event()
        # None if the call may open one.
        self.connection = None

    @property
    def is_decided(self):
        """Return whether the call has a connection, or may open one."""
        return self.event.is_set()

    def decide(self, connection):
        """Let the call use a connection, or open one if it is None."""
        self.connection = connection
        self.event.set()


class _Address:
    """Hold the connections to one address; its lock is that of ``Connections``."""

    __slots__ = ("idle", "open_count", "refused_at", "waiting")

    def __init__(self):
        # The latest comes last.
        self.idle = []
        # Idle ones, those in use, and those that are being opened.
        self.open_count = 0
        # Loans that are not decided.
        self.waiting = collections.deque()
        # Monotonic seconds of the last refusal; None once a new one has answered.
        self.refused_at = None

    @property
    def is_unused(self):
        """Return whether nothing is known of the address but its name."""
        return not (self.open_count or self.waiting)


class Connections:
    """Open connections, lend them for calls, and keep idle ones per address.

    Parameters
    ----------
    clock : Clock, optional
    max_idle : int, optional
        Most idle connections to keep in all; those idle for longest are closed.
    monitor : ConnectionMonitor, optional
    max_open : int, optional
        Most connections to have open to one address; further calls wait for one of
        these. By default there is no limit.
    shares_refused : bool, optional
        Whether calls share the open connections to a server while it refuses new ones,
        as one does that accepts a limited number. A server that was away for a moment
        is to be tried at once.
    """

    __slots__ = (
        "_addresses",
        "_clock",
        "_lock",
        "_max_idle",
        "_max_open",
        "_monitor",
        "_order",
        "_shares_refused",
    )

    def __init__(
        self,
        clock=None,
        max_idle=_MAX_IDLE,
        monitor=None,
        max_open=float("inf"),
        shares_refused=False,
    ):
        self._clock = clock or SystemClock()
        self._max_idle = max_idle
        self._max_open = max_open
        self._shares_refused = shares_refused
        self._monitor = monitor or _NoMonitor()
        self._addresses = {}
        # Idle connections, in the order in which they became idle.
        self._order = collections.OrderedDict()
        self._lock = threading.Lock()

    @property
    def idle_count(self):
        """Return the number of idle connections."""
        return len(self._order)

    def open_count(self, address):
        """Return the number of open connections to an address, idle ones included."""
        state = self._addresses.get(address)
        return 0 if state is None else state.open_count

    def most_open(self):
        """Return the number of open connections to the address with most of them."""
        with self._lock:
            counts = [state.open_count for state in self._addresses.values()]
        return max(counts, default=0)

    def is_refused(self, address):
        """Return whether calls share the open connections to a server."""
        state = self._addresses.get(address)
        return state is not None and state.refused_at is not None

    def lend(self, address, limit, is_new=False, is_repeatable=False):
        """Return an idle connection that is still usable, or open one.

        While a server refuses new connections, calls may share those that are open:
        the one that polls a worker goes on, where each new one is reset, so that a
        worker that seems sound would carry out no order.

        Parameters
        ----------
        address : str
        limit : TimeLimit
        is_new : bool, optional
            Open a connection even if one is idle, and beyond the limit.
        is_repeatable : bool, optional
            Whether the call may find out if a server that refused a connection accepts
            one again: it is sent again if not.

        Returns
        -------
        PooledConnection
            To be passed to ``give_back`` or ``discard``.

        Raises
        ------
        OSError
            No connection could be opened, or none was free in time.
        """
        while True:
            patience = _MAX_WAIT_SHARE * limit.remaining()
            loan = self._request(address, is_new, is_repeatable)
            if not loan.is_decided:
                self._await(address, loan, patience)
            connection = loan.connection
            if connection is None:
                return self._open_one(address, limit)
            if not connection.has_input():
                return connection
            # Readable without a request: the server closed it, or sent unexpected
            # bytes.
            self._close(connection)

    def give_back(self, connection, keep=_MAX_IDLE_PER_ADDRESS):
        """Take a connection back after an answer was read in full.

        Parameters
        ----------
        connection : PooledConnection
        keep : int, optional
            Most idle connections to its address to keep from now on.
        """
        surplus = []
        with self._lock:
            state = self._addresses[connection.address]
            if not connection.has_answered:
                connection.has_answered = True
                state.refused_at = None
            if state.waiting:
                state.waiting.popleft().decide(connection)
                return
            state.idle.append(connection)
            self._order[connection] = None
            while len(state.idle) > min(keep, _MAX_IDLE_PER_ADDRESS):
                surplus.append(self._pop_idle(state, 0))
            if len(self._order) > self._max_idle:
                oldest = next(iter(self._order))
                surplus.append(self._pop_idle(self._addresses[oldest.address], 0))
        for one in surplus:
            self._close(one)

    def discard(self, connection, error=None):
        """Close a connection whose call failed, or that is not to be used again.

        Parameters
        ----------
        connection : PooledConnection
        error : Exception, optional
            Why its call has no answer.
        """
        is_refused = isinstance(error, ConnectionError) and not connection.has_answered
        if is_refused:
            self._note_refusal(connection.address)
        self._close(connection)
        if is_refused:
            others = self.open_count(connection.address)
            self._monitor.note_refused(connection.address, others, error)

    def close(self):
        """Close the idle connections."""
        with self._lock:
            idle = list(self._order)
            for connection in idle:
                self._pop_idle(self._addresses[connection.address])
        for connection in idle:
            self._close(connection)

    def _request(self, address, is_new, is_repeatable):
        """Return a loan that is decided, or that waits for a connection."""
        loan = _Loan()
        with self._lock:
            state = self._addresses.setdefault(address, _Address())
            is_attempt = is_new or self._is_to_be_tried(state, is_repeatable)
            connection = None if is_attempt else self._pop_idle(state)
            if connection is not None:
                loan.decide(connection)
            elif is_attempt or self._may_open(state):
                self._let_open(state, loan)
            else:
                state.waiting.append(loan)
        return loan

    def _may_open(self, state):
        """Return whether any call may open a connection; the caller holds the lock."""
        is_refused = state.refused_at is not None and state.open_count > 0
        return state.open_count < self._max_open and not is_refused

    def _is_to_be_tried(self, state, is_repeatable):
        """Return whether a call is to find out if a server still refuses others."""
        if state.refused_at is None or not is_repeatable:
            return False
        since = self._clock.monotonic() - state.refused_at
        return since >= _REFUSAL_SECONDS and state.open_count < self._max_open

    def _let_open(self, state, loan):
        state.open_count += 1
        if state.refused_at is not None:
            # Others don't try as well until this one is answered.
            state.refused_at = self._clock.monotonic()
        loan.decide(None)

    def _await(self, address, loan, seconds):
        """Wait until a loan is decided; raise TimeoutError if that takes too long."""
        self._clock.wait(loan.event, seconds)
        with self._lock:
            if not loan.is_decided:
                self._addresses[address].waiting.remove(loan)
                raise TimeoutError

    def _pop_idle(self, state, position=-1):
        """Remove an idle connection of an address, the latest by default."""
        if not state.idle:
            return None
        connection = state.idle.pop(position)
        del self._order[connection]
        return connection

    def _open_one(self, address, limit):
        """Open a connection that is counted already."""
        try:
            connection = PooledConnection.open(address, limit)
        except ConnectionResetError as error:
            self._note_refusal(address)
            self._note_end(address)
            self._monitor.note_refused(address, self.open_count(address), error)
            raise
        except BaseException:
            self._note_end(address)
            raise
        self._monitor.note_opened()
        return connection

    def _note_refusal(self, address):
        if self._shares_refused:
            with self._lock:
                self._addresses[address].refused_at = self._clock.monotonic()

    def _close(self, connection):
        connection.close()
        self._note_end(connection.address)
        self._monitor.note_closed()

    def _note_end(self, address):
        """Count a connection less; let a call that waits open another."""
        with self._lock:
            state = self._addresses[address]
            state.open_count -= 1
            if state.waiting and self._may_open(state):
                self._let_open(state, state.waiting.popleft())
            if state.is_unused:
                del self._addresses[address]
