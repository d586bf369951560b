"""Tests of quotas: teams get their quota, borrow idle room and return it."""

import pytest

from papayapick.ledger import Amounts, HostLedger
from papayapick.placement.requests import JobQueue, WaitingJob
from papayapick.quotas import QuotaTracker

CORE = Amounts(1000, 1024)


def queue_of(cores, **quotas):
    ledger = HostLedger()
    ledger.add("worker-0", Amounts(cores * 1000, cores * 1024))
    ledger.open("worker-0")
    tracker = QuotaTracker()
    teams = {team: {"processors": quota * 1000} for team, quota in quotas.items()}
    tracker.set_quotas("digest", teams, 1)
    return JobQueue(ledger, quotas=tracker)


def add(queue, team, count, arrival=0.0, **more):
    for number in range(count):
        queue.add(
            WaitingJob(
                f"{team}-{arrival:g}-{number}",
                CORE,
                run_seconds=1000.0,
                arrival=arrival,
                deadline=1e6,
                team=team,
                **more,
            )
        )


def teams_of(starts):
    return sorted(start.job.team for start in starts)


def test_team_that_submits_first_does_not_use_another_teams_quota():
    """Guard against a team that waits for hours behind another team's earlier jobs."""
    queue = queue_of(4, first=2, second=2)
    add(queue, "first", 10)
    add(queue, "second", 2, arrival=1.0)
    assert teams_of(queue.choose_starts(2.0)) == ["first"] * 2 + ["second"] * 2


def test_unused_quota_is_borrowed_and_returned():
    """Guard against an idle half of a cell, and against room that is not returned.

    The borrower's jobs run for hours. They are paused once the team that is entitled to
    the room has waited for a minute.
    """
    queue = queue_of(4, first=2, second=2)
    add(queue, "first", 10, can_pause=True)
    assert len(queue.choose_starts(0.0)) == 4
    add(queue, "second", 3, arrival=100.0)
    assert queue.choose_starts(100.0) == []
    assert queue.choose_pauses(159.0) == []
    pauses = queue.choose_pauses(160.0)
    assert len(pauses) == 2
    for running in pauses:
        queue.finish(running.job.name)
        queue.add(running.job.requeued())
    assert teams_of(queue.choose_starts(162.0)) == ["second"] * 2
    assert queue.choose_pauses(400.0) == []


def test_remaining_room_goes_to_the_team_that_borrows_least():
    queue = queue_of(8, small=1, large=4)
    add(queue, "small", 8)
    add(queue, "large", 8)
    starts = teams_of(queue.choose_starts(0.0))
    assert (starts.count("small"), starts.count("large")) == (2, 6)


def test_work_without_a_quota_borrows_nothing():
    queue = queue_of(2, listed=1)
    add(queue, "", 1)
    add(queue, "listed", 2, arrival=-1.0)
    assert teams_of(queue.choose_starts(0.0)) == ["", "listed"]


def test_urgent_job_beyond_its_quota_pauses_no_other():
    """Guard against a team that takes the whole cell by marking all jobs as urgent."""
    queue = queue_of(2, greedy=0, modest=2)
    add(queue, "modest", 2, can_pause=True)
    queue.choose_starts(0.0)
    add(queue, "greedy", 2, arrival=1.0, is_urgent=True)
    assert queue.choose_starts(2.0) == []
    assert queue.choose_pauses(2.0) == []


@pytest.mark.parametrize(
    ("amounts", "used", "expected"),
    [
        ({"processors": 2000}, Amounts(2000, 10**9), False),
        ({"processors": 2000}, Amounts(2001), True),
        ({"processors": 9000, "memory": 100}, Amounts(0, 101), True),
        ({"processors": 9000, "accelerators": 0}, Amounts(0, 0, 1), True),
    ],
)
def test_each_resource_has_its_own_quota(amounts, used, expected):
    tracker = QuotaTracker()
    tracker.set_quotas("digest", {"team": amounts}, 1)
    tracker.add_usage("team", used, 1)
    assert tracker.is_over_quota("team") is expected


def test_new_bundle_changes_the_quotas_and_keeps_the_usage():
    tracker = QuotaTracker()
    tracker.set_quotas("old", {"team": {"processors": 1000}}, 1)
    tracker.add_usage("team", Amounts(1000), 2)
    assert tracker.is_over_quota("team")
    tracker.set_quotas("new", {"team": {"processors": 4000}}, 2)
    assert not tracker.is_over_quota("team")
