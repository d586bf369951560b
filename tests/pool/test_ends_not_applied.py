"""Ends that come too early or too late are told in the log."""

import pytest

from papayapick.jobs import TaskKey
from papayapick.pool.workers import ends, report_handler
from tests.pool.owners import (
    ID,
    KEY,
    follow_jobs,
    host_with_two_workers,
    job,
    owner_of,
    owner_with,
    place,
    report,
    started_record,
    store_job,
)
from tests.pool.test_waits import RecordedEvents


@pytest.fixture
def events(monkeypatch):
    events = RecordedEvents()
    for name in ("END_NOT_APPLIED", "END_OF_GIVEN_UP_RUN"):
        monkeypatch.setattr(ends, name, events)
    monkeypatch.setattr(report_handler, "REPORT_DELAYED", events)
    return events.found


@pytest.mark.parametrize(
    ("key", "reason"),
    [
        (TaskKey("0" * 16, 0, 0, 0), "unknown-job"),
        (TaskKey(ID, 3, 0, 0), "unknown-task"),
    ],
)
def test_end_of_an_unknown_task_is_logged(events, key, reason):
    """Guards against an end that is thrown away without a trace."""
    host, owner = owner_with(job())
    host.clock.advance(0.5)
    report(owner, "w1", ends=[(key, 1, "done")])
    follow_jobs(host, owner, [])
    (line,) = events
    assert (line["reason"], line["worker"], line["epoch"]) == (reason, "w1", 3)
    assert line["taken_seconds_ago"] == pytest.approx(0.5)


def test_end_of_a_run_that_counted_as_over_tells_of_the_second_run(events):
    """Guards against a second run after an end that the log doesn't explain."""
    host, owner = owner_with(job())
    (run,) = place(owner)
    link = owner.links_by_worker[run.worker]
    owner.lost_runs.mark_all(link, "lease over")
    host.clock.advance(0.2)
    (second,) = place(owner)
    report(owner, run.worker, ends=[(KEY, 1, "done")])
    (line,) = events
    assert (line["outcome"], line["over_reason"]) == ("done", "lost")
    assert line["over_for_seconds"] == pytest.approx(0.2)
    assert line["active_workers"] == [second.worker]


def test_ends_of_known_tasks_are_not_logged(events):
    _, owner = owner_with(job(tasks=2))
    place(owner)
    report(owner, "w1", ends=[(KEY, 1, "done")])
    assert events == []


def test_run_found_after_a_takeover_does_not_count_as_over(events):
    """Guards against lines about second runs for each run found after a takeover."""
    host = host_with_two_workers()
    store_job(host, job(), started_record("w2"))
    owner = owner_of(host)
    for worker, runs in (("w2", [(KEY, 1)]), ("w1", ())):
        report(owner, worker, runs=runs)
    report(owner, "w2", ends=[(KEY, 1, "done")])
    assert events == []
