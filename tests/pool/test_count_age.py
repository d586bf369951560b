"""The time as of which an owner's number of waiting jobs is true."""

import pytest

from tests.pool.owners import host_with_two_workers, job, owner_of, owner_with, report


@pytest.fixture
def pool():
    host, owner = owner_with(job())
    owner.has_read_state = True
    return host, owner


def confirm(owner):
    owner.ownership_status.note_confirmed(owner.now())


def counted(owner):
    """Count again; return the number and the time as of which it is true."""
    owner.host.clock.advance(0.1)
    backlog = owner.status_feed.backlogs().get("q")
    return backlog.waiting if backlog is not None else 0, owner.status_feed.known_at


def test_count_is_true_as_of_the_request_for_the_state(pool):
    """Guards against a count that seems newer because reading took seconds."""
    host, owner = pool
    confirm(owner)
    assert counted(owner) == (1, 1000.0)


def test_count_without_answers_of_the_job_feed_is_as_old_as_the_last_one(pool):
    """Guards against a count that lacks jobs which did not reach the owner."""
    host, owner = pool
    for _ in range(30):
        confirm(owner)
        assert counted(owner) == (1, 1000.0)


def test_count_is_as_recent_as_the_last_answer_of_the_feed(pool):
    """Guards against a count that seems too old although the feed was answered."""
    host, owner = pool
    calls = []
    host.follow = lambda *args, **options: calls.append((args, options))
    owner.store_sync.follow_jobs(1)
    ((_, options),) = calls
    host.clock.advance(1.0)
    confirm(owner)
    options["on_complete"](1000.9)
    assert counted(owner) == (1, 1000.9)


def test_count_is_as_old_as_the_last_confirmation_of_ownership(pool):
    """Guards against counting started jobs by an owner that was replaced."""
    host, owner = pool
    host.clock.advance(1.0)
    owner.store_sync._note_complete(owner.now())
    assert counted(owner) == (1, 1000.0)
    owner.ownership_status.invalidate()
    assert counted(owner) == (1, None)


def test_cached_count_keeps_its_time(pool):
    """Guards against dating an earlier count by a later answer."""
    host, owner = pool
    confirm(owner)
    counted(owner)
    host.clock.advance(0.05)
    confirm(owner)
    owner.store_sync._note_complete(owner.now())
    owner.status_feed.backlogs()
    assert owner.status_feed.known_at == 1000.0


def test_count_is_unknown_until_the_state_was_read(pool):
    """Guards against taking an empty job registry for a pool without waiting jobs."""
    _, owner = pool
    owner.has_read_state = False
    confirm(owner)
    assert counted(owner)[1] is None


def test_count_is_unknown_while_jobs_may_have_started_unseen():
    """Guards against counting running jobs after a takeover without their records."""
    host = host_with_two_workers()
    owner = owner_of(host, is_journal_exact=False)
    owner.has_read_state = True
    report(owner, "w1")
    owner.reconciliation.release_safe_tasks(owner.now())
    assert counted(owner)[1] is None
    report(owner, "w2")
    owner.reconciliation.release_safe_tasks(owner.now())
    assert counted(owner)[1] == 1000.0
