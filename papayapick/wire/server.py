"""Accept connections of peers and answer their messages."""

import contextlib
import socket
import threading
from concurrent.futures import Future

from papayapick.clock import SystemClock
from papayapick.exceptions import PapayapickError
from papayapick.observability import get_logger
from papayapick.wire.exceptions import PeerDisconnected, PeerRefused, WireError
from papayapick.wire.frames import Connection
from papayapick.wire.messages import Refusal

__all__ = ["PeerServer"]

_LOG = get_logger(__name__)
# As many connections wait to be accepted while the accepting thread does not run;
# others would be tried again only after a second. The system may allow fewer.
_BACKLOG = 1024
_HANDSHAKE_SECONDS = 2.0
# Accepting fails for as long as the process has no descriptor left.
_ACCEPT_RETRY_SECONDS = 0.05
# A hundred peers that reconnect at once complete their handshakes within milliseconds.
_MAX_CONCURRENT_HANDSHAKES = 64


class PeerServer:
    """Accept connections and pass each message to a handler.

    Each connection occupies one task of the executor.

    Parameters
    ----------
    address : tuple of (str, int)
        Port 0 selects any free port.
    cell_key : CellKeys or bytes
    identity : Hello
    handler : callable
        Called with payload, peer and traceparent; returns a payload, a future
        of one, or None for a message that has no answer. A
        ``PapayapickError`` that it raises is sent back as a ``Refusal``.
    executor : concurrent.futures.Executor
    meter : callable, optional
    clock : Clock, optional
    on_disconnect : callable, optional
        Called with the ``Hello`` of a peer whose connection has ended, so that a
        killed process is detected before its heartbeats are missed.
    max_handshakes : int, optional
        Connections that may be in their handshake at a time; more are closed.
    """

    __slots__ = (
        "_cell_key",
        "_clock",
        "_connections",
        "_executor",
        "_handler",
        "_handshakes",
        "_identity",
        "_listener",
        "_lock",
        "_meter",
        "_on_disconnect",
        "_stopping",
    )

    def __init__(
        self,
        address,
        cell_key,
        identity,
        handler,
        executor,
        meter=None,
        clock=None,
        on_disconnect=None,
        max_handshakes=None,
    ):
        self._on_disconnect = on_disconnect or (lambda peer: None)
        self._listener = socket.create_server(address, backlog=_BACKLOG)
        self._cell_key = cell_key
        self._identity = identity
        self._handler = handler
        self._executor = executor
        self._meter = meter
        self._clock = clock or SystemClock()
        self._handshakes = threading.BoundedSemaphore(
            max_handshakes or _MAX_CONCURRENT_HANDSHAKES
        )
        self._connections = set()
        self._lock = threading.Lock()
        self._stopping = threading.Event()

    @property
    def address(self):
        """Return the IP address and port that peers connect to."""
        return self._listener.getsockname()[:2]

    def start(self):
        """Start accepting connections."""
        self._executor.submit(self._accept)

    def close(self):
        """Stop accepting connections and close the open ones."""
        self._stopping.set()
        # Some systems refuse to shut down a listening socket.
        with contextlib.suppress(OSError):
            self._listener.shutdown(socket.SHUT_RDWR)
        self._listener.close()
        with self._lock:
            connections = list(self._connections)
        for connection in connections:
            connection.close()

    def _accept(self):
        while not self._stopping.is_set():
            try:
                sock, _ = self._listener.accept()
            except OSError:
                self._clock.wait(self._stopping, _ACCEPT_RETRY_SECONDS)
                continue
            # A connection that sends nothing occupies a task until its handshake
            # times out. Without this bound, such connections would leave no tasks
            # for authenticated peers.
            if not self._handshakes.acquire(blocking=False):
                sock.close()
                continue
            connection = Connection(
                sock, self._cell_key, self._identity, self._meter, self._clock
            )
            self._executor.submit(self._serve, connection)

    def _serve(self, connection):
        with self._lock:
            self._connections.add(connection)
        try:
            self._accept_handshake(connection)
            while True:
                identifier, payload, traceparent = connection.receive()
                self._handle(connection, identifier, payload, traceparent)
        except WireError as error:
            _LOG.debug("connection ended", extra={"error": str(error)})
        finally:
            connection.close()
            with self._lock:
                self._connections.discard(connection)
            if connection.peer is not None and not self._stopping.is_set():
                self._on_disconnect(connection.peer)

    def _accept_handshake(self, connection):
        try:
            if self._stopping.is_set():
                # ``close`` may have looked for connections before this one was added.
                raise PeerDisconnected(address="a peer, as this server closes")
            connection.accept_handshake(_HANDSHAKE_SECONDS)
        finally:
            self._handshakes.release()

    def _handle(self, connection, identifier, payload, traceparent):
        try:
            answer = self._handler(payload, connection.peer, traceparent)
        except PapayapickError as error:
            answer = refusal_of(error)
        except Exception as error:
            # An unexpected error of one call must not end the peer's other calls, which
            # share the connection.
            _LOG.exception("handler failed", extra={"kind": type(payload).__name__})
            answer = _unexpected(error)
        if isinstance(answer, Future):
            answer.add_done_callback(
                lambda future: self._send_result(connection, identifier, future)
            )
        elif answer is not None:
            self._send(connection, identifier, answer)

    def _send_result(self, connection, identifier, future):
        error = future.exception()
        if error is None:
            answer = future.result()
        elif isinstance(error, PapayapickError):
            answer = refusal_of(error)
        else:
            _LOG.error("future of the handler failed", exc_info=error)
            answer = _unexpected(error)
        self._send(connection, identifier, answer)

    @staticmethod
    def _send(connection, identifier, answer):
        try:
            connection.send(identifier, answer)
        except WireError:
            # Further messages that the peer sent before it ended are still handled.
            _LOG.debug("answer dropped: connection closed")


def refusal_of(error):
    """Return the ``Refusal`` that reports an error to a peer.

    Parameters
    ----------
    error : PapayapickError
        May carry ``outcome`` and ``retry_after`` (seconds).
    """
    code = error.refusal_code if isinstance(error, PeerRefused) else error.code
    return Refusal(
        code=code,
        detail=str(error),
        outcome=getattr(error, "outcome", "unknown"),
        retry_after_milliseconds=int(getattr(error, "retry_after", 0) * 1000),
    )


def _unexpected(error):
    return Refusal(
        code="papayapick.error", detail=type(error).__name__, outcome="unknown"
    )
