"""Queues, jobs and forecasts for the tests of decisions under overload."""

from papayapick.forecasts import DeclaredTimes
from papayapick.jobs import JobDocument, JobRegistry, Queue, Step
from papayapick.ledger import Amounts
from papayapick.overload.forecaster import Forecaster

NOW = 1000.0


def queue_of(name, priority, stretch=1.5, objective=0.5):
    return Queue(
        name,
        "h",
        f"/{name}/",
        "pool",
        priority,
        2,
        stretch,
        objective,
        3.0,
        False,
        None,
    )


RUSH = queue_of("rush", 0)
REBUILD = queue_of("rebuild", 3, 2.2, 1.2)


def document_of(number, queue, steps, team=""):
    """Return a job of steps, each given by tasks, cores and seconds, in a chain."""
    chain = [
        Step(tasks, Amounts(int(cores * 1000), 10), seconds, [index - 1] * bool(index))
        for index, (tasks, cores, seconds) in enumerate(steps)
    ]
    return JobDocument(
        f"{number:016x}",
        queue.name,
        "pool",
        "t",
        chain,
        0.0,
        policy=queue.policy_record(),
        team=team,
    )


class Load:
    """Jobs that an owner knows, and its forecasts."""

    def __init__(self, cores):
        self.cores = cores
        self.registry = JobRegistry()
        self.forecaster = Forecaster()
        self.owed_again = {}

    def add(self, queue, steps, now=NOW, is_owed=True, age=0.0):
        """Add a job whose tasks wait."""
        number = len(self.registry.jobs()) + 1
        document = document_of(number, queue, steps)
        job = self.registry.add(document, queue, now, age=age)
        job.is_owed = is_owed
        return job

    def begin(self, job, tasks, now=NOW):
        """Begin runs of the first tasks of a job's first step."""
        step = job.steps()[0]
        return [
            self.registry.begin_run(step, index, "w", now) for index in range(tasks)
        ]

    def forecast(self, now=NOW, known_at=None):
        """Return the forecast of a count of all jobs."""
        found = self.forecaster.forecast(
            self.registry.live_jobs(),
            [RUSH, REBUILD],
            self.cores,
            DeclaredTimes(),
            lambda limit: self.owed_again,
            now,
        )
        found.known_at = now if known_at is None else known_at
        return found
