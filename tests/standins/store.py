"""In-memory stand-ins for the transactional table and the object store."""

import threading

from papayapick.clients import (
    ObjectMissing,
    ObjectsUnavailable,
    TableUnavailable,
    TransactionConflict,
)
from papayapick.clients.types import Row
from tests.standins.board import FaultBoard

TABLE, OBJECTS = "table", "objects"


class MemoryTable:
    def __init__(self, board=None):
        self.board = board or FaultBoard()
        self.rows = {}
        self.reads = self.writes = 0
        self._lock = threading.Lock()

    def read(self, key):
        self._enter()
        with self._lock:
            self.reads += 1
            found = self.rows.get(key)
        return self._leave(found)

    def scan(self, prefix):
        self._enter()
        with self._lock:
            self.reads += 1
            keys = sorted(key for key in self.rows if key.startswith(prefix))
            found = [self.rows[key] for key in keys]
        return self._leave(found)

    def transact(self, conditions, writes):
        self._enter()
        with self._lock:
            for condition in conditions:
                if self._version(condition.key) != condition.version:
                    raise TransactionConflict(key=condition.key)
            self.writes += 1
            for write in writes:
                self._write(write)
        self._leave(None)

    def _write(self, write):
        if write.value is None:
            self.rows.pop(write.key, None)
        else:
            version = self._version(write.key) + 1
            self.rows[write.key] = Row(write.key, write.value, version)

    def _version(self, key):
        row = self.rows.get(key)
        return row.version if row else 0

    def _enter(self):
        self.board.delay(TABLE)
        if self.board.get(TABLE, "down") or self.board.get(TABLE, "fail"):
            raise TableUnavailable()

    def _leave(self, found):
        if self.board.take(TABLE, "lose_answers"):
            raise TableUnavailable()
        return found


class MemoryObjects:
    def __init__(self, board=None):
        self.board = board or FaultBoard()
        self.objects = {}

    def put(self, name, data):
        self._enter()
        self.objects[name] = data

    def get(self, name):
        self._enter()
        if name not in self.objects:
            raise ObjectMissing(name=name)
        return self.objects[name]

    def _enter(self):
        self.board.delay(OBJECTS)
        if self.board.get(OBJECTS, "down") or self.board.get(OBJECTS, "fail"):
            raise ObjectsUnavailable()
