"""What callers are told of a job that is over: nothing before it is stored."""

import pytest

from papayapick.jobs.state import JobStatus
from tests.pool.standins import Replay

SECONDS = 0.8


@pytest.fixture
def load():
    load = Replay(workers=1, length=SECONDS)
    load.hand_in(tasks=1)
    return load


@pytest.mark.parametrize("is_store_away", [False, True])
def test_completed_job_is_told_only_when_it_is_stored(load, is_store_away):
    """The store is away; a job is done, told as completed, and runs again.

    Its end stood in the list of its worker only. All hosts lost power before the store
    was back, and the worker left for good: the next owner knew of no end, and a caller
    who had read "completed" was charged twice.
    """
    load.run(2.0)
    (job,) = load.owner.book.jobs()
    assert job.status == JobStatus.COMPLETED
    if is_store_away:
        load.owner.recording.note_failure()
        assert load.owner.recording.is_announced
    assert load.owner.news.all_states() == {job.identifier: JobStatus.RUNNING}
    assert load.owner.news.take() == {job.identifier: JobStatus.RUNNING}
    job.durable_status = JobStatus.COMPLETED
    load.owner.book.status_changes.add(job.identifier)
    assert load.owner.news.take() == {job.identifier: JobStatus.COMPLETED}


@pytest.mark.parametrize("status", [JobStatus.FAILED, JobStatus.CANCELLED])
def test_other_ends_are_told_only_when_they_are_stored(load, status):
    load.owner.recording.note_failure()
    (job,) = load.owner.book.jobs()
    load.owner.book.finish(job, status, load.now)
    assert load.owner.news.take() == {job.identifier: JobStatus.RUNNING}
