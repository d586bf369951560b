"""Knowing all pools that hold jobs of a queue, and finding its jobs there."""

import threading
from types import SimpleNamespace

import pytest

from papayapick.clients.exceptions import ConditionFailed, StoreRefused
from papayapick.clients.rows import StoredRow
from papayapick.clock import ManualClock
from papayapick.entry.callers.acceptance import Acceptance
from papayapick.entry.callers.job_states import JobStateCache
from papayapick.entry.callers.queue_pools import QUEUES_PARTITION, QueuePools
from papayapick.entry.callers.writers import GroupWriter
from papayapick.entry.configuration.follower import ConfigurationWatcher
from papayapick.entry.exceptions import (
    AcceptanceUnknown,
    JobUnknown,
    NotAccepted,
    StateUnknown,
)
from papayapick.executors import ElasticExecutor
from papayapick.jobs import JobDocument, Queue, Step
from papayapick.ledger import Amounts
from papayapick.pool.records.journal import CANCEL_SUFFIX

ID, OTHER_ID = "5c0e7a21d94b36f8", "5c0e7a21d94b36f0"
OLD, NEW = "pool-1", "pool-2"


def document_of(pool, identifier=ID):
    return JobDocument(identifier, "counts", pool, "t", [Step(1, Amounts(1, 1))], 0.0)


def queue_of(pool, name="counts"):
    return Queue(name, "h", "/c/", pool, 0, 2, 1.5, 0.5, 3.0, False, None)


def configuration_of(pool):
    return SimpleNamespace(queues={"counts": queue_of(pool)})


class Store:
    """Hold rows, and count the calls."""

    def __init__(self):
        self.rows = {}
        self.calls = []
        self.is_away = False
        self._version = 0

    def read(self, table, partition, first, end, limit):
        self.calls.append("read")
        if self.is_away:
            raise StoreRefused()
        found = [
            row
            for (one, part, key), row in sorted(self.rows.items())
            if (one, part) == (table, partition)
            and key >= first
            and (not end or key < end)
        ]
        return found[:limit]

    def transact(self, expectations, writes):
        self.calls.append("write")
        if self.is_away:
            raise StoreRefused()
        for one in expectations:
            row = self.rows.get((one.table, one.partition, one.key))
            if (row.version if row else 0) != one.version:
                raise ConditionFailed([row] if row else [])
        self._version += 1
        for one in writes:
            place = (one.table, one.partition, one.key)
            self.rows[place] = StoredRow(*place, one.value, self._version)

    def partitions_of(self, key):
        return [part for _, part, one in self.rows if one == key]


class Host:
    """Accept jobs of one queue at one entry host."""

    def __init__(self, store, has_read_rows=True):
        clock = ManualClock(100.0)
        executor = ElasticExecutor(8, "test")
        self.store = store
        writer = GroupWriter(store, clock, threading.Event(), executor)
        self.pools = QueuePools(store, writer)
        if has_read_rows:
            self.follow()
            self.pools.note_complete()
        states = JobStateCache(clock)
        self.acceptance = Acceptance(store, writer, states, queue_pools=self.pools)

    def follow(self):
        """Receive the rows of queues, as by the feed."""
        for (_, part, _), row in list(self.store.rows.items()):
            if part == QUEUES_PARTITION:
                self.pools.note_row(row)

    def submit(self, pool, identifier=ID, version=1):
        document = document_of(pool, identifier)
        return self.acceptance.submit(document, configuration=version)


@pytest.fixture
def store():
    return Store()


def test_id_sent_again_after_its_queue_moved_is_the_same_job(store):
    """Guards against a second run by a host that never saw the queue's former pool."""
    assert Host(store).submit(OLD)
    assert Host(store).submit(NEW) is False
    assert Host(store, has_read_rows=False).submit(NEW) is False
    assert store.partitions_of(ID) == [f"{OLD}/0"]


def test_id_sent_again_to_a_host_with_an_older_configuration_is_the_same_job(store):
    """Guards against a second run where a version isn't in force everywhere yet."""
    late = Host(store)
    late.submit(OLD, OTHER_ID)
    assert Host(store).submit(NEW)
    late.follow()
    assert late.submit(OLD) is False
    assert store.partitions_of(ID) == [f"{NEW}/0"]


def test_queue_that_moved_twice_and_back_is_known_by_all_its_pools(store):
    for pool, identifier in ((OLD, ID), (NEW, OTHER_ID), ("pool-3", "0" * 16)):
        assert Host(store).submit(pool, identifier)
    host = Host(store)
    assert not any(host.submit(OLD, one) for one in (ID, OTHER_ID, "0" * 16))


@pytest.mark.parametrize("has_read_rows", [True, False])
def test_job_is_found_and_cancelled_in_its_former_pool(store, has_read_rows):
    """Guards against 410 for a job that runs, and against cancels without effect."""
    Host(store).submit(OLD)
    host = Host(store, has_read_rows)
    assert host.acceptance.status(queue_of(NEW), ID) == "waiting"
    assert Host(store, has_read_rows).acceptance.cancel(queue_of(NEW), ID)
    assert store.partitions_of(ID + CANCEL_SUFFIX) == [f"{OLD}/0"]
    with pytest.raises(JobUnknown):
        host.acceptance.status(queue_of(NEW), OTHER_ID)


