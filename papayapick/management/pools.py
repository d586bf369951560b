"""Read pools and jobs of the users' platform from its store."""

import os
import socket

from papayapick.clients.http import HttpPool
from papayapick.entry.cell.peers import HOSTS_PARTITION
from papayapick.jobs.documents import JobDocument
from papayapick.jobs.state import JobStatus
from papayapick.jobs.stored_values import RecordInvalid
from papayapick.ownership.pools import CELL_TABLE, read_pool
from papayapick.platform.configuration import (
    CONFIGURATION_KEY,
    OPERATOR_TABLE,
    decode_configuration,
)
from papayapick.platform.registrations import WORKERS_TABLE, decode_registration
from papayapick.platform.settings import SETTINGS_VARIABLE, PlatformSettings
from papayapick.platform.store import Store
from papayapick.pool.records.journal import CANCEL_SUFFIX, JOBS_TABLE, PROGRESS_TABLE
from papayapick.pool.records.memory import LEARNED_PREFIX
from papayapick.pool.records.partitions import job_partition, job_partitions
from papayapick.pool.records.record_rows import read_records

__all__ = ["HostView", "JobView", "PoolsView", "StepView"]

_CALL_TIMEOUT_SECONDS = 2.0
_PROBE_TIMEOUT_SECONDS = 0.5


class HostView:
    """Hold one entry host: its registration, and whether it can be reached."""

    __slots__ = ("address", "is_reached", "name", "zone")

    def __init__(self, name, address, zone, is_reached):
        self.name = name
        self.address = address
        self.zone = zone
        self.is_reached = is_reached


class StepView:
    """Hold the progress of one step of one occurrence, as recorded.

    Parameters
    ----------
    occurrence, number, tasks, done : int
    places : dict of str to str
        Worker of each started task that is not done, by task.
    failures : dict of str to int
        Number of failures of each failed task, by task.
    """

    __slots__ = ("done", "failures", "number", "occurrence", "places", "tasks")

    def __init__(self, occurrence, number, tasks, done, places, failures):
        self.occurrence = occurrence
        self.number = number
        self.tasks = tasks
        self.done = done
        self.places = places
        self.failures = failures

    @property
    def has_begun(self):
        """Return whether any of its tasks was started."""
        return bool(self.done or self.places or self.failures)


class JobView:
    """Hold one job as recorded in the store.

    Parameters
    ----------
    document : JobDocument
    status : str
    is_cancelled : bool
    steps : list of StepView
    """

    __slots__ = ("document", "is_cancelled", "status", "steps")

    def __init__(self, document, status, is_cancelled, steps):
        self.document = document
        self.status = status
        self.is_cancelled = is_cancelled
        self.steps = steps

    @property
    def identifier(self):
        """Return the id that the caller chose."""
        return self.document.identifier

    @property
    def pool(self):
        """Return the name of its pool."""
        return self.document.pool

    @property
    def queue(self):
        """Return the name of its queue."""
        return self.document.queue

    @property
    def accepted_at(self):
        """Return when it was accepted, in Unix seconds."""
        return self.document.accepted_at


