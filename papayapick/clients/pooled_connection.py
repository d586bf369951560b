"""A connection of a pool, and how one is opened."""

import http.client
import select

__all__ = ["PooledConnection"]

# The operating system repeats a lost SYN packet only after a second; opening another
# connection is faster. The first limit is several times the time that connecting takes
# between regions. It is doubled for each further attempt in case the route is slow.
_CONNECT_SECONDS = 0.25


class PooledConnection:
    """Hold an open connection.

    Parameters
    ----------
    address : str
        ``IP:PORT``.
    client : http.client.HTTPConnection

    Attributes
    ----------
    has_answered : bool
        Whether a call over it was answered. A server that accepts no more connections
        resets a new one in place of its first answer.
    """

    __slots__ = ("address", "client", "has_answered")

    def __init__(self, address, client):
        self.address = address
        self.client = client
        self.has_answered = False

    @classmethod
    def open(cls, address, limit):
        """Open a connection.

        Parameters
        ----------
        address : str
        limit : TimeLimit

        Returns
        -------
        PooledConnection

        Raises
        ------
        OSError
            That failed, or took too long.
        """
        seconds = _CONNECT_SECONDS
        while True:
            client = http.client.HTTPConnection(
                address, timeout=min(seconds, limit.remaining())
            )
            try:
                client.connect()
            except TimeoutError:
                client.close()
                seconds *= 2
            except OSError:
                client.close()
                raise
            else:
                return cls(address, client)

    def has_input(self):
        """Return whether the server closed it or sent bytes without a request."""
        poller = select.poll()
        poller.register(self.client.sock, select.POLLIN)
        return bool(poller.poll(0))

    def close(self):
        """Close the connection."""
        self.client.close()
