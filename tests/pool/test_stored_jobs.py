"""Stored jobs with values of other kinds, and jobs that fail a round."""

import pytest

from papayapick.jobs import JobDocument, Step, TaskKey
from papayapick.ledger import Amounts
from papayapick.pool.records.journal import JOBS_TABLE
from papayapick.pool.rounds.placement_rounds import PlacementRounds
from tests.pool.owners import ID, host_with_two_workers, owner_of, place, report

OTHER = "00000000000000a1"


def store(host, identifier, **changed):
    step = Step(1, Amounts(1000, 10))
    document = JobDocument(identifier, "q", "pool", "t", [step], 0.0)
    record = {**document.as_record(), **changed}
    host.put(JOBS_TABLE, f"pool/{int(identifier, 16) % 8}", identifier, record)


def stored_step(**changed):
    return {"tasks": 1, "demand": Amounts(1000, 10).as_mapping(), **changed}


def owner_with_jobs(**changed):
    """Return the host, and the owner of a job with changed fields and of another."""
    host = host_with_two_workers()
    store(host, ID, **changed)
    store(host, OTHER)
    owner = owner_of(host)
    for worker in ("w1", "w2"):
        report(owner, worker)
    return host, owner


def run_round(host, owner):
    """Return the keys of the tasks that one round places."""
    owner.tick(host.clock.monotonic())
    return sorted(run.key for run in place(owner))


def test_stored_number_of_times_with_a_fraction_of_zero_is_whole():
    """Guards against a pool that no host can own: an earlier version stored 2.0."""
    host, owner = owner_with_jobs(occurrences=2.0, first_due=1.0, interval_seconds=1.0)
    first, second = TaskKey(ID, 0, 0, 0), TaskKey(ID, 1, 0, 0)
    assert run_round(host, owner) == [TaskKey(OTHER, 0, 0, 0), first, second]
    assert owner.job_registry.get(ID).document.occurrences == 2


@pytest.mark.parametrize(
    "occurrences", [2.5, "2", None, [], float("inf"), float("nan"), 10**400], ids=str
)
def test_stored_job_that_cannot_be_run_fails_and_the_others_go_on(occurrences):
    """Guards against a pool that no host can own, and a caller that waits for ever."""
    host, owner = owner_with_jobs(occurrences=occurrences)
    assert run_round(host, owner) == [TaskKey(OTHER, 0, 0, 0)]
    assert owner.job_registry.get(ID).status == "failed"
    assert ID in owner.job_registry.changed


@pytest.mark.parametrize(
    "step",
    [
        {"label": 7},
        {"tasks_per_worker": "1"},
        {"tasks": "1"},
        {"tasks": 10**9},
        {"demand": {"processors": float("inf")}},
        {"demand": {"memory": 10**400}},
        {"demand": {"memory": "much"}},
        {"demand": None},
    ],
    ids=str,
)
def test_stored_step_that_cannot_be_placed_fails_its_job(step):
    """Guards against a pool that no host can own, and a caller that waits for ever."""
    host, owner = owner_with_jobs(steps=[stored_step(**step)])
    assert run_round(host, owner) == [TaskKey(OTHER, 0, 0, 0)]
    assert owner.job_registry.get(ID).status == "failed"


@pytest.mark.parametrize(
    "step",
    [
        {"tasks": True},
        {"estimate_seconds": float("inf")},
        {"tail_limit_seconds": None},
        {"label": None},
        {"image": ["a"]},
        {"preferred_rack": {}},
        {"tasks_per_worker": None},
        {"unavailable_limit": "1"},
    ],
    ids=str,
)
def test_stored_step_that_an_earlier_version_runs_goes_on(step):
    """Guards against an accepted job that fails at the update of its hosts."""
    host, owner = owner_with_jobs(steps=[stored_step(**step)])
    assert len(run_round(host, owner)) == 2


def test_job_whose_occurrence_cannot_be_opened_is_set_aside():
    """Guards against one job that ends each owner of the pool in its first round."""
    host, owner = owner_with_jobs(occurrences=1)

    def fail(number):
        raise ZeroDivisionError

    class Failing(type(owner.job_registry.get(ID))):
        __slots__ = ()
        open_occurrence = staticmethod(fail)

    owner.job_registry.get(ID).__class__ = Failing
    assert run_round(host, owner) == [TaskKey(OTHER, 0, 0, 0)]
    assert owner.job_registry.get(ID).is_set_aside
    assert owner.job_registry.cancel(ID, host.clock.monotonic())


def test_job_whose_step_cannot_be_placed_is_set_aside(monkeypatch):
    """Guards against one job that ends each owner of the pool in its first round."""
    host, owner = owner_with_jobs()
    examine = PlacementRounds._examine

    def fail(self, step):
        if step.key.job == ID:
            raise ZeroDivisionError
        examine(self, step)

    monkeypatch.setattr(PlacementRounds, "_examine", fail)
    assert run_round(host, owner) == [TaskKey(OTHER, 0, 0, 0)]
    assert owner.job_registry.get(ID).is_set_aside
    monkeypatch.undo()
    assert run_round(host, owner) == []


def test_occurrences_that_are_due_at_once_wait_for_room_in_memory():
    """Guards against an owner, and each next one, that runs out of memory."""
    steps = [stored_step(tasks=6_000)]
    host, owner = owner_with_jobs(steps=steps, occurrences=1_000_000)
    owner.tick(host.clock.monotonic())
    assert len(owner.job_registry.get(ID).occurrences) == 2