def test_progress_is_read_in_the_pool_of_the_job(store):
    Host(store).submit(OLD)
    store.rows["progress", OLD, ID] = StoredRow(
        "progress", OLD, ID, {"status": "completed"}, 9
    )
    assert Host(store).acceptance.status(queue_of(NEW), ID) == "completed"


def test_queue_with_one_pool_needs_no_further_calls(store):
    """Guards against billed calls for each job because a few queues have moved."""
    Host(store).submit(OLD)
    host = Host(store)
    store.calls.clear()
    assert host.submit(OLD, OTHER_ID)
    assert store.calls == ["write"]
    store.calls.clear()
    assert host.acceptance.status(queue_of(OLD), OTHER_ID) == "waiting"
    assert store.calls == []
    # Only before a caller is told that there is no such job, the pools are read anew.
    with pytest.raises(JobUnknown):
        host.acceptance.status(queue_of(OLD), "1" * 16)
    assert store.calls == ["read", "read"]


def test_job_is_not_refused_as_new_while_its_former_pool_cannot_be_read(store):
    """Guards against "never runs" for a job that was stored in the former pool."""
    Host(store).submit(OLD)
    host = Host(store)
    host.submit(NEW, OTHER_ID)
    store.is_away = True
    with pytest.raises(AcceptanceUnknown):
        host.submit(NEW)
    with pytest.raises(StateUnknown):
        host.acceptance.status(queue_of(NEW), ID)


def test_job_is_not_stored_before_the_pool_is_recorded(store):
    """Guards against jobs in a pool that no later host knows of."""
    host = Host(store)
    store.is_away = True
    with pytest.raises(NotAccepted):
        host.submit(OLD)
    store.is_away = False
    assert host.submit(OLD)


def test_changed_pool_is_recorded_before_its_version_is_in_force(store):
    host = Host(store)
    host.pools.note_configuration(configuration_of(OLD))
    pauses = []
    host.pools.prepare(configuration_of(NEW), pauses.append)
    # No job of the queue was accepted yet.
    assert (pauses, store.calls) == ([], [])
    host.submit(OLD)
    host.follow()
    host.pools.prepare(configuration_of(NEW), pauses.append)
    place = ("cell", QUEUES_PARTITION, "counts")
    assert store.rows[place].value == {"pools": [OLD, NEW]}
    assert len(pauses) == 1
    host.pools.note_configuration(configuration_of(NEW))
    host.pools.prepare(configuration_of(NEW), pauses.append)
    assert len(pauses) == 1


def test_queue_that_moved_back_holds_up_one_version_only(store):
    host = Host(store)
    host.submit(OLD)
    host.follow()
    pauses = []
    for pool in (OLD, NEW, OLD, OLD):
        host.pools.prepare(configuration_of(pool), pauses.append)
        host.pools.note_configuration(configuration_of(pool))
    assert len(pauses) == 2


def test_older_version_does_not_replace_a_newer_one_that_overtook_it():
    """Guards against a version that goes back while changed pools are recorded."""

    def overtake(configuration):
        if configuration.version == 2:
            watcher._apply(version(3))

    def version(number):
        return {"version": number, "routes": [], "services": [], "limits": limits}

    limits = {"max_body_bytes": 1}
    host = SimpleNamespace(
        clock=ManualClock(100.0),
        settings=SimpleNamespace(has_teams=False),
        prepare_configuration=overtake,
        note_configuration=lambda configuration: None,
    )
    watcher = ConfigurationWatcher(host)
    watcher._apply(version(1))
    watcher._apply(version(2))
    assert watcher.version == 3


def test_row_of_a_pool_with_the_name_of_the_partition_is_passed_over(store):
    """Guards against hosts that end because the operator's pool is called "queues"."""
    host = Host(store)
    value = {"owner": "h1", "epoch": 1, "address": "a:1"}
    host.pools.note_row(StoredRow("cell", QUEUES_PARTITION, "owner", value, 1))
    assert host.pools.others("owner", OLD) == []


def test_version_is_not_held_up_by_a_store_that_is_away(store):
    """Guards against a version that does not come into force in an outage."""
    host = Host(store)
    host.pools.note_configuration(configuration_of(OLD))
    host.submit(OLD)
    store.is_away = True
    pauses = []
    host.pools.prepare(configuration_of(NEW), pauses.append)
    assert sum(pauses) < 0.5
    store.is_away = False
    assert host.submit(NEW) is False


def test_jobs_of_an_earlier_release_are_found_by_a_host_that_saw_their_pool(store):
    host = Host(store)
    host.pools.note_configuration(configuration_of(OLD))
    host.pools.note_configuration(configuration_of(NEW))
    store.rows["jobs", f"{OLD}/0", ID] = StoredRow("jobs", f"{OLD}/0", ID, {}, 1)
    assert host.submit(NEW) is False
