"""Client of the platform's store, which holds tables of versioned rows."""

import base64
import json
import urllib.parse

from papayapick.clients.exceptions import (
    AnswerCut,
    AnswerInvalid,
    AnswerMissing,
    ConditionFailed,
    HistoryLost,
    NotSent,
    StoreRefused,
    TableAnswerCut,
    TableUnavailable,
)
from papayapick.clients.rows import Page, StoredRow
from papayapick.clients.time_limits import MIN_BYTES_PER_SECOND
from papayapick.clock import SystemClock
from papayapick.platform.exceptions import BodyInvalid
from papayapick.platform.fields import optional_field, required_field

__all__ = ["Store"]

# A store that is 60 times slower than usual still answers a transaction in half a
# second. After this time, it counts as down or unreachable.
_CALL_SECONDS = 1.2
# Time that the answer of a long poll may take beyond the requested wait.
_FEED_SLACK_SECONDS = 0.6
_PARTITIONS_PER_ANSWER = 1000


class Store:
    """Call the store; each call is sent once and not retried.

    Parameters
    ----------
    address : str
        ``IP:PORT``.
    pool : HttpPool
    clock : Clock, optional
    observe : callable, optional
        Called after each call with its operation, outcome and duration in seconds.

    Notes
    -----
    Each method raises ``StoreRefused`` if the call had no effect, and
    ``TableUnavailable`` if a write may have been applied or may still be applied.
    """

    __slots__ = ("_base", "_clock", "_observe", "_pool")

    def __init__(self, address, pool, clock=None, observe=None):
        self._base = "http://" + address
        self._pool = pool
        self._clock = clock or SystemClock()
        self._observe = observe or (lambda operation, outcome, seconds: None)

    def transact(
        self, expectations, writes, spans_partitions=False, seconds=_CALL_SECONDS
    ):
        """Apply all writes if all expectations hold.

        Parameters
        ----------
        expectations : list of Expectation
        writes : list of RowWrite
        spans_partitions : bool
            Whether the rows belong to more than one partition.
        seconds : float
            Time limit for the answer.

        Returns
        -------
        int
            Version of all rows that were written.

        Raises
        ------
        ConditionFailed, StoreRefused, TableUnavailable
        """
        body = {
            "expected_rev": [
                {"table": e.table, "part": e.partition, "key": e.key, "ver": e.version}
                for e in expectations
            ],
            "writes": [
                {
                    "table": w.table,
                    "part": w.partition,
                    "key": w.key,
                    "value": _encoded(w.value),
                }
                for w in writes
                if w.value is not None
            ],
            "remove": [
                {"table": w.table, "part": w.partition, "key": w.key}
                for w in writes
                if w.value is None
            ],
        }
        if spans_partitions:
            body["across"] = True
        data = json.dumps(body, separators=(",", ":")).encode()
        answer = self._call("transact", "POST", "/rows-tx", data, seconds)
        if answer.status == 412:
            raise ConditionFailed(_rows(_json(answer)))
        if answer.status != 200:
            raise StoreRefused()
        return _version(_json(answer))

    def read(
        self, table, partition, first="", end="", limit=500, seconds=_CALL_SECONDS
    ):
        """Return a page of rows, ordered by key.

        Parameters
        ----------
        table, partition : str
        first, end : str
            Range of keys, without ``end``; an empty string means no bound.
        limit : int
            Maximum number of rows, at most 500.
        seconds : float
            Time limit for the answer; a long one may take more.

        Returns
        -------
        Page
        """
        query = {"table": table, "part": partition, "limit": limit}
        if first:
            query["from"] = first
        if end:
            query["to"] = end
        answer = self._call("read", "GET", "/rows-get?" + _query(query), None, seconds)
        if answer.status != 200:
            raise StoreRefused()
        return _page(_json(answer))

    def read_all(self, table, partition):
        """Return every row of a partition.

        Returns
        -------
        rows : list of StoredRow
        version : int
            Version of the first page, from which to follow changes: later pages may
            be newer.
        """
        rows, first, version = [], "", None
        while True:
            page = self.read(table, partition, first)
            rows += page.rows
            version = page.version if version is None else version
            if not page.has_more or not page.rows:
                return rows, version
            first = page.rows[-1].key + "\0"

    def partitions(self, table):
        """Return the names of a table's partitions, in order."""
        found = []
        while True:
            query = {"table": table}
            if found:
                query["after"] = found[-1]
            path = "/rows-parts?" + _query(query)
            answer = self._call("list", "GET", path)
            if answer.status != 200:
                raise StoreRefused()
            names = _partition_names(_json(answer))
            found += names
            if len(names) < _PARTITIONS_PER_ANSWER:
                return found

    def follow(self, table, version, wait_seconds):
        """Wait for changes to a table since a version.

        Returns
        -------
        Page
            Without rows if nothing has changed.

        Raises
        ------
        HistoryLost
            The store no longer has these changes; the table must be read again.
        """
        wait = int(wait_seconds * 1000)
        query = _query({"table": table, "after": version, "wait_ms": wait})
        answer = self._call(
            "follow",
            "GET",
            "/rows-feed?" + query,
            seconds=wait_seconds + _FEED_SLACK_SECONDS,
        )
        if answer.status == 410:
            raise HistoryLost(table=table)
        if answer.status != 200:
            raise StoreRefused()
        return _page(_json(answer))

    def _call(self, operation, method, path, body=None, seconds=_CALL_SECONDS):
        began = self._clock.monotonic()
        outcome = "no-answer"
        try:
            answer = self._pool.request(
                method,
                self._base + path,
                body,
                timeout=seconds,
                min_bytes_per_second=MIN_BYTES_PER_SECOND,
            )
            outcome = str(answer.status)
        except NotSent as error:
            outcome = "not-sent"
            raise StoreRefused() from error
        except AnswerCut as error:
            outcome = "cut"
            raise TableAnswerCut(**error.details) from error
        except (AnswerMissing, AnswerInvalid) as error:
            raise TableUnavailable() from error
        finally:
            self._observe(operation, outcome, self._clock.monotonic() - began)
        return answer


