"""Scheduling while more urgent work arrives than the pool can do."""

import pytest

from papayapick.jobs import AdvicePolicy, JobDocument, JobStatus, Queue, Step
from papayapick.ledger import Amounts
from papayapick.placement.order.timeliness import Timeliness, latest_start
from tests.pool.standins import QUEUE, PoolSimulation

SECONDS = 0.8
OBJECTIVE = QUEUE.stretch * SECONDS + QUEUE.objective_seconds
ADVISED = Queue(
    "q", "h", "/q/", "pool", 0, 2, 1.5, 0.5, 3.0, False, AdvicePolicy(0.02, 0, 2.5)
)


def test_most_jobs_are_done_in_time_in_an_overload():
    """Jobs that can still be done in time must be served first in an overload.

    Jobs arrive at 1.4 times the capacity of the pool. Served in the order of arrival,
    each waits for the whole backlog, and four fifths are late.
    """
    load = PoolSimulation(workers=8, length=SECONDS)
    for number in range(100):
        # The pool runs 32 tasks at a time and 40 tasks a second; 56 a second arrive.
        load.submit_job(tasks=6 if number % 5 else 4, estimate=SECONDS)
        if number % 2:
            load.run(0.2)
    load.run(20.0)
    took = load.job_durations()
    assert len(load.finished) == 100
    in_time = sum(one <= OBJECTIVE for one in took) / len(took)
    assert in_time > 0.6


@pytest.mark.parametrize(
    ("waited", "kind"),
    [
        (0.0, Timeliness.IN_TIME),
        (OBJECTIVE - SECONDS, Timeliness.IN_TIME),
        (OBJECTIVE, Timeliness.LATE),
        (3 * OBJECTIVE, Timeliness.OVERDUE),
    ],
)
def test_work_is_overdue_once_its_result_is_of_no_use(waited, kind):
    load = PoolSimulation(workers=1, length=SECONDS)
    load.submit_job(tasks=1, estimate=SECONDS)
    (step,) = load.owner.job_registry.waiting_steps()
    found, _ = latest_start(step, load.now + waited)
    assert found == kind


@pytest.mark.parametrize("kind", ["lasting", "timed"])
def test_work_without_an_end_or_with_a_due_time_is_never_overdue(kind):
    load = PoolSimulation(workers=1, length=SECONDS)
    step = Step(1, Amounts(1000, 10), 1.0, is_lasting=kind == "lasting")
    times = 2 if kind == "timed" else 0
    document = JobDocument("a" * 16, "q", "pool", "t", [step], 0.0, times, 1e12, 1.0)
    job = load.owner.job_registry.add(document, QUEUE, load.now)
    (state,) = job.open_occurrence(1)
    found, _ = latest_start(state, load.now + 1000.0)
    assert found == Timeliness.IN_TIME


def test_advice_is_requested_by_urgency_and_only_for_available_capacity():
    """Requests on steps without capacity must not delay those on urgent steps.

    A burst leaves 200 steps waiting, and capacity is freed one task at a time. If each
    step requests advice as soon as one of its tasks would fit, the hosts call the
    advice service for steps that find no capacity before their tickets expire, and
    urgent steps wait for seconds behind these calls.
    """
    load = PoolSimulation(workers=40, length=SECONDS)
    owner = load.owner
    requested = []
    owner.advice_manager._cache._ask = lambda key, workers, expected: requested.append(
        key.job
    )
    owner.host.queue_of = lambda document: ADVISED
    for _ in range(200):
        load.submit_job(tasks=4, estimate=SECONDS, queue=ADVISED)
    # There is capacity for 160 tasks, and for 5 more that will be free soon.
    owner.decisions.place(load.now)
    assert requested == sorted(load.submitted_at)[: len(requested)]
    assert len(requested) == 42
    assert owner.advice_manager.is_saturated


def test_advice_is_requested_at_once_while_there_is_capacity():
    load = PoolSimulation(workers=4, length=SECONDS)
    load.owner.decisions.place(load.now)
    assert not load.owner.advice_manager.is_saturated


def test_steps_that_cannot_use_advice_do_not_block_other_requests():
    """Steps that can't use advice must not consume the limit of requests.

    Twenty urgent steps may run on one worker only, which is full, and their tickets
    have expired. No advice is requested on them; if they still counted towards the
    limit, the steps behind them would wait while other workers are empty.
    """
    load = PoolSimulation(workers=8, length=SECONDS)
    owner = load.owner
    requested = []
    owner.advice_manager._cache._ask = lambda key, workers, expected: requested.append(
        key.job
    )
    for _ in range(20):
        load.submit_job(tasks=4, estimate=SECONDS, queue=ADVISED)
    full, *others = load.workers
    for step in owner.job_registry.waiting_steps():
        owner.advice_manager.request_if_useful(step, load.now)
        policy = ADVISED.advice
        tickets = {full: "t"}
        owner.advice_manager._cache.note_answer(
            step.key, tickets, policy, load.now - 60
        )
    owner.rooms.get(full).processors = 0
    load.submit_job(tasks=4, estimate=SECONDS, queue=ADVISED)
    requested.clear()
    owner.decisions.place(load.now)
    assert requested == [f"{21:016x}"]


