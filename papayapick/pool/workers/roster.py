"""Record of the workers of a pool, for the next owner of the pool.

The platform's list of workers loses entries while the store is unavailable, and regains
them within two seconds of its recovery. A new owner that relied on the list alone would
assume that nothing runs on the missing workers, and start their tasks again.
"""

import zlib

from papayapick.clients.addresses import is_address, is_header_text
from papayapick.clients.rows import RowWrite
from papayapick.ledger.amounts import Amounts
from papayapick.numbers import NumberInvalid, whole_number
from papayapick.pool.workers.events import RECORDED_WORKER_LEFT_OUT
from papayapick.pool.workers.reports import Registration

__all__ = ["WorkerRoster"]

# With about 200 bytes per worker, 5,900 workers in 32 rows take 36 KB per row; the
# limit of a row is 64 KB.
_ROWS = 32
_PREFIX = "workers-"
_AMOUNTS = ("processors", "memory", "accelerators")


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
            platform's list has confirmed them. Without records of workers that can't
            have been called: no task runs there, and they are removed from their rows.
        """
        found = []
        for row in rows:
            if row.key.startswith(_PREFIX) and isinstance(row.value, dict):
                found += self._restore_row(row)
        return found

    def _restore_row(self, row):
        found = [
            _registration(worker, record)
            for worker, record in row.value.items()
            if _is_callable(worker, record)
        ]
        kept = {one.worker: row.value[one.worker] for one in found}
        for worker in sorted(row.value.keys() - kept.keys()):
            RECORDED_WORKER_LEFT_OUT.write(worker=worker, pool=self._partition)
            self._changed.add(row.key)
        # Entries of this owner's list are newer than those recorded.
        self._rows[row.key] = {**kept, **self._rows.get(row.key, {})}
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


def _is_callable(worker, record):
    """Return whether an owner can have called a recorded worker.

    Guards against a pool that no host can own any more: an earlier version recorded
    each entry of the list of workers, also one with an address that no socket takes,
    and its own hosts may do so during a rolling update.
    """
    address = record.get("address") if isinstance(record, dict) else None
    is_called = isinstance(address, str) and is_address(address)
    return is_called and is_header_text(worker)


def _registration(worker, record):
    return Registration(
        worker=worker,
        pool=_text(record.get("pool")),
        address=record["address"],
        zone=_text(record.get("zone")),
        capacity=_capacity(record.get("capacity")),
        labels=_labels(record.get("labels")),
        is_leaving=True,
        born=_born(record.get("born")),
    )


def _text(value):
    return value if isinstance(value, str) else ""


def _labels(values):
    found = values if isinstance(values, list) else []
    return tuple(value for value in found if isinstance(value, str))


def _born(value):
    """Return a recorded start time, or None, which any report of the worker follows."""
    try:
        return whole_number(value)
    except NumberInvalid:
        return None


def _capacity(record):
    """Return a recorded capacity, or none at all if it can't be used.

    A task may run on the worker all the same, and is waited for.
    """
    try:
        amounts = [whole_number(record.get(name, 0), least=0) for name in _AMOUNTS]
    except (AttributeError, NumberInvalid):
        return Amounts()
    return Amounts(*amounts)
