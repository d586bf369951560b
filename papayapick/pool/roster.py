"""Keep the workers of a pool on record, for whoever takes the pool over.

The platform's list forgets workers while the store is away, and gets them back
within two seconds of its return. A new owner that went by the list alone would
think that nothing runs on the others, and start their tasks again.
"""

import zlib

from papayapick.clients.rows import RowWrite
from papayapick.ledger.amounts import Amounts
from papayapick.pool.reports import Registration

__all__ = ["WorkerRoster"]

# About 120 bytes a worker; 5,900 of them in 32 rows are 22 KB each, and a row may
# have 64 KB.
_ROWS = 32
_PREFIX = "workers-"


class WorkerRoster:
    """Hold the registrations to keep, in rows beside the records of progress.

    Parameters
    ----------
    table, partition : str
    """

    __slots__ = ("_changed", "_partition", "_rows", "_table")

    def __init__(self, table, partition):
        self._table = table
        self._partition = partition
        self._rows = {}
        self._changed = set()

    def add(self, registration):
        """Keep a worker."""
        row = _row_of(registration.worker)
        self._rows.setdefault(row, {})[registration.worker] = _record(registration)
        self._changed.add(row)

    def remove(self, worker):
        """Drop a worker that is gone."""
        row = _row_of(worker)
        if self._rows.get(row, {}).pop(worker, None) is not None:
            self._changed.add(row)

    def take_changed(self):
        """Return the writes of the rows that have changed."""
        rows, self._changed = self._changed, set()
        return [
            RowWrite(self._table, self._partition, row, dict(self._rows[row]))
            for row in sorted(rows)
        ]

    def requeue(self, writes):
        """Keep writes for the next commit."""
        self._changed.update(write.key for write in writes)

    def restore(self, rows):
        """Read the rows that an earlier owner has kept.

        Parameters
        ----------
        rows : list of StoredRow

        Returns
        -------
        list of Registration
            Marked as leaving: the list has not confirmed them yet.
        """
        found = []
        for row in rows:
            if row.key.startswith(_PREFIX) and row.value is not None:
                self._rows[row.key] = dict(row.value)
                found += [_registration(*one) for one in row.value.items()]
        return found


def _row_of(worker):
    return f"{_PREFIX}{zlib.crc32(worker.encode()) % _ROWS:02}"


def _record(registration):
    return {
        "pool": registration.pool,
        "address": registration.address,
        "zone": registration.zone,
        "capacity": registration.capacity.as_mapping(),
        "labels": list(registration.labels),
    }


def _registration(worker, record):
    return Registration(
        worker=worker,
        pool=record["pool"],
        address=record["address"],
        zone=record["zone"],
        capacity=Amounts.from_mapping(record["capacity"]),
        labels=tuple(record["labels"]),
        is_leaving=True,
    )