def _query(fields):
    return urllib.parse.urlencode(fields)


def _encoded(value):
    data = json.dumps(value, separators=(",", ":")).encode()
    return base64.b64encode(data).decode()


def _json(answer):
    """Return the object in an answer; one of another shape counts as missing."""
    try:
        body = json.loads(answer.body)
    except (ValueError, RecursionError) as error:
        raise TableUnavailable() from error
    if not isinstance(body, dict):
        raise TableUnavailable()
    return body


def _page(body):
    return Page(_rows(body), _version(body), bool(body.get("more_pages")))


def _partition_names(body):
    try:
        names = required_field(body, "parts", list)
    except BodyInvalid as error:
        raise TableUnavailable() from error
    if not all(isinstance(name, str) for name in names):
        raise TableUnavailable()
    return names


def _version(body):
    try:
        return required_field(body, "ver", int)
    except BodyInvalid as error:
        raise TableUnavailable() from error


def _rows(body):
    try:
        return [_row(row) for row in optional_field(body, "rows", list, [])]
    except BodyInvalid as error:
        raise TableUnavailable() from error


def _row(entry):
    is_deleted = optional_field(entry, "deleted", bool, False, "row")
    value = None if is_deleted else _decoded(entry.get("value", ""))
    table, partition, key = (
        required_field(entry, name, str, "row") for name in ("table", "part", "key")
    )
    version = required_field(entry, "ver", int, "row")
    return StoredRow(table, partition, key, value, version, is_deleted)


def _decoded(text):
    # Other programs write to some of the tables. Their values may be no JSON objects;
    # such a row is treated as one without a value.
    try:
        value = json.loads(base64.b64decode(text))
    except (ValueError, TypeError, RecursionError):
        return None
    return value if isinstance(value, dict) else None
