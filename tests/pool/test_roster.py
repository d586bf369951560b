"""The recorded workers of a pool, for a successor whose list is incomplete."""

from papayapick.clients.rows import StoredRow
from papayapick.pool.records.journal import PROGRESS_TABLE
from tests.pool.owners import (
    owner_of,
    register,
)
from tests.pool.standins import Host

WORKERS = [f"w{number}" for number in range(1, 80)]


def _record_roster(host, owner):
    """Write the changed rows of an owner's roster to the store, as a commit does."""
    kept = host.rows.setdefault((PROGRESS_TABLE, "pool"), [])
    for write in owner.roster.take_changed():
        kept[:] = [row for row in kept if row.key != write.key]
        kept.append(StoredRow(write.table, write.partition, write.key, write.value, 1))


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
