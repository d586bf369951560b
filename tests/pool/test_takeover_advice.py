"""Advice that waiting tasks need after a takeover."""

from concurrent.futures import Future
from types import SimpleNamespace

import pytest

from papayapick.jobs import JobDocument, Step, TaskKey
from papayapick.ledger import Amounts
from tests.pool.owners import report
from tests.pool.takeovers import (
    PEER_DISCOVERY_SECONDS,
    POLICY,
    QUEUE,
    WORKERS,
    add_job,
    identifier_of,
    is_placed,
    run_until,
    taken_over,
    taken_over_before_reports,
)

# A lasting task counts as away for its users from 6 s after its last run; with so many
# seconds it is back in time after two takeovers in a row.
BACK_SECONDS = 3.0


def test_lasting_task_that_is_down_at_a_takeover_is_back_within_seconds():
    """A watcher was away for ten seconds beside free workers, all hosts restarting.

    Its run failed just before the owner's host was told to stop. The new owner took the
    progress of the runs that it found as made in no time, thought them about to end and
    asked for advice on the next step of each job, one after the other, before the step
    that waited; its question then counted as lost only after 5 s, and the next takeover
    began anew. `pool settled` after 0.19 s, `step waits` with reason advice and
    `asked_seconds` 2.45 for 20 steps at once, `advice lost` for 16 next steps.
    """
    host, owner = taken_over(running=60)
    took = run_until(host, owner, is_placed(owner, 60), 10.0)
    assert took < BACK_SECONDS


def test_what_waits_at_a_takeover_is_asked_about_by_all_hosts():
    """Twenty steps wait when a host takes the pool, and none has heard it yet.

    All questions were given at once to the new owner itself, as the only host that had
    been heard, and it asks one at a time; the others, heard 0.3 s later, had nothing to
    ask. 19 questions of 0.93 s took 7.2 s, until they counted as lost.
    """
    host, owner = taken_over(running=0)
    for number in range(1, 19):
        step = Step(1, Amounts(1000, 10), 6.0)
        document = JobDocument(identifier_of(number), "q", "pool", "t", [step], 0.0)
        owner.book.add(document, QUEUE, host.clock.monotonic())
    most = PEER_DISCOVERY_SECONDS + 3 * POLICY.expected_seconds(WORKERS) + 0.2
    took = run_until(host, owner, lambda: not owner.book.waiting_steps(), 20.0)
    assert took < most


@pytest.mark.parametrize("seconds", [0.0, 1.5])
def test_job_that_was_taken_over_half_done_is_not_taken_for_about_to_end(seconds):
    """After a takeover, advice was wanted on the next step of each running job.

    Their tasks were half done when the new owner first saw them; taken as done within
    no time, they seemed to be about to end. A task of six seconds has three left.
    """
    host, owner = taken_over(running=4)
    host.clock.advance(seconds)
    with owner.lock:
        owner.advice_manager.prefetch(host.clock.monotonic())
    next_steps = [owner.book.step(TaskKey(identifier_of(n), 0, 1, 0)) for n in range(4)]
    asked = [
        owner.advice_manager.status(one, host.clock.monotonic()) for one in next_steps
    ]
    assert [one.asked_seconds for one in asked] == [None] * 4


def test_jobs_whose_workers_have_not_answered_are_not_taken_for_about_to_end():
    """After a takeover advice was still wanted on the next step of running jobs.

    The first worker's answer wakes the owner, and it looks ahead. Tasks at all other
    workers are kept back: they neither wait nor have a run that is known, and a step
    without either counted as ended. Each of its jobs' next steps was asked about.
    """
    host, owner, runs = taken_over_before_reports(running=60)
    report(owner, "w0", runs["w0"], percent=50)
    now = host.clock.monotonic()
    with owner.lock:
        owner.tick(now)
    next_steps = [
        owner.book.step(TaskKey(identifier_of(n), 0, 1, 0)) for n in range(60)
    ]
    asked = [owner.advice_manager.status(one, now).asked_seconds for one in next_steps]
    assert sum(one is not None for one in asked) == 0


def test_lasting_task_that_fails_soon_after_a_takeover_is_back_within_seconds():
    """A watcher fails a second and a half after a takeover beside free workers.

    Its question is due after those that were asked as the owner took kept back tasks
    for ended: dozens of them, of nearly a second each, on nine hosts.
    """
    host, owner, runs = taken_over_before_reports(running=90)
    report(owner, "w0", runs["w0"], percent=50)
    with owner.lock:
        owner.tick(host.clock.monotonic())
    for worker, listed in runs.items():
        report(owner, worker, listed, percent=50)
    run_until(host, owner, lambda: False, 1.5)
    add_job(host, owner, 90, Step(1, Amounts(1000, 10), is_lasting=True), QUEUE)
    assert run_until(host, owner, is_placed(owner, 90), 10.0) < BACK_SECONDS


def _questions(monkeypatch, host):
    """Return the questions that reach the desk, as (key, delay, is_needed)."""
    found = []

    def ask(key, workers, expected, delay, is_needed):
        found.append((key, delay, is_needed))
        return Future()

    monkeypatch.setattr(host.advice, "ask", ask, raising=False)
    return found


@pytest.fixture
def asked(monkeypatch):
    """Return an owner with a patient step and the one after it, and its questions."""
    host, owner = taken_over(running=0)
    host.advice = SimpleNamespace(ask=None)
    found = _questions(monkeypatch, host)
    steps = [Step(1, Amounts(1000, 10), 6.0), Step(1, Amounts(1000, 10), after=[0])]
    document = JobDocument(identifier_of(5), "q", "pool", "t", steps, 0.0)
    job = owner.book.add(document, QUEUE, owner.now())
    for step in job.steps():
        owner.advice_manager.request(step, owner.now())
    return owner, job, found


def test_questions_ahead_of_need_and_of_patient_queues_let_others_go_first(asked):
    owner, job, ((_, waiting, _), (_, ahead, _)) = asked
    assert 0 < waiting < ahead


@pytest.mark.parametrize("end", ["owner", "job"])
def test_question_is_of_no_need_once_its_owner_or_job_is_over(asked, end):
    owner, job, ((_, _, is_needed), _) = asked
    assert is_needed()
    if end == "owner":
        owner.stop()
    else:
        owner.book.cancel(job.identifier, owner.now())
    assert not is_needed()
