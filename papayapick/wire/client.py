"""Send messages to a peer and match the answers to them."""

import itertools
import socket
import threading
from concurrent.futures import Future
from concurrent.futures import TimeoutError as FutureTimeout

from papayapick.wire.exceptions import (
    PeerDisconnected,
    PeerNotListening,
    PeerRefused,
    PeerTimeout,
    PeerUnreachable,
    WireError,
)
from papayapick.wire.frames import Connection
from papayapick.wire.messages import Refusal

__all__ = ["PeerClient"]


class PeerClient:
    """Send messages to a peer over one connection.

    The connection is opened by the first call, and opened again by the next call after
    it broke.

    Parameters
    ----------
    address : tuple of (str, int)
    cell_key : CellKeys or bytes
    identity : Hello
    executor : concurrent.futures.Executor
        Runs a task that reads answers for as long as the connection is open.
    connect_seconds : float
        Time limit for connecting, and again for the handshake.
    meter : callable, optional
        See ``Connection``.
    """

    __slots__ = (
        "_address",
        "_cell_key",
        "_connect_seconds",
        "_connection",
        "_executor",
        "_identifiers",
        "_identity",
        "_lock",
        "_meter",
        "_pending",
    )

    def __init__(
        self, address, cell_key, identity, executor, connect_seconds=1.0, meter=None
    ):
        self._address = address
        self._cell_key = cell_key
        self._identity = identity
        self._executor = executor
        self._connect_seconds = connect_seconds
        self._meter = meter
        self._connection = None
        self._identifiers = itertools.count(1)
        self._pending = {}
        self._lock = threading.Lock()

    @property
    def address(self):
        """Return the peer's IP address and port."""
        return self._address

    @property
    def is_connected(self):
        """Return whether a call can be sent without opening a connection first."""
        return self._connection is not None

    def call(self, payload, traceparent=""):
        """Send a message without waiting for its answer.

        Parameters
        ----------
        payload : Payload
        traceparent : str

        Returns
        -------
        concurrent.futures.Future
            Its result is the payload of the answer, or it raises ``PeerRefused`` or
            ``PeerDisconnected``.

        Raises
        ------
        PeerUnreachable
            Nothing was sent.
        """
        _, future = self._call(payload, traceparent)
        return future

    def ask(self, payload, seconds, traceparent=""):
        """Send a message and wait for its answer.

        Raises
        ------
        PeerUnreachable, PeerDisconnected, PeerTimeout, PeerRefused
        """
        identifier, future = self._call(payload, traceparent)
        try:
            return future.result(seconds)
        except FutureTimeout as error:
            # A peer that reads and never answers would make them pile up.
            with self._lock:
                self._pending.pop(identifier, None)
            raise PeerTimeout(address=self._address, seconds=seconds) from error

    def tell(self, payload):
        """Send a message that has no answer.

        A message is lost without an error if the connection breaks before it arrives.

        Raises
        ------
        PeerUnreachable, PeerDisconnected
        """
        self._connected().send(0, payload)

    def close(self):
        """Close the connection; outstanding calls fail with ``PeerDisconnected``."""
        with self._lock:
            connection, self._connection = self._connection, None
        if connection is not None:
            connection.close()

    def _call(self, payload, traceparent):
        connection = self._connected()
        identifier = next(self._identifiers)
        future = Future()
        with self._lock:
            self._pending[identifier] = (connection, future)
        try:
            connection.send(identifier, payload, traceparent)
        except PeerDisconnected as error:
            # Answers to earlier calls may have arrived. The thread that reads them
            # lets those calls fail that have none.
            self._forget(connection)
            self._fail_calls([identifier], error)
        return identifier, future

    def _connected(self):
        with self._lock:
            if self._connection is not None:
                return self._connection
            self._connection = self._connect()
            self._executor.submit(self._read, self._connection)
            return self._connection

    def _connect(self):
        try:
            sock = socket.create_connection(self._address, self._connect_seconds)
        except ConnectionRefusedError as error:
            raise PeerNotListening(address=self._address) from error
        except OSError as error:
            raise PeerUnreachable(address=self._address) from error
        try:
            connection = Connection(sock, self._cell_key, self._identity, self._meter)
            connection.initiate_handshake(self._connect_seconds)
        except (OSError, WireError) as error:
            sock.close()
            raise PeerUnreachable(address=self._address) from error
        return connection

    def _read(self, connection):
        try:
            while True:
                identifier, payload, _ = connection.receive()
                self._resolve(identifier, payload)
        except WireError as error:
            self._fail(connection, error)

    def _resolve(self, identifier, payload):
        with self._lock:
            _, future = self._pending.pop(identifier, (None, None))
        if future is None:
            # No call waits under this identifier: it has failed or was answered before.
            return
        if isinstance(payload, Refusal):
            future.set_exception(
                PeerRefused(
                    refusal_code=payload.code,
                    detail=payload.detail,
                    outcome=payload.outcome,
                    retry_after=payload.retry_after_milliseconds / 1000,
                )
            )
        else:
            future.set_result(payload)

    def _fail(self, connection, cause):
        connection.close()
        self._forget(connection)
        with self._lock:
            failed = [
                identifier
                for identifier, (sent_on, _) in self._pending.items()
                if sent_on is connection
            ]
        self._fail_calls(failed, cause)

    def _forget(self, connection):
        """Let the next call open another connection."""
        with self._lock:
            if self._connection is connection:
                self._connection = None

    def _fail_calls(self, identifiers, cause):
        with self._lock:
            calls = [self._pending.pop(one, None) for one in identifiers]
        for _, future in filter(None, calls):
            error = PeerDisconnected(address=self._address)
            error.__cause__ = cause
            future.set_exception(error)
