"""Send HTTP requests over kept connections and tell truthfully what was sent."""

import http.client
import threading
import urllib.parse

from papayapick.platforms.exceptions import AnswerMissing, NotSent

__all__ = ["HttpAnswer", "HttpPool"]

_KEPT_PER_ADDRESS = 32


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
        Seconds to connect, and to wait for each part of an answer.
    """

    __slots__ = ("_idle", "_lock", "_timeout")

    def __init__(self, timeout):
        self._timeout = timeout
        self._idle = {}
        self._lock = threading.Lock()

    def request(self, method, url, body=None, headers=None, timeout=None, fresh=False):
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

        Returns
        -------
        HttpAnswer

        Raises
        ------
        NotSent
            No connection could be made, so the request took no effect.
        AnswerMissing
            The request may have taken effect.
        """
        parts = urllib.parse.urlsplit(url)
        timeout = self._timeout if timeout is None else timeout
        connection = self._take(parts.netloc, timeout, fresh)
        try:
            if connection.sock is None:
                connection.connect()
        except OSError as error:
            connection.close()
            raise NotSent(url=url) from error
        connection.sock.settimeout(timeout)
        try:
            path = parts.path or "/"
            if parts.query:
                path += "?" + parts.query
            connection.request(method, path, body=body, headers=headers or {})
            response = connection.getresponse()
            data = response.read()
        except (OSError, http.client.HTTPException) as error:
            connection.close()
            raise AnswerMissing(url=url) from error
        if response.will_close:
            connection.close()
        else:
            self._keep(parts.netloc, connection)
        return HttpAnswer(response.status, response.headers, data)

    def close(self):
        """Close the idle connections."""
        with self._lock:
            idle, self._idle = self._idle, {}
        for connections in idle.values():
            for connection in connections:
                connection.close()

    def _take(self, netloc, timeout, fresh):
        with self._lock:
            kept = self._idle.get(netloc)
            if kept and not fresh:
                return kept.pop()
        return http.client.HTTPConnection(netloc, timeout=timeout)

    def _keep(self, netloc, connection):
        with self._lock:
            kept = self._idle.setdefault(netloc, [])
            if len(kept) < _KEPT_PER_ADDRESS:
                kept.append(connection)
                return
        connection.close()
