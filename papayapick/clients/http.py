"""Send HTTP requests over pooled connections; errors say whether one was sent."""

import http.client
import socket
import urllib.parse

from papayapick.clients.connections import Connections
from papayapick.clients.exceptions import (
    AnswerCut,
    AnswerInvalid,
    AnswerMissing,
    NotSent,
)
from papayapick.clients.time_limits import TimeLimit
from papayapick.clock import SystemClock
from papayapick.observability import get_logger

__all__ = ["HttpAnswer", "HttpPool"]

_LOG = get_logger(__name__)
_PART_BYTES = 64 << 10
# A longer body is sent in parts of this size, and the operating system keeps little
# more than that: what it has not sent yet looks like a pause before the answer.
_SENT_PART_BYTES = 32 << 10


class HttpAnswer:
    """Hold one complete answer."""

    __slots__ = ("body", "headers", "status")

    def __init__(self, status, headers, body):
        self.status = status
        self.headers = headers
        self.body = body


class HttpPool:
    """Send requests over idle connections that are kept per address.

    Parameters
    ----------
    timeout : float
        Time limit of a request in seconds, from connecting to the last byte, unless
        the request allows a long answer more.
    clock : Clock, optional
    connections : Connections, optional
    """

    __slots__ = ("_clock", "_connections", "_timeout")

    def __init__(self, timeout, clock=None, connections=None):
        self._timeout = timeout
        self._clock = clock or SystemClock()
        self._connections = connections or Connections(self._clock)

    @property
    def connections(self):
        """Return the connections of the pool."""
        return self._connections

    def request(
        self,
        method,
        url,
        body=None,
        headers=None,
        timeout=None,
        fresh=False,
        check=None,
        min_bytes_per_second=None,
        is_repeatable=False,
        keep_idle=None,
    ):
        """Send a request and read the whole answer.

        Parameters
        ----------
        method : str
        url : str
        body : bytes, optional
        headers : dict, optional
        timeout : float, optional
            Seconds; overrides the time limit of the pool.
        fresh : bool
            Open a new connection. The server may have closed an idle one unnoticed,
            and a request lost on it can't be distinguished from one that ran.
        check : callable, optional
            Raises an error for an answer to another request. The connection is then
            closed, since later answers would be out of step as well.
        min_bytes_per_second : float, optional
            Allow a request or an answer more time as long as its body is sent or
            arrives at this rate. Otherwise a body that takes longer than the timeout
            on a slow link is cut off, and repeated from its first byte, for ever.
        is_repeatable : bool, optional
            Send the request again over another open connection if the server refuses a
            new one, and let it find out whether the server still does.
        keep_idle : callable, optional
            Returns, after the answer, the most idle connections to the address to keep.

        Returns
        -------
        HttpAnswer

        Raises
        ------
        NotSent
            No connection could be opened, so the request had no effect.
        AnswerMissing, AnswerInvalid
            The request may have had an effect. ``AnswerCut`` if a part of the answer
            arrived.
        """
        parts = urllib.parse.urlsplit(url)
        timeout = self._timeout if timeout is None else timeout
        limit = TimeLimit(self._clock, timeout, min_bytes_per_second)
        path = parts.path or "/"
        if parts.query:
            path += "?" + parts.query
        while True:
            try:
                connection = self._connections.lend(
                    parts.netloc, limit, fresh, is_repeatable
                )
            except OSError as error:
                if is_repeatable and self._is_refused(parts.netloc, error):
                    continue
                raise NotSent(url=url) from error
            try:
                answer, is_reusable = self._exchange(
                    connection.client, method, path, body, headers or {}, limit
                )
                if check is not None:
                    check(answer)
            except (OSError, http.client.HTTPException) as error:
                self._connections.discard(connection, error)
                if is_repeatable and self._is_refused(parts.netloc, error):
                    continue
                raise AnswerMissing(url=url) from error
            except BaseException:
                self._connections.discard(connection)
                raise
            self._take_back(connection, is_reusable, keep_idle)
            return answer

    def _is_refused(self, address, error):
        """Return whether a server has reset a new connection, while others are open."""
        is_reset = isinstance(error, ConnectionError)
        return is_reset and self._connections.is_refused(address)

    def _take_back(self, connection, is_reusable, keep_idle):
        if not is_reusable:
            self._connections.discard(connection)
        elif keep_idle is None:
            self._connections.give_back(connection)
        else:
            self._connections.give_back(connection, keep_idle())

    def close(self):
        """Close the idle connections."""
        self._connections.close()

    def _exchange(self, connection, method, path, body, headers, limit):
        sock = connection.sock
        limit.apply(sock)
        if body and len(body) > _SENT_PART_BYTES and limit.allows_more_for_long_bodies:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, _SENT_PART_BYTES)
            headers = {**headers, "Content-Length": str(len(body))}
            body = _sent_parts(sock, body, limit)
        connection.request(method, path, body=body, headers=headers)
        limit.apply(sock)
        response = connection.getresponse()
        data = self._read_body(sock, response, path, limit)
        is_reusable = not response.will_close
        try:
            has_more = _has_more(sock, response)
        except OSError as error:
            # The server exits right after its answer, which may be the only one that
            # has the last ends of a worker: without it, tasks that are done run again.
            _LOG.debug("reset after an answer", extra={"error": str(error)})
            has_more = is_reusable = False
        if has_more:
            # A Content-Length that is too small makes a truncated answer look complete,
            # and the remaining bytes would be read as the next answer.
            raise AnswerInvalid(url=path, reason="it is longer than its Content-Length")
        response.close()
        return HttpAnswer(response.status, response.headers, data), is_reusable

    def _read_body(self, sock, response, path, limit):
        parts = []
        failure = None
        try:
            # Nothing is read after the last byte: the time limit may have run out or
            # the connection may have ended since, and the answer would be thrown away.
            while response.length != 0:
                part = self._read_part(sock, response, limit)
                if not part:
                    break
                parts.append(part)
        except (OSError, http.client.HTTPException) as error:
            failure = error
        data = b"".join(parts)
        # A length that remains at the end of the data: the connection was closed in
        # the middle of the body.
        if failure is not None or response.length:
            raise AnswerCut(
                url=path,
                received_bytes=len(data),
                missing_bytes=response.length,
            ) from failure
        return data

    def _read_part(self, sock, response, limit):
        # The remaining time is applied before each read: a server that sends single
        # bytes slowly would never exceed a timeout between two reads.
        limit.apply(sock)
        part = response.read1(_PART_BYTES)
        limit.note_progress(len(part))
        return part


def _sent_parts(sock, body, limit):
    """Yield the parts of a body; each is sent before the next one is requested."""
    for start in range(0, len(body), _SENT_PART_BYTES):
        limit.apply(sock)
        part = body[start : start + _SENT_PART_BYTES]
        yield part
        limit.note_progress(len(part))


def _has_more(sock, response):
    """Return whether bytes were received after the end of the body."""
    if response.fp is None or response.length is None:
        return False
    sock.settimeout(0)
    return bool(response.fp.peek(1))
