"""Helpers for tests of takeovers: a pool with a new owner, and its decision loop."""

from papayapick.jobs import AdvicePolicy, JobDocument, Queue, Step, TaskKey
from papayapick.ledger import Amounts
from papayapick.pool.records.journal import JOBS_TABLE, PROGRESS_TABLE
from tests.pool.advisers import AdvisedHost
from tests.pool.owners import owner_of, register, report

WORKERS = 24
PEERS = 8
# Of a low-priority queue; a request about all workers takes nearly a second.
POLICY = AdvicePolicy(0.45, 0.02, 2.0)
QUEUE = Queue("q", "h", "/q/", "pool", 1, 4, 2.2, 3.0, 3.0, False, POLICY)
# Other hosts answer a new owner's first heartbeats within this time.
PEER_DISCOVERY_SECONDS = 0.3


def identifier_of(number):
    return f"{number:016x}"


def store(host, number, steps, record):
    identifier = identifier_of(number)
    document = JobDocument(identifier, "q", "pool", "t", steps, 0.0)
    partition = f"pool/{int(identifier, 16) % 8}"
    host.put(JOBS_TABLE, partition, identifier, document.as_record())
    if record is not None:
        found = {"status": "running", "occurrences": {"0": record}}
        host.put(PROGRESS_TABLE, "pool", identifier, found)


def store_failed_lasting_task(host, number):
    step = Step(1, Amounts(1000, 10), is_lasting=True)
    store(host, number, [step], [{"attempts": {"0": 1}, "failed": {"0": [1]}}])


def store_running_job(host, number, worker):
    steps = [
        Step(1, Amounts(1000, 10), 6.0),
        Step(1, Amounts(1000, 10), 6.0, after=[0]),
    ]
    started = {"attempts": {"0": 1}, "places": {"0": worker}}
    store(host, number, steps, [started, {}])


def taken_over_before_reports(running, failed=()):
    """Return a host, its new owner before any worker has reported, and the runs.

    Parameters
    ----------
    running : int
        Number of jobs whose first step is running.
    failed : iterable of int
        Numbers of the jobs with a lasting task that failed.
    """
    host = AdvisedHost(PEERS, lambda document: QUEUE)
    runs = {f"w{number}": [] for number in range(WORKERS)}
    for worker in runs:
        register(host, worker)
    for number in range(running):
        worker = f"w{number % WORKERS}"
        store_running_job(host, number, worker)
        runs[worker].append((TaskKey(identifier_of(number), 0, 0, 0), 1))
    for number in failed:
        store_failed_lasting_task(host, number)
    return host, owner_of(host), runs


def taken_over(running):
    """Return a host and its new owner, with a lasting task that has failed.

    Parameters
    ----------
    running : int
        Number of jobs whose first step is half done; the job of the lasting task has
        the next number.
    """
    host, owner, runs = taken_over_before_reports(running, failed=[running])
    for worker, listed in runs.items():
        report(owner, worker, listed, percent=50)
    return host, owner


def run_until(host, owner, is_over, most):
    """Run scheduling rounds until a condition holds; return the seconds it took."""
    began = host.clock.monotonic()
    while not is_over() and host.clock.monotonic() - began < most:
        now = host.clock.monotonic()
        if now - began >= PEER_DISCOVERY_SECONDS:
            host.note_peer_answers()
        host.answer_advice()
        with owner.lock:
            owner.ownership_status.note_confirmed(now)
            owner.tick(now)
            owner.decisions.place(now)
        host.clock.advance(0.05)
    return host.clock.monotonic() - began


def is_placed(owner, number):
    def is_over():
        step = owner.job_registry.step_of(TaskKey(identifier_of(number), 0, 0, 0))
        return bool(step.tasks[0].runs)

    return is_over


def add_job(host, owner, number, step, queue):
    """Add a new job of one step to the owner's job registry."""
    document = JobDocument(identifier_of(number), "q", "pool", "t", [step], 0.0)
    with owner.lock:
        owner.job_registry.add(document, queue, host.clock.monotonic())
