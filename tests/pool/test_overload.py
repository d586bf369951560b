"""More urgent work comes than the pool can do: what is still done in time."""

import pytest

from papayapick.jobs import AdvicePolicy, JobDocument, JobStatus, Queue, Step
from papayapick.ledger import Amounts
from papayapick.placement.timeliness import Timeliness, latest_start
from tests.pool.standins import QUEUE, PoolSimulation

SECONDS = 0.8
OBJECTIVE = QUEUE.stretch * SECONDS + QUEUE.objective_seconds
ADVISED = Queue(
    "q", "h", "/q/", "pool", 0, 2, 1.5, 0.5, 3.0, False, AdvicePolicy(0.02, 0, 2.5)
)


def test_jobs_are_done_in_time_while_more_come_than_the_pool_can_do():
    """At opening, door counts come at 1.4 times what the pool can do.

    Served in the order of arrival each waited as long as the backlog was old, and
    four fifths came too late. Those that can still be done in time go first.
    """
    load = PoolSimulation(workers=8, length=SECONDS)
    for number in range(100):
        # 32 tasks at a time, 40 tasks a second; 56 a second come.
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
def test_work_is_overdue_once_it_can_be_of_no_use(waited, kind):
    load = PoolSimulation(workers=1, length=SECONDS)
    load.submit_job(tasks=1, estimate=SECONDS)
    (step,) = load.owner.book.waiting_steps()
    found, _ = latest_start(step, load.now + waited)
    assert found == kind


@pytest.mark.parametrize("kind", ["lasting", "timed"])
def test_work_without_an_end_or_with_a_due_time_is_never_overdue(kind):
    load = PoolSimulation(workers=1, length=SECONDS)
    step = Step(1, Amounts(1000, 10), 1.0, is_lasting=kind == "lasting")
    times = 2 if kind == "timed" else 0
    document = JobDocument("a" * 16, "q", "pool", "t", [step], 0.0, times, 1e12, 1.0)
    job = load.owner.book.add(document, QUEUE, load.now)
    (state,) = job.open_occurrence(1)
    found, _ = latest_start(state, load.now + 1000.0)
    assert found == Timeliness.IN_TIME


def test_advice_is_asked_for_what_has_room_and_in_the_order_of_service():
    """A burst leaves 200 steps waiting, and room comes free a task at a time.

    Each step asked for advice as soon as one task of it would fit. The hosts spent
    their time with the advice service on steps that found no room before the answer
    had aged, and urgent steps waited for seconds behind those calls.
    """
    load = PoolSimulation(workers=40, length=SECONDS)
    owner = load.owner
    asked = []
    owner.advising._book._ask = lambda key, workers, expected: asked.append(key.job)
    owner.host.queue_of = lambda document: ADVISED
    for _ in range(200):
        load.submit_job(tasks=4, estimate=SECONDS, queue=ADVISED)
    # Room for 160 tasks, and for 5 that come free soon.
    owner.decisions.place(load.now)
    assert asked == sorted(load.submitted_at)[: len(asked)]
    assert len(asked) == 42
    assert owner.advising.is_short


def test_advice_is_asked_at_once_while_there_is_room():
    load = PoolSimulation(workers=4, length=SECONDS)
    load.owner.decisions.place(load.now)
    assert not load.owner.advising.is_short


def test_steps_that_cannot_use_advice_keep_nobody_from_it():
    """Twenty urgent steps may run on one worker only, and it is full.

    Their tickets had aged. They were not asked about again, and still took up all the
    room that advice is asked for: steps behind them waited beside empty workers.
    """
    load = PoolSimulation(workers=8, length=SECONDS)
    owner = load.owner
    asked = []
    owner.advising._book._ask = lambda key, workers, expected: asked.append(key.job)
    for _ in range(20):
        load.submit_job(tasks=4, estimate=SECONDS, queue=ADVISED)
    full, *others = load.workers
    for step in owner.book.waiting_steps():
        owner.advising.want(step, load.now)
        policy = ADVISED.advice
        tickets = {full: "t"}
        owner.advising._book.note_answer(step.key, tickets, policy, load.now - 60)
    owner.rooms.get(full).processors = 0
    load.submit_job(tasks=4, estimate=SECONDS, queue=ADVISED)
    asked.clear()
    owner.decisions.place(load.now)
    assert asked == [f"{21:016x}"]


