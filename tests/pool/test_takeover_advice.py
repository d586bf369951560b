"""Advice that waiting tasks need after a takeover."""

import pytest

from papayapick.jobs import AdvicePolicy, JobDocument, Queue, Step, TaskKey
from papayapick.ledger import Amounts
from papayapick.pool.journal import JOBS_TABLE, PROGRESS_TABLE
from tests.pool.advisers import AdvisedHost
from tests.pool.owners import owner_of, register, report

WORKERS = 24
PEERS = 8
# Of a patient queue: nearly a second for a question about all workers.
POLICY = AdvicePolicy(0.45, 0.02, 2.0)
QUEUE = Queue("q", "h", "/q/", "pool", 1, 4, 2.2, 3.0, 3.0, False, POLICY)
# Other hosts answer a new owner's first beats within this time.
ACQUAINTED_SECONDS = 0.3
# A lasting task counts as away for its users from 6 s after its last run; with so many
# seconds it is back in time after two takeovers in a row.
BACK_SECONDS = 3.0


def _identifier(number):
    return f"{number:016x}"


def _store(host, number, steps, record):
    identifier = _identifier(number)
    document = JobDocument(identifier, "q", "pool", "t", steps, 0.0)
    partition = f"pool/{int(identifier, 16) % 8}"
    host.put(JOBS_TABLE, partition, identifier, document.as_record())
    if record is not None:
        found = {"status": "running", "occurrences": {"0": record}}
        host.put(PROGRESS_TABLE, "pool", identifier, found)


def _store_lasting_task_that_failed(host, number):
    step = Step(1, Amounts(1000, 10), is_lasting=True)
    _store(host, number, [step], [{"attempts": {"0": 1}, "failed": {"0": [1]}}])


def _store_job_at_work(host, number, worker):
    steps = [
        Step(1, Amounts(1000, 10), 6.0),
        Step(1, Amounts(1000, 10), 6.0, after=[0]),
    ]
    started = {"attempts": {"0": 1}, "places": {"0": worker}}
    _store(host, number, steps, [started, {}])


def _taken_over(at_work):
    """Return a host and the owner that has just taken the pool over.

    Parameters
    ----------
    at_work : int
        Jobs whose first step is half done.
    """
    host = AdvisedHost(PEERS, lambda document: QUEUE)
    runs = {f"w{number}": [] for number in range(WORKERS)}
    for worker in runs:
        register(host, worker)
    for number in range(at_work):
        worker = f"w{number % WORKERS}"
        _store_job_at_work(host, number, worker)
        runs[worker].append((TaskKey(_identifier(number), 0, 0, 0), 1))
    _store_lasting_task_that_failed(host, at_work)
    owner = owner_of(host)
    for worker, listed in runs.items():
        report(owner, worker, listed, percent=50)
    return host, owner


def _run_until(host, owner, is_over, most):
    """Let the owner decide until something is so; return the seconds it took."""
    began = host.clock.monotonic()
    while not is_over() and host.clock.monotonic() - began < most:
        now = host.clock.monotonic()
        if now - began >= ACQUAINTED_SECONDS:
            host.hear_peers()
        host.advise()
        with owner.lock:
            owner.standing.note_confirmed(now)
            owner.tick(now)
            owner.decisions.place(now)
        host.clock.advance(0.05)
    return host.clock.monotonic() - began


def _is_placed(owner, number):
    def is_over():
        step = owner.book.step_of(TaskKey(_identifier(number), 0, 0, 0))
        return bool(step.tasks[0].runs)

    return is_over


def test_lasting_task_that_is_down_at_a_takeover_is_back_within_seconds():
    """A watcher was away for ten seconds beside free workers, all hosts restarting.

    Its run failed just before the owner's host was told to stop. The new owner took the
    progress of the runs that it found as made in no time, thought them about to end and
    asked for advice on the next step of each job, one after the other, before the step
    that waited; its question then counted as lost only after 5 s, and the next takeover
    began anew. `pool settled` after 0.19 s, `step waits` with reason advice and
    `asked_seconds` 2.45 for 20 steps at once, `advice lost` for 16 next steps.
    """
    host, owner = _taken_over(at_work=60)
    took = _run_until(host, owner, _is_placed(owner, 60), 10.0)
    assert took < BACK_SECONDS


def test_what_waits_at_a_takeover_is_asked_about_by_all_hosts():
    """Twenty steps wait when a host takes the pool, and none has heard it yet.

    All questions were given at once to the new owner itself, as the only host that had
    been heard, and it asks one at a time; the others, heard 0.3 s later, had nothing to
    ask. 19 questions of 0.93 s took 7.2 s, until they counted as lost.
    """
    host, owner = _taken_over(at_work=0)
    for number in range(1, 19):
        step = Step(1, Amounts(1000, 10), 6.0)
        document = JobDocument(_identifier(number), "q", "pool", "t", [step], 0.0)
        owner.book.add(document, QUEUE, host.clock.monotonic())
    most = ACQUAINTED_SECONDS + 3 * POLICY.expected_seconds(WORKERS) + 0.2
    took = _run_until(host, owner, lambda: not owner.book.waiting_steps(), 20.0)
    assert took < most


@pytest.mark.parametrize("seconds", [0.0, 1.5])
def test_job_that_was_taken_over_half_done_is_not_taken_for_about_to_end(seconds):
    """After a takeover, advice was wanted on the next step of each running job.

    Their tasks were half done when the new owner first saw them; taken as done within
    no time, they seemed to be about to end. A task of six seconds has three left.
    """
    host, owner = _taken_over(at_work=4)
    host.clock.advance(seconds)
    with owner.lock:
        owner.advising.ask_ahead(host.clock.monotonic())
    next_steps = [owner.book.step(TaskKey(_identifier(n), 0, 1, 0)) for n in range(4)]
    asked = [owner.advising.status(one, host.clock.monotonic()) for one in next_steps]
    assert [one.asked_seconds for one in asked] == [None] * 4
