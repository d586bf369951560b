"""Ends and runs of jobs that an owner has not read, or could not read."""

import pytest

from papayapick.jobs import TaskKey
from papayapick.pool.records.journal import JOBS_TABLE
from papayapick.pool.workers import ends, report_handler
from tests.pool.owners import (
    ID,
    KEY,
    follow_jobs,
    host_with_two_workers,
    job,
    owner_of,
    owner_with,
    report,
    store_job,
    waiting_tasks,
)
from tests.pool.test_waits import RecordedEvents

OTHER = TaskKey("0" * 16, 0, 0, 0)


@pytest.fixture
def dropped(monkeypatch):
    events = RecordedEvents()
    monkeypatch.setattr(ends, "END_NOT_APPLIED", events)
    return events.found


@pytest.fixture
def found(monkeypatch):
    events = RecordedEvents()
    monkeypatch.setattr(report_handler, "RUN_FOUND", events)
    return events.found


def _owner_before_the_job(document=None):
    """Return an owner that has read its state, and a job stored just after that."""
    host = host_with_two_workers()
    owner = owner_of(host)
    store_job(host, document or job(tasks=2))
    host.clock.advance(0.1)
    return host, owner


def _bring_job(host, owner):
    """Let the feed bring the job, as it was stored."""
    rows = [
        row
        for (table, _), rows in host.rows.items()
        if table == JOBS_TABLE
        for row in rows
    ]
    follow_jobs(host, owner, rows)


def _stops(owner):
    return [
        args[1].name
        for step, args in owner.orders._stop_executor.tasks
        if step == owner.orders._stop
    ]


def test_end_that_comes_before_its_job_counts(dropped):
    """Guards against a task that runs again after its end was acknowledged."""
    host, owner = _owner_before_the_job()
    host.transact = lambda *args, **options: 1
    host.note_answer = lambda: None
    link = report(owner, "w1", ends=[(KEY, 1, "done")])
    while owner.journal.commit():
        pass
    assert link.acknowledged == 0
    _bring_job(host, owner)
    step = owner.job_registry.step(KEY)
    assert step.tasks[0].is_done
    assert step.waiting == {1}
    assert link.processed == 1
    assert dropped == []


def test_run_that_comes_before_its_job_goes_on(found):
    """Guards against a run that is stopped though its job is about to be read."""
    host, owner = _owner_before_the_job()
    report(owner, "w1", runs=[(KEY, 1)])
    report(owner, "w1", runs=[(KEY, 1)])
    assert _stops(owner) == []
    _bring_job(host, owner)
    assert _stops(owner) == []
    step = owner.job_registry.step(KEY)
    (run,) = step.tasks[0].runs
    assert run is owner.rooms.get("w1").runs[run.name]
    assert run.demand is not None
    assert step.waiting == {1}
    (line,) = found
    assert (line["is_needed"], line["reason"]) == (True, None)


def test_end_of_a_removed_job_is_acknowledged_once_all_jobs_are_read(dropped):
    """Guards against ends that fill the list of a worker for ever."""
    host, owner = owner_with(job())
    host.clock.advance(0.1)
    link = report(owner, "w1", ends=[(OTHER, 1, "done")])
    assert (link.processed, dropped) == (0, [])
    follow_jobs(host, owner, [])
    assert link.processed == 1
    (line,) = dropped
    assert (line["reason"], line["request_id"]) == ("unknown-job", OTHER.job)
    report(owner, "w1", ends=[(OTHER, 1, "done")])
    assert len(dropped) == 1


def test_answer_of_a_call_before_the_report_drops_nothing(dropped):
    """Guards against an end that is dropped by what the feed said before it."""
    host, owner = owner_with(job())
    asked_at = host.clock.monotonic()
    host.clock.advance(0.1)
    link = report(owner, "w1", ends=[(OTHER, 1, "done")])
    owner.store_sync._note_complete(asked_at)
    assert (link.processed, dropped) == (0, [])


def test_run_of_a_removed_job_is_stopped_once_all_jobs_are_read(found):
    """Guards against runs that nobody needs and that take up a worker."""
    host, owner = owner_with(job())
    host.clock.advance(0.1)
    report(owner, "w1", runs=[(OTHER, 1)])
    assert _stops(owner) == []
    follow_jobs(host, owner, [])
    assert _stops(owner) == [(OTHER, 1)]
    (line,) = found
    assert (line["is_needed"], line["reason"]) == (False, "unknown-job")


def test_run_of_an_unknown_job_that_ended_is_not_adopted():
    """Guards against a task that waits for ever for the end of a run that is over."""
    host, owner = _owner_before_the_job()
    report(owner, "w1", runs=[(KEY, 1)])
    host.clock.advance(0.1)
    report(owner, "w1", ends=[(KEY, 1, "failed")])
    _bring_job(host, owner)
    step = owner.job_registry.step(KEY)
    assert step.tasks[0].runs == []
    assert step.waiting == {0, 1}
    assert not owner.rooms.get("w1").runs


def test_later_ends_are_applied_at_once(dropped):
    """Guards against tasks that wait for what another end waits for."""
    host, owner = owner_with(job(tasks=2))
    host.clock.advance(0.1)
    ends = [(KEY, 1, "done"), (OTHER, 1, "done"), (KEY._replace(index=1), 1, "done")]
    link = report(owner, "w1", ends=ends)
    assert owner.job_registry.get(ID).is_final
    assert link.processed == 1
    follow_jobs(host, owner, [])
    assert link.processed == 3


def test_ends_before_a_restart_are_still_applied():
    """Guards against an end that is lost as its worker begins anew."""
    host, owner = _owner_before_the_job()
    link = report(owner, "w1", ends=[(KEY, 1, "done")])
    owner.report_handler.note_restart(link, 2)
    _bring_job(host, owner)
    assert owner.job_registry.step(KEY).tasks[0].is_done
    assert link.processed == 0


def _owner_with_unreadable_record():
    host = host_with_two_workers()
    store_job(host, job(), {"status": "running", "occurrences": {"0": "?"}})
    owner = owner_of(host)
    assert ID not in owner.job_registry
    host.clock.advance(0.1)
    return host, owner


def test_end_of_an_unreadable_job_is_kept_until_the_list_is_full(dropped):
    """Guards against a task that runs again once its record can be read."""
    host, owner = _owner_with_unreadable_record()
    link = report(owner, "w1", ends=[(KEY, 1, "done")])
    follow_jobs(host, owner, [])
    assert (link.processed, dropped) == (0, [])
    report(owner, "w1", ends=[(KEY, 1, "done")], has_more_ends=True)
    follow_jobs(host, owner, [])
    assert link.processed == 1
    (line,) = dropped
    assert line["reason"] == "unreadable-job"


def test_new_job_of_the_feed_starts(dropped):
    """Guards against a job that waits though nobody has run it."""
    host, owner = _owner_before_the_job()
    _bring_job(host, owner)
    assert waiting_tasks(owner) == 2
