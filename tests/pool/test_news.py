"""What callers are told of a job while the store takes no records."""

import pytest

from papayapick.jobs.state import JobStatus
from papayapick.pool.journal import JOBS_TABLE
from tests.pool.standins import Replay

SECONDS = 0.8


@pytest.fixture
def load():
    load = Replay(workers=1, length=SECONDS)
    load.hand_in(tasks=1)
    return load


def completed(load):
    """Let the job be done, and return it."""
    load.run(2.0)
    (job,) = load.owner.book.jobs()
    assert job.status == JobStatus.COMPLETED
    return job


def test_completed_job_is_told_while_the_store_takes_no_records(load):
    """The store is away for five seconds; a count ends in the first of them.

    Its caller was told "running" until the store was back, and the count was late,
    though its worker had listed the end and every host could have told it.
    """
    job = completed(load)
    load.owner.recording.note_failure()
    assert load.owner.news.take() == {job.identifier: JobStatus.COMPLETED}


def test_completed_job_waits_for_its_record_while_the_store_takes_them(load):
    job = completed(load)
    assert load.owner.news.take() == {job.identifier: JobStatus.RUNNING}


def test_job_completed_before_the_failure_was_seen_is_told_after_it(load):
    job = completed(load)
    load.owner.news.take()
    load.owner.news.tell_completed([job])
    assert load.owner.news.take() == {}
    load.owner.recording.note_failure()
    load.owner.news.tell_completed([job])
    assert load.owner.news.take() == {job.identifier: JobStatus.COMPLETED}


def test_failed_job_is_told_only_when_it_is_stored(load):
    """A failure may be counted anew by a successor; told too early, it was wrong."""
    load.owner.recording.note_failure()
    (job,) = load.owner.book.jobs()
    load.owner.book.finish(job, JobStatus.FAILED, load.now)
    assert load.owner.news.take() == {job.identifier: JobStatus.RUNNING}


def test_job_that_was_told_as_completed_never_runs_again():
    """A job was told as completed; then its owner and the worker of its end die.

    The record of the end was never written, and its list is gone: the next owner
    would have run the task a second time.
    """
    load = Replay(workers=1, length=SECONDS)
    host, owner = load.host, load.owner
    load.hand_in(tasks=1)
    (job,) = owner.book.jobs()
    row = job.document.as_record()
    host.put(JOBS_TABLE, "pool/0", job.identifier, row)
    host.board.note({job.identifier: JobStatus.COMPLETED})
    owner.book.forget(job.identifier)
    owner.book._open_steps.clear()
    owner.sources._note_job_rows(host.rows[(JOBS_TABLE, "pool/0")])
    (job,) = owner.book.jobs()
    assert job.status == JobStatus.COMPLETED
    load.run(1.0)
    assert not load.workers["w0"].runs and not load.workers["w0"].ends
    assert job.identifier in owner.book.changed