class PoolsView:
    """Read pools, hosts, workers and jobs from the store, without changing it.

    Parameters
    ----------
    store : Store
    has_teams : bool, optional
        Whether callers identify themselves by keys of teams.
    """

    __slots__ = ("_has_teams", "_store")

    def __init__(self, store, has_teams=False):
        self._store = store
        self._has_teams = has_teams

    @staticmethod
    def is_configured(environment=None):
        """Return whether the environment names the platform's settings file."""
        environment = os.environ if environment is None else environment
        return bool(environment.get(SETTINGS_VARIABLE))

    @classmethod
    def from_config(cls, environment=None):
        """Connect to the store that the platform's settings file names.

        Raises
        ------
        PlatformSettingsInvalid
        """
        settings = PlatformSettings.from_config(environment)
        store = Store(settings.store_address, HttpPool(_CALL_TIMEOUT_SECONDS))
        return cls(store, settings.has_teams)

    def configuration(self):
        """Return the operator's configuration, or None if the store has none.

        Raises
        ------
        TableUnavailable, BodyInvalid
        """
        page = self._store.read(OPERATOR_TABLE, "", CONFIGURATION_KEY, limit=1)
        for row in page.rows:
            if row.key == CONFIGURATION_KEY and row.value is not None:
                return decode_configuration(row.value, self._has_teams)
        return None

    def pools(self, configuration):
        """Return the rows of the pools that queues use, sorted by name."""
        return [read_pool(self._store, pool) for pool in sorted(configuration.pools)]

    def pool(self, name):
        """Return the row of one pool."""
        return read_pool(self._store, name)

    def hosts(self):
        """Return all entry hosts that have registered, as a list of HostView.

        The rows of removed hosts stay in the store, so such hosts are listed as not
        reached.
        """
        rows, _ = self._store.read_all(CELL_TABLE, HOSTS_PARTITION)
        return [
            HostView(
                row.key,
                f"{row.value['address']}:{row.value['port']}",
                row.value["zone"],
                _is_reached(row.value["address"], row.value["port"]),
            )
            for row in rows
            if row.value is not None
        ]

    def workers(self, pool):
        """Return the registrations of the workers of a pool, as a list."""
        rows, _ = self._store.read_all(WORKERS_TABLE, "")
        found = (decode_registration(row.key, row.value) for row in rows)
        return [one for one in found if one is not None and one.pool == pool]

    def unusable_workers(self):
        """Return the keys of the entries that name no worker, sorted.

        Another program wrote them, or they lack what a call needs; owners leave them
        out.
        """
        rows, _ = self._store.read_all(WORKERS_TABLE, "")
        return sorted(
            row.key
            for row in rows
            if row.value is not None and decode_registration(row.key, row.value) is None
        )

    def learned(self, pool, part):
        """Return the rows of what the owner of a pool has learned, as a list of dict.

        Parameters
        ----------
        pool : str
        part : str
            Name of the part of the owner's memory.
        """
        prefix = f"{LEARNED_PREFIX}{part}-"
        page = self._store.read(PROGRESS_TABLE, pool, prefix, prefix + "~")
        return [row.value for row in page.rows if row.value is not None]

    def jobs(self, configuration):
        """Yield all recorded jobs of the pools that queues use, as JobView."""
        for pool in sorted(configuration.pools):
            progress, _ = self._store.read_all(PROGRESS_TABLE, pool)
            records = read_records(progress)
            for partition in job_partitions(pool):
                rows, _ = self._store.read_all(JOBS_TABLE, partition)
                found = {row.key: row.value for row in rows if row.value is not None}
                for key in found:
                    if not key.endswith(CANCEL_SUFFIX):
                        document = _document(found[key])
                        is_cancelled = key + CANCEL_SUFFIX in found
                        yield _job_view(document, is_cancelled, records.get(key, {}))

    def job(self, identifier, pools):
        """Return a job, or None where no pool has it.

        Parameters
        ----------
        identifier : str
        pools : iterable of str
        """
        for pool in pools:
            rows = {
                row.key: row.value
                for row in self._store.read(
                    JOBS_TABLE,
                    job_partition(pool, identifier),
                    identifier,
                    identifier + "~",
                ).rows
            }
            if rows.get(identifier) is not None:
                document = _document(rows[identifier])
                is_cancelled = identifier + CANCEL_SUFFIX in rows
                return self._read_job(document, is_cancelled)
        return None

    def _read_job(self, document, is_cancelled):
        identifier, pool = document.identifier, document.pool
        page = self._store.read(PROGRESS_TABLE, pool, identifier, identifier + "~")
        record = read_records(page.rows).get(identifier, {})
        return _job_view(document, is_cancelled, record)


def _document(value):
    """Return the document of a stored job, without steps if it can't be used."""
    try:
        return JobDocument.from_record(value)
    except RecordInvalid:
        return JobDocument.from_record_of_ended(value)


def _job_view(document, is_cancelled, record):
    steps = [
        _decode_step(document, int(occurrence), number, step)
        for occurrence, steps in record.get("occurrences", {}).items()
        for number, step in enumerate(steps)
    ]
    status = record.get("status", JobStatus.WAITING)
    if status == JobStatus.WAITING and any(one.has_begun for one in steps):
        # A start is recorded before it is ordered, and its answer is not recorded.
        status = JobStatus.RUNNING
    return JobView(document, status, is_cancelled, steps)


def _decode_step(document, occurrence, number, record):
    tasks = document.steps[number].tasks
    done = int(record.get("done", "0"), 16).bit_count()
    failed = record.get("failed", {})
    failures = {index: len(attempts) for index, attempts in failed.items()}
    places = record.get("places", {})
    return StepView(occurrence, number, tasks, done, places, failures)


def _is_reached(address, port):
    try:
        socket.create_connection((address, port), _PROBE_TIMEOUT_SECONDS).close()
    except OSError:
        return False
    return True
