"""Send HTTP requests over kept connections and tell truthfully what was sent."""

import http.client
import select
import threading
import urllib.parse

from papayapick.clients.exceptions import AnswerInvalid, AnswerMissing, NotSent
from papayapick.clock import SystemClock

__all__ = ["HttpAnswer", "HttpPool"]

_KEPT_PER_ADDRESS = 32
_PART_BYTES = 64 << 10
# A lost opening packet is sent again by the system after a second; a new connection has
# another chance sooner. Several times what it takes between regions; doubled each time,
# since the way may be slow.
_CONNECT_SECONDS = 0.25


class HttpAnswer:
    """Hold one whole answer."""

    __slots__ = ("body", "headers", "status")

    def __init__(self, status, headers, body):
        self.status = status
        self.headers = headers
        self.body = body


class HttpPool:
    """Keep idle connections by address.

    Parameters
    ----------
    timeout : float
        Seconds for one request, from connecting to the last byte.
    clock : Clock, optional
    """

    __slots__ = ("_clock", "_idle", "_lock", "_timeout")

    def __init__(self, timeout, clock=None):
        self._timeout = timeout
        self._clock = clock or SystemClock()
        self._idle = {}
        self._lock = threading.Lock()

    def request(
        self,
        method,
        url,
        body=None,
        headers=None,
        timeout=None,
        fresh=False,
        check=None,
    ):
        """Send one request and read the whole answer.

        Parameters
        ----------
        method : str
        url : str
        body : bytes, optional
        headers : dict, optional
        timeout : float, optional
            Seconds, in place of the pool's.
        fresh : bool
            Open a new connection. A kept one may have been closed by the other
            side unseen; a request lost on it can't be told from one that ran.
        check : callable, optional
            Raises for an answer that is not to this request. The connection is
            then closed: after one answer out of step, all later ones are.

        Returns
        -------
        HttpAnswer

        Raises
        ------
        NotSent
            No connection could be made, so the request took no effect.
        AnswerMissing, AnswerInvalid
            The request may have taken effect.
        """
        parts = urllib.parse.urlsplit(url)
        timeout = self._timeout if timeout is None else timeout
        deadline = self._clock.monotonic() + timeout
        connection = None if fresh else self._take(parts.netloc)
        try:
            if connection is None:
                connection = self._connect(parts.netloc, deadline)
        except OSError as error:
            raise NotSent(url=url) from error
        path = parts.path or "/"
        if parts.query:
            path += "?" + parts.query
        try:
            answer, is_kept = self._exchange(
                connection, method, path, body, headers or {}, deadline
            )
            if check is not None:
                check(answer)
        except (OSError, http.client.HTTPException) as error:
            connection.close()
            raise AnswerMissing(url=url) from error
        except BaseException:
            connection.close()
            raise
        if is_kept:
            self._keep(parts.netloc, connection)
        else:
            connection.close()
        return answer

    def close(self):
        """Close the idle connections."""
        with self._lock:
            idle, self._idle = self._idle, {}
        for connections in idle.values():
            for connection in connections:
                connection.close()

    def _exchange(self, connection, method, path, body, headers, deadline):
        sock = connection.sock
        self._limit(sock, deadline)
        connection.request(method, path, body=body, headers=headers)
        self._limit(sock, deadline)
        response = connection.getresponse()
        parts = []
        while part := self._read_part(sock, response, deadline):
            parts.append(part)
        data = b"".join(parts)
        if response.length:
            # The connection ended in the middle of the body.
            raise http.client.IncompleteRead(data, response.length)
        if _has_more(sock, response):
            # A length that is too short makes a cut answer look whole, and
            # leaves its rest as the start of the next answer.
            raise AnswerInvalid(url=path, reason="it is longer than its length")
        is_kept = not response.will_close
        response.close()
        return HttpAnswer(response.status, response.headers, data), is_kept

    def _read_part(self, sock, response, deadline):
        # Limited anew for each part: a server that sends a byte now and then
        # would never meet a limit on the silence between two of them.
        self._limit(sock, deadline)
        return response.read1(_PART_BYTES)

    def _limit(self, sock, deadline):
        rest = deadline - self._clock.monotonic()
        if rest <= 0:
            raise TimeoutError
        sock.settimeout(rest)

    def _take(self, netloc):
        """Return a kept connection, or None."""
        while True:
            with self._lock:
                kept = self._idle.get(netloc)
                connection = kept.pop() if kept else None
            if connection is None or not _is_readable(connection.sock):
                return connection
            # Closed by the other side, or bytes that nobody asked for.
            connection.close()

    def _connect(self, netloc, deadline):
        """Open a connection; raise OSError where none can be opened in time."""
        seconds = _CONNECT_SECONDS
        while True:
            rest = deadline - self._clock.monotonic()
            if rest <= 0:
                raise TimeoutError
            connection = http.client.HTTPConnection(netloc, timeout=min(seconds, rest))
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

    def _keep(self, netloc, connection):
        with self._lock:
            kept = self._idle.setdefault(netloc, [])
            if len(kept) < _KEPT_PER_ADDRESS:
                kept.append(connection)
                return
        connection.close()


def _is_readable(sock):
    poller = select.poll()
    poller.register(sock, select.POLLIN)
    return bool(poller.poll(0))


def _has_more(sock, response):
    """Return whether bytes follow the body that were received with it."""
    if response.fp is None or response.length is None:
        return False
    sock.settimeout(0)
    return bool(response.fp.peek(1))
