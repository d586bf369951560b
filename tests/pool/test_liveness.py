"""Rescheduling the runs of crashed workers at once, but not of partitioned ones."""

import pytest

from papayapick.jobs import RunPhase
from papayapick.platform.exceptions import CallFailed
from papayapick.platform.machines import Machine
from papayapick.pool.workers.liveness import LivenessCheck
from tests.pool.owners import (
    host_with_two_workers,
    job,
    owner_of,
    place,
    report,
    started_record,
    store_job,
)
from tests.pool.standins import PoolSimulation


class Machines:
    """Answer with a list of machines, or not at all."""

    def __init__(self, *workers):
        self.workers = workers
        self.is_unavailable = False

    def fetch(self):
        if self.is_unavailable:
            raise CallFailed(address="machines", status=0)
        return [
            Machine(f"m{number}", "pool", bool(worker), worker)
            for number, worker in enumerate(self.workers)
        ]


@pytest.fixture
def load():
    """Return a pool of two workers; one runs four tasks and stopped answering."""
    load = PoolSimulation(workers=2, length=60.0)
    load.submit_job(tasks=4)
    load.run(1.0)
    (worker,) = {run.worker for run in runs(load)}
    link = load.owner.links_by_worker[worker]
    link.failed_since = load.now
    load.owner.report_handler.note_silence(link)
    load.silent = worker
    (load.other,) = set(load.workers) - {worker}
    return load


def runs(load):
    (job,) = load.owner.job_registry.jobs()
    return job.occurrences[0][0].active_runs()


def waiting_after_check(load, machines):
    """Check silent workers once; return how many tasks wait for a worker."""
    LivenessCheck(load.owner, machines).check_once()
    (job,) = load.owner.job_registry.jobs()
    return len(job.occurrences[0][0].waiting)


def test_runs_of_a_crashed_worker_are_rescheduled_at_once(load):
    # Without the list, a crashed worker can't be told from a partitioned one, and its
    # tasks would wait until its lease expires 3.7 s later.
    assert waiting_after_check(load, Machines(load.other, "")) == 4
    assert load.owner.rooms.get(load.silent).runs == {}


def test_runs_of_a_partitioned_worker_are_kept(load):
    # The worker continues to run: rescheduled, each task would run twice.
    assert waiting_after_check(load, Machines(load.other, load.silent)) == 0


def test_run_of_an_unanswered_order_is_kept(load):
    # The order may still be executed by a restarted worker under the same id.
    run = runs(load)[0]
    run.phase, run.was_listed = RunPhase.UNSURE, False
    assert waiting_after_check(load, Machines(load.other, "")) == 3


@pytest.mark.parametrize("listed", [[], ["", ""], ["stranger"]])
def test_list_without_the_answering_workers_is_ignored(load, listed):
    # Such a list is of another cell, or empty after a fault of its service.
    assert waiting_after_check(load, Machines(*listed)) == 0


def test_unavailable_list_is_ignored(load):
    machines = Machines(load.other, "")
    machines.is_unavailable = True
    assert waiting_after_check(load, machines) == 0


def test_worker_that_answers_during_the_check_keeps_its_runs(load):
    machines = Machines(load.other, "")
    link = load.owner.links_by_worker[load.silent]
    fetch = machines.fetch

    def fetch_slowly():
        link.failed_since = None
        return fetch()

    machines.fetch = fetch_slowly
    assert waiting_after_check(load, machines) == 0


def _taken_over(place, is_journal_exact):
    """Return an owner after a takeover that one of two workers doesn't answer."""
    host = host_with_two_workers()
    store_job(host, job(), started_record(place))
    owner = owner_of(host, is_journal_exact=is_journal_exact)
    report(owner, "w1")
    link = owner.links_by_worker["w2"]
    link.failed_since = host.clock.monotonic()
    owner.report_handler.note_silence(link)
    return owner


@pytest.mark.parametrize("is_journal_exact", [True, False])
@pytest.mark.parametrize("recorded_at", ["w1", "w2"])
def test_new_owner_does_not_wait_for_a_worker_that_has_crashed(
    recorded_at, is_journal_exact
):
    """Guards against a delay of all tasks after a takeover beside a crashed worker."""
    owner = _taken_over(recorded_at, is_journal_exact)
    LivenessCheck(owner, Machines("w1", "")).check_once()
    assert [run.worker for run in place(owner)] == ["w1"]
    assert owner.reconciliation.is_complete


