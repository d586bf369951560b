"""Jobs that an owner reads again, after it could not read them or had removed them."""

import pytest

from papayapick.clients.exceptions import TableUnavailable
from papayapick.pool.records.journal import JOBS_TABLE
from tests.pool.owners import (
    ID,
    KEY,
    follow_jobs,
    host_with_two_workers,
    job,
    owner_of,
    owner_with,
    started_record,
    store_job,
)


def _owner_with_unreadable_record():
    host = host_with_two_workers()
    store_job(host, job(), {"status": "running", "occurrences": {"0": "?"}})
    owner = owner_of(host)
    assert ID not in owner.job_registry
    host.clock.advance(0.1)
    return host, owner


@pytest.mark.parametrize("is_whole", [True, False])
def test_unreadable_job_does_not_start_from_nothing(is_whole):
    """Guards against a second run of a job whose record can't be read."""
    host, owner = _owner_with_unreadable_record()
    (row,) = host.rows[JOBS_TABLE, f"pool/{int(ID, 16) % 8}"]
    follow_jobs(host, owner, [row], is_whole)
    assert ID not in owner.job_registry


@pytest.mark.parametrize("is_whole", [True, False])
def test_repaired_job_goes_on_from_its_record(is_whole):
    """Guards against a second run of a task that the repaired record has as done."""
    host, owner = _owner_with_unreadable_record()
    host.rows["progress", "pool"].clear()
    host.put("progress", "pool", ID, started_record("w1"))
    (row,) = host.rows[JOBS_TABLE, f"pool/{int(ID, 16) % 8}"]
    follow_jobs(host, owner, [row], is_whole)
    assert owner.job_registry.step(KEY).tasks[0].attempt == 1


def test_whole_read_of_the_jobs_goes_by_their_records():
    """Guards against a job that is over and runs again.

    It was removed while all jobs were read anew, so that the read has its row.
    """
    host, owner = owner_with(job())
    host.put("progress", "pool", ID, {"status": "completed"})
    owner.job_registry.remove(ID)
    follow_jobs(host, owner, None, is_whole=True)
    assert owner.job_registry.get(ID).is_final


def test_repaired_job_waits_while_its_record_can_not_be_read(monkeypatch):
    """Guards against a job that starts from nothing while its record is away."""
    host, owner = _owner_with_unreadable_record()
    (row,) = host.rows[JOBS_TABLE, f"pool/{int(ID, 16) % 8}"]

    def read_all(table, partition):
        raise TableUnavailable

    monkeypatch.setattr(host, "read_all", read_all, raising=False)
    follow_jobs(host, owner, [row])
    assert ID not in owner.job_registry
