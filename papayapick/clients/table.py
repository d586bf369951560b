"""Client of the platform's transactional table."""

import json
import urllib.parse

from papayapick.clients.exceptions import (
    AnswerMissing,
    NotSent,
    TableUnavailable,
    TransactionConflict,
)
from papayapick.clients.time_limits import MIN_BYTES_PER_SECOND
from papayapick.clients.types import Row

__all__ = ["Row", "Table"]


class Table:
    """Read and change rows of the table.

    Parameters
    ----------
    url : str
        Base address of the service.
    pool : HttpPool
    count : callable, optional
        Called with ``read``, ``scan`` or ``transact`` for each call.
    """

    __slots__ = ("_count", "_pool", "_url")

    def __init__(self, url, pool, count=None):
        self._url = url
        self._pool = pool
        self._count = count or (lambda operation: None)

    def read(self, key):
        """Return a row, or None if there is none."""
        self._count("read")
        quoted = urllib.parse.quote(key, safe="")
        answer = self._call("GET", f"{self._url}/rows/{quoted}")
        if answer.status == 404:
            return None
        found = self._decoded(answer)
        return Row(key, found["value"], found["version"])

    def scan(self, prefix):
        """Return the rows whose keys begin with a prefix, ordered by key."""
        self._count("scan")
        quoted = urllib.parse.quote(prefix, safe="")
        found = self._decoded(self._call("GET", f"{self._url}/rows?prefix={quoted}"))
        return [Row(row["key"], row["value"], row["version"]) for row in found["rows"]]

    def transact(self, conditions, writes):
        """Apply all writes if all conditions hold.

        Raises
        ------
        TransactionConflict
            A condition did not hold; nothing was written.
        TableUnavailable
            The writes may have been applied.
        """
        self._count("transact")
        body = {
            "conditions": [{"key": c.key, "version": c.version} for c in conditions],
            "writes": [{"key": w.key, "value": w.value} for w in writes],
        }
        answer = self._call(
            "POST", f"{self._url}/transactions", json.dumps(body).encode()
        )
        if answer.status == 409:
            raise TransactionConflict(key=json.loads(answer.body)["key"])
        self._decoded(answer)

    def _call(self, method, url, body=None):
        try:
            return self._pool.request(
                method, url, body, min_bytes_per_second=MIN_BYTES_PER_SECOND
            )
        except (NotSent, AnswerMissing) as error:
            raise TableUnavailable() from error

    @staticmethod
    def _decoded(answer):
        if answer.status != 200:
            raise TableUnavailable()
        try:
            return json.loads(answer.body)
        except ValueError as error:
            raise TableUnavailable() from error
