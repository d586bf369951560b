"""Helpers of the tests of the job registry."""

from papayapick.jobs import JobDocument, JobRegistry, Queue, Step, progress_record
from papayapick.ledger import Amounts

ID = "5c0e7a21d94b36f8"
QUEUE = Queue("quick", "h", "/q/", "pool", 0, 2, 1.5, 0.5, 3.0, False, None)
DEMAND = Amounts(1000, 100)


def make_document(*steps, **fields):
    return JobDocument(ID, "quick", "pool", "text", list(steps), 0.0, **fields)


def make_step(tasks=1, **fields):
    return Step(tasks, DEMAND, **fields)


def begin_all(registry, worker="w1", attempt=None):
    runs = []
    for step in registry.waiting_steps():
        for index in sorted(step.waiting):
            runs.append(registry.begin_run(step, index, worker, 1.0, attempt))
    return runs


def end_run(registry, run, outcome, checkpoint=""):
    registry.end_run(run.key, run.attempt, outcome, checkpoint, run.worker, 2.0)


def waiting_tasks(registry):
    return {
        (step.key.occurrence, step.key.step, index)
        for step in registry.waiting_steps()
        for index in step.waiting
    }


def restored(job):
    successor = JobRegistry()
    record = progress_record(job)
    return successor, successor.add(job.document, QUEUE, 0.0, record)


def places(job):
    (step,) = progress_record(job)["occurrences"]["0"]
    return step.get("places", {})