def test_queue_is_closed_by_the_rate_at_which_its_jobs_begin():
    load = PoolSimulation(workers=1, length=SECONDS)
    for _ in range(400):
        load.submit_job(tasks=4, estimate=SECONDS)
    assert load.owner.news.backlogs()["q"].retry_after == 0
    load.run(10.0)
    # One job in 0.8 s begins: 387 or so wait for over five minutes.
    backlog = load.owner.news.backlogs()["q"]
    assert 380 < backlog.waiting < 395
    assert backlog.retry_after == 30


def test_round_does_not_look_at_each_worker_for_steps_that_fit_nowhere():
    """Guards against rounds that take the whole processor while hundreds wait."""
    load = PoolSimulation(workers=40, length=SECONDS)
    owner = load.owner
    owner.host.queue_of = lambda document: ADVISED
    owner.advising._book._ask = lambda key, workers, expected: None
    for _ in range(400):
        load.submit_job(tasks=4, estimate=SECONDS, queue=ADVISED)
    for step in owner.book.waiting_steps():
        owner.advising.ask(step, load.now)
        tickets = dict.fromkeys(load.workers, "t")
        owner.advising._book.note_answer(step.key, tickets, ADVISED.advice, load.now)
    owner.decisions.place(load.now)
    looks = []
    owner.rooms = CountedRooms(owner.rooms, looks)
    owner.decisions.place(load.now)
    assert len(owner.book.waiting_steps()) > 300
    assert len(looks) < 10


def test_round_does_not_look_at_each_worker_for_steps_whose_tickets_are_for_full_ones():
    """Guards against the same while a worker is free that hardly any step may use."""
    load = PoolSimulation(workers=40, length=SECONDS)
    owner = load.owner
    owner.host.queue_of = lambda document: ADVISED
    owner.advising._book._ask = lambda key, workers, expected: None
    *others, free = load.workers
    for _ in range(400):
        load.submit_job(tasks=4, estimate=SECONDS, queue=ADVISED)
    *steps, last = owner.book.waiting_steps()
    for step in steps:
        _advise(owner, step, others, load.now)
    owner.decisions.place(load.now)
    _advise(owner, last, [free], load.now)
    looks = []
    owner.rooms = CountedRooms(owner.rooms, looks)
    owner.decisions.place(load.now)
    assert [run.worker for run in last.active_runs()] == [free] * 4
    assert len(owner.book.waiting_steps()) > 300
    assert looks.count("choose") == 4
    assert len(looks) < 20


def _advise(owner, step, workers, now):
    owner.advising.ask(step, now)
    tickets = dict.fromkeys(workers, "t")
    owner.advising._book.note_answer(step.key, tickets, ADVISED.advice, now)


class CountedRooms:
    """Count how often all workers are looked at."""

    def __init__(self, rooms, looks):
        self._rooms = rooms
        self._looks = looks

    def __iter__(self):
        self._looks.append("all")
        return iter(self._rooms)

    def __getattr__(self, name):
        self._looks.append(name)
        return getattr(self._rooms, name)


def test_lasting_task_that_is_down_is_started_before_urgent_work():
    """Guards against a watcher that stays away for as long as an overload lasts."""
    load = PoolSimulation(workers=2, length=SECONDS)
    patient = Queue("w", "h", "/w/", "pool", 1, 2, 2.2, 3.0, 3.0, False, None)
    load.submit_job(tasks=8, estimate=SECONDS)
    watcher = load.submit_step(Step(1, Amounts(1000, 10), is_lasting=True), patient)
    for _ in range(16):
        load.submit_job(tasks=4, estimate=SECONDS)
        load.run(0.25)
    assert load.owner.book.get(watcher).status == JobStatus.RUNNING


def test_urgent_queue_turns_away_what_would_be_of_no_use():
    """Guards against thousands of jobs that are accepted and come to nothing."""
    load = PoolSimulation(workers=8, length=SECONDS)
    owner = load.owner
    refused = 0
    for _ in range(80):
        for _ in range(8):
            backlog = owner.news.backlogs().get("q")
            if backlog is not None and backlog.retry_after:
                refused += 1
            else:
                load.submit_job(tasks=5, estimate=SECONDS)
        load.run(0.1)
    # 40 tasks a second are done; what can be of use is of the next 5 s.
    assert owner.news.backlogs()["q"].waiting < 400
    assert refused > 200
