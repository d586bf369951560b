"""Workers with more ends than one report lists, after a takeover."""

import pytest

from papayapick.platform.exceptions import WorkerSilent
from papayapick.pool.takeover.reconciliation import PREDECESSOR_LEASE_SECONDS
from papayapick.pool.workers.liveness import LivenessCheck
from tests.pool.owners import (
    KEY,
    host_with_two_workers,
    job,
    owner_of,
    place,
    report,
    started_record,
    store_job,
)
from tests.pool.test_liveness import Machines

# An end of another run, the only one that the first report has room for.
EARLIER = (KEY._replace(job="0" * 16), 1, "done")
LAST = (KEY, 1, "done")


@pytest.fixture(params=[True, False], ids=["exact", "inexact"])
def owner(request):
    """Return the owner after a takeover; w2, which ran a task, holds back ends."""
    host = host_with_two_workers()
    store_job(host, job(), started_record("w2"))
    owner = owner_of(host, is_journal_exact=request.param)
    report(owner, "w1")
    link = report(owner, "w2", ends=[EARLIER], has_more_ends=True)
    link.born = 1
    return owner


def tick(owner, seconds):
    owner.host.clock.advance(seconds)
    with owner.lock:
        owner.tick(owner.now())


def is_done(owner):
    return owner.job_registry.step_of(KEY).tasks[0].is_done


def test_task_is_held_until_its_worker_has_listed_all_ends(owner):
    """Guards against a second run of a task whose end was not listed yet."""
    tick(owner, 0.1)
    assert place(owner) == []
    report(owner, "w2", ends=[EARLIER, LAST])
    assert place(owner) == []
    assert is_done(owner)
    assert owner.reconciliation.is_complete


def test_task_that_no_end_is_listed_of_is_placed(owner):
    report(owner, "w2", ends=[EARLIER])
    assert len(place(owner)) == 1


def test_task_is_held_for_ends_that_are_listed_after_all_earlier_leases(owner):
    """Guards against a second run if the store is slow to record the first ends."""
    tick(owner, PREDECESSOR_LEASE_SECONDS + 0.1)
    assert place(owner) == []
    report(owner, "w2", ends=[EARLIER, LAST])
    tick(owner, 0.1)
    assert place(owner) == []
    assert is_done(owner)
    assert owner.reconciliation.is_complete


def _silence(owner):
    link = owner.links_by_worker["w2"]
    link._note_no_answer(WorkerSilent(worker="w2"), owner.now())
    return link


def test_task_is_not_held_for_ends_of_a_worker_that_is_cut_off(owner):
    """Guards against a task that waits for ever for a worker that doesn't answer."""
    _silence(owner)
    tick(owner, PREDECESSOR_LEASE_SECONDS + 0.1)
    assert [run.worker for run in place(owner)] == ["w1"]
    assert owner.reconciliation.is_complete


def test_task_is_not_held_for_ends_of_a_worker_that_has_crashed(owner):
    """Guards against a delay by the longest lease beside a crashed worker."""
    _silence(owner)
    owner.host.clock.advance(0.1)
    check = LivenessCheck(owner, Machines("w1", ""))
    assert check._silent_links()
    check.check_once()
    assert [run.worker for run in place(owner)] == ["w1"]
    assert not check._silent_links()


@pytest.mark.parametrize("born", [None, 2])
def test_task_is_not_held_for_ends_of_a_worker_that_began_anew(owner, born):
    link = owner.links_by_worker["w2"]
    owner.report_handler.note_restart(link, born, frozenset(), owner.now())
    assert len(place(owner)) == 1
