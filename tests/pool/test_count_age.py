"""As of when the number of jobs that wait is true, as its owner knows it."""

import pytest

from tests.pool.owners import host_with_two_workers, job, owner_of, owner_with, report


@pytest.fixture
def found():
    host, owner = owner_with(job())
    owner.has_read_state = True
    return host, owner


def confirm(owner):
    owner.ownership_status.note_confirmed(owner.now())


def counted(owner):
    """Count anew; return the number and as of when it is true."""
    owner.host.clock.advance(0.1)
    backlog = owner.status_feed.backlogs().get("q")
    return backlog.waiting if backlog is not None else 0, owner.status_feed.known_at


def test_count_is_true_as_of_when_the_state_was_asked_for(found):
    """Reading took seconds, and its count was taken for that of its end."""
    host, owner = found
    confirm(owner)
    assert counted(owner) == (1, 1000.0)


def test_count_of_an_owner_whose_feed_of_jobs_is_silent_stays_as_old_as_the_feed(found):
    """Jobs were accepted and reached no owner, which went on to tell its count."""
    host, owner = found
    for _ in range(30):
        confirm(owner)
        assert counted(owner) == (1, 1000.0)


def test_count_is_as_young_as_the_last_answer_of_the_feed(found):
    """The owner's own feed was answered, and its count stayed too old to be told."""
    host, owner = found
    calls = []
    host.follow = lambda *args, **options: calls.append((args, options))
    owner.store_sync.follow_jobs(1)
    ((_, options),) = calls
    host.clock.advance(1.0)
    confirm(owner)
    options["on_complete"](1000.9)
    assert counted(owner) == (1, 1000.9)


def test_count_of_an_owner_that_may_be_replaced_is_as_old_as_its_last_word(found):
    """An owner that was replaced without knowing counted jobs that had begun."""
    host, owner = found
    host.clock.advance(1.0)
    owner.store_sync._note_complete(owner.now())
    assert counted(owner) == (1, 1000.0)
    owner.ownership_status.invalidate()
    assert counted(owner) == (1, None)


def test_count_that_is_told_again_keeps_its_time(found):
    """A count of before was vouched for with the answer that came after it."""
    host, owner = found
    confirm(owner)
    counted(owner)
    host.clock.advance(0.05)
    confirm(owner)
    owner.store_sync._note_complete(owner.now())
    owner.status_feed.backlogs()
    assert owner.status_feed.known_at == 1000.0


def test_owner_that_has_not_read_its_state_knows_no_count(found):
    """An empty book was taken for a pool in which nothing waits."""
    _, owner = found
    owner.has_read_state = False
    confirm(owner)
    assert counted(owner)[1] is None


def test_count_is_not_known_while_jobs_may_have_begun_unseen():
    """Jobs whose starts had no record were counted at a takeover, and were at work."""
    host = host_with_two_workers()
    owner = owner_of(host, is_journal_exact=False)
    owner.has_read_state = True
    report(owner, "w1")
    owner.reconciliation.release_safe_tasks(owner.now())
    assert counted(owner)[1] is None
    report(owner, "w2")
    owner.reconciliation.release_safe_tasks(owner.now())
    assert counted(owner)[1] == 1000.0
