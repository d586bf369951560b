"""Maxima of teams at the owner of a pool: what counts, who waits, and takeovers."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from papayapick.jobs import JobDocument, Step, TaskKey
from papayapick.jobs.queues import AdvicePolicy, CellConfiguration, Queue
from papayapick.ledger import Amounts
from papayapick.pool.advice.manager import AdviceManager
from papayapick.pool.records.journal import JOBS_TABLE, PROGRESS_TABLE
from papayapick.pool.rounds.waiting import WaitReason
from papayapick.pool.workers.reports import StartOutcome
from papayapick.quotas import Team, TeamDirectory
from tests.pool.fault_simulation import FaultSimulation
from tests.pool.owners import ID, KEY, host_with_two_workers, owner_of, place, report
from tests.pool.standins import QUEUE

TASK = Amounts(1000, 10)
OTHER_ID = "6" * 16
ADVISED = Queue(
    "q", "h", "/q/", "pool", 0, 2, 1.5, 0.5, 3.0, False, AdvicePolicy(0.1, 0.1, 2.0)
)


def configure(host, version=1, **maxima):
    teams = [
        Team(name, maximum={"processors": found}) for name, found in maxima.items()
    ]
    host.configuration.current = CellConfiguration(
        version, [QUEUE], 1000, TeamDirectory(teams)
    )


def store(host, identifier, step, team="accounts", record=None):
    document = JobDocument(identifier, "q", "pool", "t", [step], 0.0, team=team)
    partition = f"pool/{int(identifier, 16) % 8}"
    host.put(JOBS_TABLE, partition, identifier, document.as_record())
    if record is not None:
        host.put(PROGRESS_TABLE, "pool", identifier, record)


def add(owner, identifier, step, team="accounts", queue=QUEUE):
    document = JobDocument(identifier, "q", "pool", "t", [step], 0.0, team=team)
    with owner.lock:
        owner.job_registry.add(document, queue, owner.now())
    return owner.job_registry.get(identifier).steps()[0]


@pytest.fixture
def host():
    host = host_with_two_workers()
    configure(host, accounts=3000)
    return host


@pytest.fixture
def owner(host):
    owner = owner_of(host)
    for worker in ("w1", "w2"):
        report(owner, worker)
    return owner


def report_ends(owner, runs, outcome):
    for worker in {run.worker for run in runs}:
        ends = [(run.key, run.attempt, outcome) for run in runs if run.worker == worker]
        report(owner, worker, ends=ends)


def later(owner, seconds=0.2):
    owner.host.clock.advance(seconds)
    owner.ownership_status.note_confirmed(owner.now())


def test_team_starts_no_more_than_its_maximum(owner):
    step = add(owner, ID, Step(5, TASK))
    other = add(owner, OTHER_ID, Step(4, TASK), team="leasing")
    assert len(place(owner)) == 3 + 4
    assert (len(step.waiting), len(other.waiting)) == (2, 0)
    assert step.wait_reason == WaitReason.QUOTA


def test_end_of_a_run_lets_the_next_one_start_at_once(owner):
    add(owner, ID, Step(5, TASK))
    run = place(owner)[0]
    report(owner, run.worker, ends=[(run.key, run.attempt, "done")])
    assert len(place(owner)) == 1


def test_start_without_an_answer_counts_until_its_end_is_certain(owner):
    """Guards against a team that exceeds its maximum while workers answer nothing.

    Such an order may be carried out seconds later.
    """
    add(owner, ID, Step(5, TASK))
    run = place(owner)[0]
    link = owner.links_by_worker[run.worker]
    owner.orders.note_start_outcome(link, run, StartOutcome.UNKNOWN)
    assert place(owner) == []
    owner.orders.note_start_outcome(link, run, StartOutcome.REFUSED)
    later(owner)
    assert len(place(owner)) == 1


def test_run_that_is_being_stopped_counts(owner):
    add(owner, ID, Step(3, TASK))
    runs = place(owner)
    add(owner, OTHER_ID, Step(3, TASK))
    with owner.lock:
        owner.job_registry.cancel(ID, owner.now())
        owner.orders.stop_unneeded()
    assert place(owner) == []
    report_ends(owner, runs, "stopped")
    assert len(place(owner)) == 3


def test_gang_waits_until_it_fits_as_a_whole(owner):
    add(owner, OTHER_ID, Step(1, TASK))
    (run,) = place(owner)
    gang = add(owner, ID, Step(3, TASK, is_gang=True))
    assert place(owner) == []
    assert gang.wait_reason == WaitReason.QUOTA
    report(owner, run.worker, ends=[(run.key, run.attempt, "done")])
    assert len(place(owner)) == 3


def lasting_beside_large(owner):
    """Let a lasting task run, and add a job whose tasks exceed the lowered maximum."""
    add(owner, OTHER_ID, Step(1, Amounts(200, 10), is_lasting=True))
    place(owner)
    configure(owner.host, version=2, accounts=3000)
    owner.refresh_queues()
    return add(owner, ID, Step(2, Amounts(4000, 10)))


def test_task_above_a_lowered_maximum_starts_beside_a_lasting_one(owner):
    """Guards against a job that waits as long as its team runs anything (LOST)."""
    step = lasting_beside_large(owner)
    (run,) = place(owner)
    assert run.key.job == ID
    later(owner)
    assert place(owner) == []
    assert len(step.waiting) == 1
    report(owner, run.worker, ends=[(run.key, run.attempt, "done")])
    assert len(place(owner)) == 1


def test_task_that_never_fits_beside_lasting_ones_starts_below_half(owner):
    """Guards against a job that waits as long as lasting tasks run (LOST)."""
    add(owner, OTHER_ID, Step(1, Amounts(1400, 10), is_lasting=True))
    place(owner)
    add(owner, ID, Step(1, Amounts(2000, 10)))
    later(owner, 3.0)
    assert [run.key.job for run in place(owner)] == [ID]


def test_task_above_a_lowered_maximum_gets_no_second_copy(owner):
    """Guards against a team that exceeds its maximum by two tasks (QUOTA)."""
    step = lasting_beside_large(owner)
    place(owner)
    assert not owner.team_usage.admits(step)


def test_successor_starts_a_task_above_a_lowered_maximum(host):
    """Guards against a job that waits for ever under a next owner only."""
    record = {"status": "running", "occurrences": {"0": [{"attempts": {"0": 1}}]}}
    record["occurrences"]["0"][0]["places"] = {"0": "w1"}
    lasting = Step(1, Amounts(200, 10), is_lasting=True)
    store(host, OTHER_ID, lasting, record=record)
    store(host, ID, Step(1, Amounts(4000, 10)))
    owner = owner_of(host)
    key = TaskKey(OTHER_ID, 0, 0, 0)
    report(owner, "w1", runs=[(key, 1)])
    report(owner, "w2")
    assert [run.key.job for run in place(owner)] == [ID]


def test_small_tasks_leave_the_maximum_to_a_gang_before_them(owner):
    """Guards against a gang that never starts, as small tasks take what is returned."""
    add(owner, "1" * 16, Step(2, TASK))
    runs = place(owner)
    gang = add(owner, ID, Step(3, TASK, is_gang=True))
    later(owner)
    small = add(owner, OTHER_ID, Step(1, TASK))
    assert place(owner) == []
    assert small.wait_reason == WaitReason.QUOTA
    report_ends(owner, runs, "done")
    later(owner)
    place(owner)
    assert not gang.waiting


def test_gang_before_them_does_not_stop_tasks_of_a_team_that_uses_little(owner):
    """Guards against tasks that wait for seconds though their team may run them."""
    configure(owner.host, version=2, accounts=8000)
    owner.refresh_queues()
    add(owner, "1" * 16, Step(1, TASK))
    place(owner)
    gang = add(owner, ID, Step(8, TASK, is_gang=True))
    later(owner)
    add(owner, OTHER_ID, Step(1, TASK))
    assert len(place(owner)) == 1
    assert len(gang.waiting) == 8


def test_step_at_its_teams_maximum_requests_no_advice(owner, monkeypatch):
    """Guards against tickets that expire unused while other steps wait for advice."""
    asked = []
    monkeypatch.setattr(
        AdviceManager, "request", lambda self, step, now: asked.append(step.key.job)
    )
    add(owner, "1" * 16, Step(3, TASK))
    place(owner)
    step = add(owner, ID, Step(2, TASK), queue=ADVISED)
    owner.advice_manager.request_for_job(step.job, owner.now())
    place(owner)
    assert asked == []
    assert step.wait_reason == WaitReason.QUOTA


def test_second_copy_counts(owner):
    step = add(owner, ID, Step(3, TASK, estimate_seconds=0.1, allows_copies=True))
    for run in place(owner):
        owner.job_registry.note_started(run)
    later(owner, 5.0)
    owner.decisions.start_copies(owner.now())
    assert [len(task.runs) for task in step.tasks] == [1, 1, 1]
    configure(owner.host, version=2, accounts=4000)
    owner.refresh_queues()
    owner.decisions.start_copies(owner.now())
    assert sorted(len(task.runs) for task in step.tasks) == [1, 1, 2]


def test_filler_counts_with_its_processors(owner):
    add(owner, ID, Step(5, TASK, is_filler=True))
    assert len(place(owner)) == 3


def test_raised_maximum_is_used_at_once(owner):
    add(owner, ID, Step(5, TASK))
    place(owner)
    configure(owner.host, version=2, accounts=5000)
    owner.refresh_queues()
    assert len(place(owner)) == 2


def test_lowered_maximum_stops_no_run(owner):
    add(owner, ID, Step(3, TASK))
    place(owner)
    configure(owner.host, version=2, accounts=1000)
    owner.refresh_queues()
    add(owner, OTHER_ID, Step(1, TASK))
    assert place(owner) == []
    assert owner.job_registry.to_stop == []


# After a takeover.


def started(*workers):
    """Return the record of a job whose tasks were started on these workers."""
    found = {str(index): worker for index, worker in enumerate(workers)}
    step = {"attempts": dict.fromkeys(found, 1), "places": found}
    return {"status": "running", "occurrences": {"0": [step]}}


@pytest.fixture
def taken_over(host):
    """Return an owner that knows of three starts on w1, and not of their runs."""
    store(host, ID, Step(3, TASK), record=started("w1", "w1", "w1"))
    store(host, OTHER_ID, Step(3, TASK))
    owner = owner_of(host)
    report(owner, "w2")
    return owner


def test_starts_of_an_earlier_owner_count_before_their_worker_reports(taken_over):
    """Guards against twice the maximum after a takeover.

    The earlier owner's runs go on while the new owner has not heard of them.
    """
    assert place(taken_over) == []


def test_run_that_is_found_counts_once(taken_over):
    keys = [TaskKey(ID, 0, 0, index) for index in range(3)]
    report(taken_over, "w1", runs=[(key, 1) for key in keys[:2]])
    later(taken_over)
    assert len(place(taken_over)) == 1
    assert taken_over.team_usage.used("accounts").processors == 3000


def test_run_of_a_job_that_ended_admits_nothing_until_it_is_gone(host):
    """Guards against starts beside a run whose demand a new owner has not read."""
    store(host, ID, Step(1, TASK), record={"status": "cancelled"})
    store(host, OTHER_ID, Step(3, TASK))
    owner = owner_of(host)
    report(owner, "w1", runs=[(KEY, 1)])
    report(owner, "w2")
    assert place(owner) == []
    report(owner, "w1", ends=[(KEY, 1, "stopped")])
    assert len(place(owner)) == 3


def test_runs_of_a_worker_that_is_removed_no_longer_count(owner):
    add(owner, ID, Step(3, TASK))
    place(owner)
    for link in owner.links():
        owner.lost_runs.mark_all(link, "gone")
    assert owner.team_usage.used("accounts").processors == 0


# A change of the seeds shows other orders of takeovers, lost answers and versions.
@pytest.mark.parametrize("seed", [9, 17, 26, 48])
def test_faults_never_add_up_to_more_than_the_maximum(seed):
    """Guards against lost answers, takeovers and crashes that add up to too much."""
    simulation = FaultSimulation(seed, maxima=[4000, 6000, 3000])
    simulation.run()
    assert simulation.maxima.excesses == []
    assert simulation.duplicate_runs == []


@settings(max_examples=5, deadline=None)
@given(seed=st.integers(0, 10**6), maximum=st.integers(1000, 9000))
def test_random_faults_never_add_up_to_more_than_the_maximum(seed, maximum):
    simulation = FaultSimulation(seed, maxima=[maximum, 2 * maximum])
    simulation.run()
    assert simulation.maxima.excesses == []
