"""Client of the platform's object store."""

import hashlib
import urllib.parse

from papayapick.clients.exceptions import (
    AnswerMissing,
    NotSent,
    ObjectMissing,
    ObjectsUnavailable,
)
from papayapick.clients.time_limits import MIN_BYTES_PER_SECOND

__all__ = ["ObjectStore", "digest_of"]


def digest_of(data):
    """Return the SHA-256 digest of bytes in hexadecimal."""
    return hashlib.sha256(data).hexdigest()


class ObjectStore:
    """Store and read objects by name.

    Parameters
    ----------
    url : str
    pool : HttpPool
    """

    __slots__ = ("_pool", "_url")

    def __init__(self, url, pool):
        self._url = url
        self._pool = pool

    def put(self, name, data):
        """Store an object; storing the same bytes again changes nothing.

        Raises
        ------
        ObjectsUnavailable
        """
        if self._call("PUT", name, data).status != 200:
            raise ObjectsUnavailable()

    def get(self, name):
        """Return the bytes of an object.

        Raises
        ------
        ObjectMissing, ObjectsUnavailable
        """
        answer = self._call("GET", name)
        if answer.status == 404:
            raise ObjectMissing(name=name)
        if answer.status != 200:
            raise ObjectsUnavailable()
        return answer.body

    def _call(self, method, name, data=None):
        url = f"{self._url}/{urllib.parse.quote(name)}"
        try:
            return self._pool.request(
                method, url, data, min_bytes_per_second=MIN_BYTES_PER_SECOND
            )
        except (NotSent, AnswerMissing) as error:
            raise ObjectsUnavailable() from error
