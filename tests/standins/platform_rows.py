"""Stand-in for the platform's store of rows."""

import base64
import json
import threading
import time

from tests.standins.statuses import BAD_REQUEST, FAILED, GONE, OK, UNAVAILABLE

__all__ = ["Rows"]

ROWS_PER_PAGE = 500
PARTS_PER_PAGE = 1000
ENTRIES_PER_TRANSACTION = 100


class Rows:
    """Store rows in memory with a common version counter and a change history."""

    def __init__(self):
        self.rows = {}
        self.version = 0
        self.history = []
        self.oldest = 0
        self.is_down = False
        # Number of transactions that are applied but whose answer is lost.
        self.answers_to_lose = 0
        self.transactions = 0
        self.changed = threading.Condition()

    def transact(self, body):
        entries = sum(len(body[name]) for name in ("expected_rev", "writes", "remove"))
        if entries > ENTRIES_PER_TRANSACTION:
            return BAD_REQUEST, {}
        with self.changed:
            self.transactions += 1
            failed = [
                one for one in body["expected_rev"] if self._version(one) != one["ver"]
            ]
            if failed:
                rows = [self.rows.get(_key(one)) for one in body["expected_rev"]]
                return FAILED, {"rows": [row for row in rows if row]}
            self.version += 1
            for one in body["writes"]:
                self._put({**one, "ver": self.version})
            for one in body["remove"]:
                if self.rows.pop(_key(one), None):
                    gone = {"value": "", "deleted": True, "ver": self.version}
                    self.history.append({**one, **gone})
            self.changed.notify_all()
            return OK, {"ver": self.version, "now_ms": 0}

    def _put(self, row):
        self.rows[_key(row)] = row
        self.history.append(row)

    def _version(self, one):
        row = self.rows.get(_key(one))
        return row["ver"] if row else 0

    def get(self, query):
        limit = min(int(query.get("limit", ROWS_PER_PAGE)), ROWS_PER_PAGE)
        with self.changed:
            found = [
                row
                for (table, part, key), row in self.rows.items()
                if table == query["table"]
                and part == query["part"]
                and key >= query.get("from", "")
                and ("to" not in query or key < query["to"])
            ]
            found.sort(key=lambda row: row["key"])
            body = {"rows": found[:limit], "more_pages": len(found) > limit}
            return OK, {**body, "ver": self.version, "now_ms": 0}

    def parts(self, query):
        with self.changed:
            found = {part for table, part, _ in self.rows if table == query["table"]}
        found = sorted(part for part in found if part > query.get("after", ""))
        return OK, {"parts": found[:PARTS_PER_PAGE]}

    def feed(self, query):
        after, table = int(query["after"]), query["table"]
        deadline = time.monotonic() + int(query["wait_ms"]) / 1000
        with self.changed:
            while not self.is_down:
                if after < self.oldest:
                    return GONE, {}
                rows = [
                    row
                    for row in self.history
                    if row["table"] == table and row["ver"] > after
                ]
                rest = deadline - time.monotonic()
                if rows or rest <= 0:
                    return OK, {"rows": rows, "ver": self.version, "now_ms": 0}
                self.changed.wait(rest)
        return UNAVAILABLE, {}

    def discard_history(self):
        with self.changed:
            self.history = []
            self.oldest = self.version

    def write(self, table, part, key, value):
        """Write a row without conditions, as the operator or a worker does."""
        encoded = base64.b64encode(json.dumps(value).encode()).decode()
        row = {"table": table, "part": part, "key": key, "value": encoded}
        self.transact({"expected_rev": [], "writes": [row], "remove": []})

    def remove(self, table, part, key):
        row = {"table": table, "part": part, "key": key}
        self.transact({"expected_rev": [], "writes": [], "remove": [row]})


def _key(one):
    return (one["table"], one["part"], one["key"])
