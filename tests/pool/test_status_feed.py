"""Final statuses are visible to callers only once they are durable."""

import pytest

from papayapick.jobs.state import JobStatus
from tests.pool.standins import PoolSimulation

SECONDS = 0.8


@pytest.fixture
def load():
    load = PoolSimulation(workers=1, length=SECONDS)
    load.submit_job(tasks=1)
    return load


@pytest.mark.parametrize("is_store_unavailable", [False, True])
def test_completed_status_is_visible_only_when_durable(load, is_store_unavailable):
    """Guards against a job that runs again after a caller has read "completed".

    While the store is unavailable, only the worker lists the end of the job. If all
    hosts lose power and the worker is removed, the next owner knows of no end, and the
    caller is charged twice.
    """
    load.run(2.0)
    (job,) = load.owner.job_registry.jobs()
    assert job.status == JobStatus.COMPLETED
    if is_store_unavailable:
        load.owner.recording.note_failure()
        assert load.owner.recording.is_announced
    assert load.owner.status_feed.all_states() == {job.identifier: JobStatus.RUNNING}
    assert load.owner.status_feed.take_changes() == {job.identifier: JobStatus.RUNNING}
    job.durable_status = JobStatus.COMPLETED
    load.owner.job_registry.status_changes.add(job.identifier)
    assert load.owner.status_feed.take_changes() == {
        job.identifier: JobStatus.COMPLETED
    }


@pytest.mark.parametrize("status", [JobStatus.FAILED, JobStatus.CANCELLED])
def test_other_final_statuses_are_visible_only_when_durable(load, status):
    load.owner.recording.note_failure()
    (job,) = load.owner.job_registry.jobs()
    load.owner.job_registry.finish(job, status, load.now)
    assert load.owner.status_feed.take_changes() == {job.identifier: JobStatus.RUNNING}