def test_queue_refuses_jobs_by_the_rate_at_which_its_jobs_begin():
    load = PoolSimulation(workers=1, length=SECONDS)
    for _ in range(400):
        load.submit_job(tasks=4, estimate=SECONDS)
    assert load.owner.status_feed.backlogs()["q"].retry_after == 0
    load.run(10.0)
    # One job begins every 0.8 s, so that about 387 jobs wait for over five minutes.
    backlog = load.owner.status_feed.backlogs()["q"]
    assert 380 < backlog.waiting < 395
    assert backlog.retry_after == 30


def test_round_does_not_scan_all_workers_for_steps_that_fit_nowhere():
    """Guards against rounds that use a whole processor while hundreds of steps wait."""
    load = _pool_with_unanswered_steps()
    owner = load.owner
    for step in owner.job_registry.waiting_steps():
        _answer_request(owner, step, load.workers, load.now)
    owner.decisions.place(load.now)
    scans = []
    owner.rooms = CountingRooms(owner.rooms, scans)
    owner.decisions.place(load.now)
    assert len(owner.job_registry.waiting_steps()) > 300
    assert len(scans) < 10


def test_round_does_not_scan_all_workers_for_steps_with_tickets_for_full_ones():
    """Guards against the same scans while a worker is free that few steps may use."""
    load = _pool_with_unanswered_steps()
    owner = load.owner
    *others, free = load.workers
    *steps, last = owner.job_registry.waiting_steps()
    for step in steps:
        _answer_request(owner, step, others, load.now)
    owner.decisions.place(load.now)
    _answer_request(owner, last, [free], load.now)
    scans = []
    owner.rooms = CountingRooms(owner.rooms, scans)
    owner.decisions.place(load.now)
    assert [run.worker for run in last.active_runs()] == [free] * 4
    assert len(owner.job_registry.waiting_steps()) > 300
    assert scans.count("choose") == 4
    assert len(scans) < 20


def _pool_with_unanswered_steps():
    """Return a pool of 40 workers whose 400 jobs wait for advice."""
    load = PoolSimulation(workers=40, length=SECONDS)
    load.owner.host.queue_of = lambda document: ADVISED
    load.owner.advice_manager._cache._ask = lambda key, workers, expected: None
    for _ in range(400):
        load.submit_job(tasks=4, estimate=SECONDS, queue=ADVISED)
    return load


def _answer_request(owner, step, workers, now):
    owner.advice_manager.request(step, now)
    tickets = dict.fromkeys(workers, "t")
    owner.advice_manager._cache.note_answer(step.key, tickets, ADVISED.advice, now)


class CountingRooms:
    """Wrapper of the rooms that records scans of all workers and uses of methods."""

    def __init__(self, rooms, scans):
        self._rooms = rooms
        self._scans = scans

    def __iter__(self):
        self._scans.append("all")
        return iter(self._rooms)

    def __getattr__(self, name):
        self._scans.append(name)
        return getattr(self._rooms, name)


def test_lasting_task_is_restarted_before_urgent_work():
    """Guards against a lasting task that is unavailable throughout an overload."""
    load = PoolSimulation(workers=2, length=SECONDS)
    low_priority = Queue("w", "h", "/w/", "pool", 1, 2, 2.2, 3.0, 3.0, False, None)
    load.submit_job(tasks=8, estimate=SECONDS)
    lasting = load.submit_step(
        Step(1, Amounts(1000, 10), is_lasting=True), low_priority
    )
    for _ in range(16):
        load.submit_job(tasks=4, estimate=SECONDS)
        load.run(0.25)
    assert load.owner.job_registry.get(lasting).status == JobStatus.RUNNING


def test_urgent_queue_refuses_jobs_that_would_be_overdue():
    """Guards against accepting thousands of jobs that end too late to be of use."""
    load = PoolSimulation(workers=8, length=SECONDS)
    owner = load.owner
    refused = 0
    for _ in range(80):
        for _ in range(8):
            backlog = owner.status_feed.backlogs().get("q")
            if backlog is not None and backlog.retry_after:
                refused += 1
            else:
                load.submit_job(tasks=5, estimate=SECONDS)
        load.run(0.1)
    # 40 tasks a second are done; only jobs that begin within 5 s are of use.
    assert owner.status_feed.backlogs()["q"].waiting < 400
    assert refused > 200
