"""Requests for advice on waiting tasks after a takeover."""

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

# A lasting task counts as unavailable to its users from 6 s after its last run. If it
# restarts within this time, it is back in time even after two takeovers in a row.
RESTART_SECONDS = 3.0


def test_lasting_task_that_failed_before_a_takeover_restarts_within_seconds():
    """A failed lasting task must not wait for advice on steps that are not ready.

    The task fails just before the owner's host is told to stop. If the new owner takes
    the progress of the runs that it finds as made in no time, it expects them to end
    soon, and requests advice on the next step of each job before the step that waits.
    That request then counts as lost only after 5 s, and the next takeover starts over:
    with all hosts restarting, the task was unavailable for ten seconds beside free
    workers. The log showed `pool settled` after 0.19 s, `step waits` with reason advice
    and `asked_seconds` 2.45 for 20 steps at once, and `advice lost` for 16 next steps.
    """
    host, owner = taken_over(running=60)
    took = run_until(host, owner, is_placed(owner, 60), 10.0)
    assert took < RESTART_SECONDS


def test_requests_after_a_takeover_are_spread_over_all_hosts():
    """A new owner must not keep all requests to itself before it knows other hosts.

    Twenty steps wait when a host takes the pool, and no other host has answered it yet.
    If all requests are assigned to the new owner at once, which sends one at a time,
    nothing is left for the others, which answer 0.3 s later: 19 requests of 0.93 s took
    7.2 s, until they counted as lost.
    """
    host, owner = taken_over(running=0)
    for number in range(1, 19):
        step = Step(1, Amounts(1000, 10), 6.0)
        document = JobDocument(identifier_of(number), "q", "pool", "t", [step], 0.0)
        owner.job_registry.add(document, QUEUE, host.clock.monotonic())
    most = PEER_DISCOVERY_SECONDS + 3 * POLICY.expected_seconds(WORKERS) + 0.2
    took = run_until(host, owner, lambda: not owner.job_registry.waiting_steps(), 20.0)
    assert took < most


@pytest.mark.parametrize("seconds", [0.0, 1.5])
def test_half_done_job_is_not_expected_to_end_right_after_a_takeover(seconds):
    """No advice must be requested on the next step of each running job at a takeover.

    Tasks that are half done when the new owner first sees them must not count as done
    within no time, which makes them look about to end. A task of six seconds has three
    left.
    """
    host, owner = taken_over(running=4)
    host.clock.advance(seconds)
    with owner.lock:
        owner.advice_manager.prefetch(host.clock.monotonic())
    next_steps = [
        owner.job_registry.step(TaskKey(identifier_of(n), 0, 1, 0)) for n in range(4)
    ]
    statuses = [
        owner.advice_manager.status(one, host.clock.monotonic()) for one in next_steps
    ]
    assert [one.asked_seconds for one in statuses] == [None] * 4


def test_jobs_are_not_expected_to_end_before_their_workers_have_reported():
    """Steps with held tasks must not count as ended after a takeover.

    The first worker's report triggers a round, which prefetches advice. The tasks of
    all other workers are held: they are not waiting and have no known run. If a step
    without either counts as ended, advice is requested on the next step of each job.
    """
    host, owner, runs = taken_over_before_reports(running=60)
    report(owner, "w0", runs["w0"], percent=50)
    now = host.clock.monotonic()
    with owner.lock:
        owner.tick(now)
    next_steps = [
        owner.job_registry.step(TaskKey(identifier_of(n), 0, 1, 0)) for n in range(60)
    ]
    ages = [owner.advice_manager.status(one, now).asked_seconds for one in next_steps]
    assert sum(one is not None for one in ages) == 0


def test_lasting_task_that_fails_soon_after_a_takeover_restarts_within_seconds():
    """Prefetched advice must not delay a lasting task that fails after a takeover.

    It fails a second and a half after the takeover, while workers are free. If held
    tasks had counted as ended, its request would follow dozens of others, of nearly a
    second each, on nine hosts.
    """
    host, owner, runs = taken_over_before_reports(running=90)
    report(owner, "w0", runs["w0"], percent=50)
    with owner.lock:
        owner.tick(host.clock.monotonic())
    for worker, listed in runs.items():
        report(owner, worker, listed, percent=50)
    run_until(host, owner, lambda: False, 1.5)
    add_job(host, owner, 90, Step(1, Amounts(1000, 10), is_lasting=True), QUEUE)
    assert run_until(host, owner, is_placed(owner, 90), 10.0) < RESTART_SECONDS


def _requests(monkeypatch, host):
    """Return the requests that are dispatched, as (key, delay, is_needed)."""
    found = []

    def ask(key, workers, expected, delay, is_needed):
        found.append((key, delay, is_needed))
        return Future()

    monkeypatch.setattr(host.advice, "ask", ask, raising=False)
    return found


@pytest.fixture
def two_requests(monkeypatch):
    """Return an owner, a job of two steps of low priority, and its two requests."""
    host, owner = taken_over(running=0)
    host.advice = SimpleNamespace(ask=None)
    found = _requests(monkeypatch, host)
    steps = [Step(1, Amounts(1000, 10), 6.0), Step(1, Amounts(1000, 10), after=[0])]
    document = JobDocument(identifier_of(5), "q", "pool", "t", steps, 0.0)
    job = owner.job_registry.add(document, QUEUE, owner.now())
    for step in job.steps():
        owner.advice_manager.request(step, owner.now())
    return owner, job, found


def test_prefetches_and_requests_of_low_priority_yield_to_others(two_requests):
    owner, job, ((_, waiting, _), (_, ahead, _)) = two_requests
    assert 0 < waiting < ahead


@pytest.mark.parametrize("end", ["owner", "job"])
def test_request_is_not_needed_once_its_owner_or_job_has_ended(two_requests, end):
    owner, job, ((_, _, is_needed), _) = two_requests
    assert is_needed()
    if end == "owner":
        owner.stop()
    else:
        owner.job_registry.cancel(job.identifier, owner.now())
    assert not is_needed()