def test_new_owner_waits_for_a_partitioned_worker():
    """Guards against second runs of tasks that a partitioned worker still runs."""
    owner = _taken_over("w2", is_journal_exact=False)
    LivenessCheck(owner, Machines("w1", "w2")).check_once()
    assert place(owner) == []
    assert not owner.reconciliation.is_complete


def test_new_owner_stops_reading_machines_once_all_workers_are_known():
    """Guards against needless calls that are billed."""
    owner = _taken_over("w2", is_journal_exact=False)
    check = LivenessCheck(owner, Machines("w1", ""))
    assert check._silent_links()
    check.check_once()
    assert not check._silent_links()


def test_new_owner_does_not_wait_for_its_first_call_to_time_out():
    """Guards against delaying all tasks by the 0.8 s of a call to a dead worker."""
    host = host_with_two_workers()
    store_job(host, job(), started_record("w2"))
    owner = owner_of(host, is_journal_exact=False)
    report(owner, "w1")
    check = LivenessCheck(owner, Machines("w1", ""))
    assert not check._silent_links()
    host.clock.advance(0.3)
    assert [link.worker for link in check._silent_links()] == ["w2"]
    check.check_once()
    assert [run.worker for run in place(owner)] == ["w1"]


# The list may be this old, as ``liveness`` assumes.
LIST_AGE_SECONDS = 3.0


def _begin_anew(load, worker):
    """Let a worker count as begun now."""
    link = load.owner.links_by_worker[worker]
    link.incarnation_since = load.now
    link.born = round(1000 * load.host.clock.time())


def test_worker_that_began_after_the_list_was_made_keeps_its_runs(load):
    """Guards against second runs of tasks whose worker is not on the list yet."""
    _begin_anew(load, load.silent)
    load.host.clock.advance(LIST_AGE_SECONDS - 0.1)
    assert waiting_after_check(load, Machines(load.other, "")) == 0
    load.host.clock.advance(0.2)
    assert waiting_after_check(load, Machines(load.other, "")) == 4


def test_outdated_list_is_ignored():
    """Guards against second runs if the list lacks workers that began long ago."""
    load = PoolSimulation(workers=4, length=60.0)
    load.submit_job(tasks=16)
    load.run(1.0)
    *running, listed, silent = load.owner.links()
    silent.failed_since = load.now
    machines = Machines(running[0].worker, listed.worker)
    fetch = machines.fetch

    def fetch_while_others_answer():
        for link in (*running, listed):
            link.alive_at = load.now
        return fetch()

    machines.fetch = fetch_while_others_answer
    LivenessCheck(load.owner, machines).check_once()
    assert load.owner.rooms.get(silent.worker).runs


def test_worker_that_answered_a_call_sent_after_the_list_was_requested_is_kept(load):
    """Guards against a list that is contradicted by the worker itself."""
    machines = Machines(load.other, "")
    fetch = machines.fetch

    def fetch_while_it_answers():
        load.owner.links_by_worker[load.silent].alive_at = load.now
        return fetch()

    machines.fetch = fetch_while_it_answers
    assert waiting_after_check(load, machines) == 0


def _taken_over_beside(born, recorded_born=None):
    """Return host and owner after a takeover; w2, which ran a task, doesn't answer."""
    host = host_with_two_workers(born)
    if recorded_born is not None:
        first = owner_of(host)
        for worker in ("w1", "w2"):
            link = report(first, worker)
        first.report_handler.note_restart(link, recorded_born)
        for write in first.roster.take_changed():
            host.put(write.table, write.partition, write.key, write.value)
    store_job(host, job(), started_record("w2"))
    owner = owner_of(host, is_journal_exact=True)
    report(owner, "w1")
    host.clock.advance(0.3)
    LivenessCheck(owner, Machines("w1", "")).check_once()
    return host, owner


@pytest.mark.parametrize("recorded_born", [None, 999_000])
def test_new_owner_waits_for_a_worker_that_began_shortly_before(recorded_born):
    """Guards against second runs after a takeover while the list is behind.

    The entry of the worker may still be that of its earlier life. The earlier owner has
    recorded the present one.
    """
    host, owner = _taken_over_beside(1 if recorded_born else 999_000, recorded_born)
    assert place(owner) == []
    host.clock.advance(LIST_AGE_SECONDS)
    LivenessCheck(owner, Machines("w1", "")).check_once()
    assert [run.worker for run in place(owner)] == ["w1"]
