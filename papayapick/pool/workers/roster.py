"""Record of the workers of a pool, for the next owner of the pool.

The platform's list of workers loses entries while the store is unavailable, and regains
them within two seconds of its recovery. A new owner that relied on the list alone would
assume that nothing runs on the missing workers, and start their tasks again.
"""

import zlib

from papayapick.clients.rows import RowWrite
from papayapick.ledger.amounts import Amounts
from papayapick.pool.workers.reports import Registration

__all__ = ["WorkerRoster"]

# With about 200 bytes per worker, 5,900 workers in 32 rows take 36 KB per row; the
# limit of a row is 64 KB.
_ROWS = 32
_PREFIX = "workers-"


class WorkerRoster:
    """Hold the registrations of a pool's workers, grouped into rows of the store.

    Parameters
    ----------
    table, partition : str
        Where the rows are stored, beside the records of progress.
    """

    __slots__ = ("_changed", "_partition", "_rows", "_table")

    def __init__(self, table, partition):
        self._table = table
        self._partition = partition
        self._rows = {}
        self._changed = set()

    def add(self, registration):
        """Add a worker, or update its registration."""
        row = _row_key(registration.worker)
        self._rows.setdefault(row, {})[registration.worker] = _record(registration)
        self._changed.add(row)

    def remove(self, worker):
        """Remove a worker."""
        row = _row_key(worker)
        if self._rows.get(row, {}).pop(worker, None) is not None:
            self._changed.add(row)

    def take_changed(self):
        """Return writes of the rows that changed since the last call.

        Returns
        -------
        list of RowWrite
        """
        rows, self._changed = self._changed, set()
        return [
            RowWrite(self._table, self._partition, row, dict(self._rows[row]))
            for row in sorted(rows)
        ]

    def requeue(self, writes):
        """Return writes that could not be committed to the next ``take_changed``."""
        self._changed.update(write.key for write in writes)

    def restore(self, rows):
        """Load the workers that earlier owners recorded.

        Parameters
        ----------
        rows : list of StoredRow
            All rows of the partition; rows of jobs are ignored.

        Returns
        -------
        list of Registration
            Marked as leaving, so that nothing is placed on these workers until the
            platform's list has confirmed them.
        """
        found = []
        for row in rows:
            if row.key.startswith(_PREFIX) and row.value is not None:
                # Entries of this owner's list are newer than those recorded.
                self._rows[row.key] = {**row.value, **self._rows.get(row.key, {})}
                found += [_registration(*one) for one in row.value.items()]
        return found


def _row_key(worker):
    return f"{_PREFIX}{zlib.crc32(worker.encode()) % _ROWS:02}"


def _record(registration):
    return {
        "pool": registration.pool,
        "address": registration.address,
        "zone": registration.zone,
        "capacity": registration.capacity.as_mapping(),
        "labels": list(registration.labels),
        "born": registration.born,
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
        born=record.get("born"),
    )
