"""The recorded workers of a pool, for a successor whose list is incomplete."""

import pytest

from papayapick.clients.rows import StoredRow
from papayapick.pool.records.journal import PROGRESS_TABLE
from papayapick.pool.takeover.reconciliation import PREDECESSOR_LEASE_SECONDS
from tests.pool.owners import (
    host_with_two_workers,
    job,
    owner_of,
    place,
    register,
    report,
    started_record,
    store_job,
)
from tests.pool.standins import Host

WORKERS = [f"w{number}" for number in range(1, 80)]


def _record_roster(host, owner):
    """Write the changed rows of an owner's roster to the store, as a commit does."""
    kept = host.rows.setdefault((PROGRESS_TABLE, "pool"), [])
    for write in owner.roster.take_changed():
        kept[:] = [row for row in kept if row.key != write.key]
        kept.append(StoredRow(write.table, write.partition, write.key, write.value, 1))


def _move(host, worker, address, born):
    """Replace the entry of a worker by one of its next life, at another address."""
    rows = host.rows[("servers", "")]
    (entry,) = [row for row in rows if row.key == worker]
    rows.remove(entry)
    changed = {**entry.value, "address": address, "born": born}
    rows.append(StoredRow("servers", "", worker, changed, 2))
    return rows[-1]


def test_worker_that_joined_while_there_was_no_owner_is_recorded():
    """Guards against a task that runs twice on a worker that a successor doesn't know.

    The worker joins between two owners. Later its entry lapses while the store is away,
    and all hosts restart: only the record tells the next owner to wait for it.
    """
    host = Host()
    for worker in WORKERS[:-1]:
        register(host, worker)
    _record_roster(host, owner_of(host))
    register(host, WORKERS[-1])
    _record_roster(host, owner_of(host))
    host.rows[("servers", "")] = []
    assert set(owner_of(host).links_by_worker) == set(WORKERS)


def test_owner_reaches_a_worker_that_restarted_at_another_address():
    """Guards against a worker that stays unused, since its old address is called."""
    host = host_with_two_workers()
    owner = owner_of(host)
    report(owner, "w1")
    owner.store_sync.note_worker_rows([_move(host, "w1", "w1-moved:2", 2)])
    link = owner.links_by_worker["w1"]
    assert link.registration.address == "w1-moved:2"
    assert link.client._base == "http://w1-moved:2"


def test_new_address_of_a_worker_is_recorded():
    """Guards against a successor that calls an address which another worker has."""
    host = host_with_two_workers()
    owner = owner_of(host)
    _record_roster(host, owner)
    owner.store_sync.note_worker_rows([_move(host, "w1", "w1-moved:2", 2)])
    _record_roster(host, owner)
    host.rows[("servers", "")] = []
    link = owner_of(host).links_by_worker["w1"]
    assert link.registration.address == "w1-moved:2"


@pytest.mark.parametrize(("is_listed", "is_placed"), [(True, True), (False, False)])
def test_other_worker_at_a_recorded_address_does_not_end_the_wait(is_listed, is_placed):
    """Guards against a second run, as a worker has moved and its record is older.

    Its entry has lapsed, and starts were sent without records, so that the recorded
    address may be one that the worker has left.
    """
    host = host_with_two_workers()
    _record_roster(host, owner_of(host))
    store_job(host, job(), started_record("w2"))
    if not is_listed:
        host.rows[("servers", "")].pop()
    owner = owner_of(host, is_journal_exact=False)
    report(owner, "w1")
    owner.report_handler.note_restart(owner.links_by_worker["w2"], None)
    assert bool(place(owner)) == is_placed
    host.clock.advance(PREDECESSOR_LEASE_SECONDS + 0.1)
    owner.tick(host.clock.monotonic())
    assert is_placed or [run.worker for run in place(owner)] == ["w1"]
