"""A crashed worker's runs are placed again at once; those of one cut off are not."""

import pytest

from papayapick.jobs import RunPhase
from papayapick.platform.exceptions import CheckFailed
from papayapick.platform.machines import Machine
from papayapick.pool.lives import LifeCheck
from tests.pool.owners import (
    host_with_two_workers,
    job,
    owner_of,
    place,
    report,
    started_record,
    store_job,
)
from tests.pool.standins import Replay


class Machines:
    """Answer with a list, or not at all."""

    def __init__(self, *workers):
        self.workers = workers
        self.is_away = False

    def fetch(self):
        if self.is_away:
            raise CheckFailed(address="machines", status=0)
        return [
            Machine(f"m{number}", "pool", bool(worker), worker)
            for number, worker in enumerate(self.workers)
        ]


@pytest.fixture
def load():
    """Two workers; four tasks run on one of them, which then falls silent."""
    load = Replay(workers=2, length=60.0)
    load.hand_in(tasks=4)
    load.run(1.0)
    (worker,) = {run.worker for run in runs(load)}
    link = load.owner.links_by_worker[worker]
    link.failed_since = load.now
    load.owner.lists.note_silence(link)
    load.silent = worker
    (load.other,) = set(load.workers) - {worker}
    return load


def runs(load):
    (job,) = load.owner.book.jobs()
    return job.occurrences[0][0].active_runs()


def look(load, machines):
    LifeCheck(load.owner, machines).look()
    (job,) = load.owner.book.jobs()
    return len(job.occurrences[0][0].waiting)


def test_runs_of_a_crashed_worker_wait_for_another_at_once(load):
    # A worker crashes with the tasks of a count. Its lease lasts 3.7 s more, and until
    # then nobody knew whether it was only cut off: the manager waited that long.
    assert look(load, Machines(load.other, "")) == 4
    assert load.owner.rooms.get(load.silent).runs == {}


def test_runs_of_a_worker_that_is_cut_off_are_left_alone(load):
    # It runs on behind the cut: placed again, each task would run twice.
    assert look(load, Machines(load.other, load.silent)) == 0


def test_order_without_an_answer_is_waited_for(load):
    # The order may be carried out by the next life under the same id.
    run = runs(load)[0]
    run.phase, run.was_listed = RunPhase.UNSURE, False
    assert look(load, Machines(load.other, "")) == 3


@pytest.mark.parametrize("listed", [[], ["", ""], ["stranger"]])
def test_list_that_lacks_workers_that_answer_tells_nothing(load, listed):
    # The list is of another cell, or empty after a fault of its service.
    assert look(load, Machines(*listed)) == 0


def test_list_that_is_away_tells_nothing(load):
    machines = Machines(load.other, "")
    machines.is_away = True
    assert look(load, machines) == 0


def test_worker_that_has_answered_meanwhile_keeps_its_runs(load):
    machines = Machines(load.other, "")
    link = load.owner.links_by_worker[load.silent]
    fetch = machines.fetch

    def fetch_slowly():
        link.failed_since = None
        return fetch()

    machines.fetch = fetch_slowly
    assert look(load, machines) == 0


def _taken_over(place, is_journal_exact):
    """Return an owner that one of two workers does not answer, after a takeover."""
    host = host_with_two_workers()
    store_job(host, job(), started_record(place))
    owner = owner_of(host, is_journal_exact=is_journal_exact)
    report(owner, "w1")
    link = owner.links_by_worker["w2"]
    link.failed_since = host.clock.monotonic()
    owner.lists.note_silence(link)
    return owner


@pytest.mark.parametrize("is_journal_exact", [True, False])
@pytest.mark.parametrize("recorded_at", ["w1", "w2"])
def test_new_owner_does_not_wait_for_a_worker_that_has_crashed(
    recorded_at, is_journal_exact
):
    """Guards against a standstill after each takeover beside one crashed worker."""
    owner = _taken_over(recorded_at, is_journal_exact)
    LifeCheck(owner, Machines("w1", "")).look()
    assert [run.worker for run in place(owner)] == ["w1"]
    assert owner.settling.is_settled


def test_new_owner_waits_for_a_worker_that_is_cut_off():
    """Guards against a second run of what goes on behind a cut."""
    owner = _taken_over("w2", is_journal_exact=False)
    LifeCheck(owner, Machines("w1", "w2")).look()
    assert place(owner) == []
    assert not owner.settling.is_settled


def test_new_owner_reads_no_machines_once_it_knows_all_workers():
    """Guards against paid calls that nobody needs."""
    owner = _taken_over("w2", is_journal_exact=False)
    check = LifeCheck(owner, Machines("w1", ""))
    assert check._silent_links()
    check.look()
    assert not check._silent_links()


def test_new_owner_does_not_wait_until_its_first_call_is_given_up():
    """Guards against a call of 0.8 s to a dead worker that all tasks wait for."""
    host = host_with_two_workers()
    store_job(host, job(), started_record("w2"))
    owner = owner_of(host, is_journal_exact=False)
    report(owner, "w1")
    check = LifeCheck(owner, Machines("w1", ""))
    assert not check._silent_links()
    host.clock.advance(0.3)
    assert [link.worker for link in check._silent_links()] == ["w2"]
    check.look()
    assert [run.worker for run in place(owner)] == ["w1"]
