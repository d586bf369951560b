"""Describe jobs of steps as callers submit them."""

from typing import NamedTuple

from papayapick.jobs.stored_values import JOB_CHECKS, STEP_CHECKS, checked_fields
from papayapick.ledger.amounts import Amounts

__all__ = [
    "JobDocument",
    "Step",
    "StepKey",
    "TaskKey",
    "remaining_critical_paths",
]


class TaskKey(NamedTuple):
    """Identify one task by job, occurrence, step and index within the step."""

    job: str
    occurrence: int
    step: int
    index: int

    @property
    def step_key(self):
        """Return the key of the task's step."""
        return StepKey(self.job, self.occurrence, self.step)


class StepKey(NamedTuple):
    """Identify one step of one occurrence of a job."""

    job: str
    occurrence: int
    step: int

    def __str__(self):
        return f"{self.job}.{self.occurrence}.{self.step}"


class Step:
    """Describe one step and its tasks, which are identical.

    Parameters
    ----------
    tasks : int
    demand : Amounts
        Resources that each task needs.
    estimate_seconds : float
        The caller's estimate of the duration of one run. It may be wrong by up to 90
        percent.
    after : list of int
        Numbers of the earlier steps that must be done before this one starts.
    is_gang : bool
        Whether all tasks start and end together.
    is_rack_bound : bool
        Whether the gang runs slowly when it is spread over several racks.
    label : str
        Label that a worker must have; empty for any worker.
    preferred_rack : str
        Rack that holds the input data: tasks run slowly on workers of other racks.
        Empty if there is no such data.
    tasks_per_worker : int
        Most tasks of the step on one worker; 0 for no limit.
    has_checkpoints : bool
        Whether tasks save checkpoints from which a later run resumes.
    allows_copies : bool
        Whether a task may run on two workers at the same time.
    is_lasting : bool
        Whether the tasks run until the job is cancelled.
    image : str
        Tasks of the same image are expected to behave alike.
    tail_limit_seconds : float
        Tail latency that a task must keep for its own users; 0 for no limit.
    is_filler : bool
        Whether the tasks only use processors that other tasks leave unused. Their
        processors are then not counted against the worker's capacity.
    unavailable_limit : int
        Most tasks that the system itself may make unavailable at the same time.
    """

    __slots__ = (
        "after",
        "allows_copies",
        "preferred_rack",
        "demand",
        "estimate_seconds",
        "has_checkpoints",
        "image",
        "is_filler",
        "is_gang",
        "is_lasting",
        "is_rack_bound",
        "label",
        "tail_limit_seconds",
        "tasks",
        "tasks_per_worker",
        "unavailable_limit",
    )

    def __init__(
        self,
        tasks,
        demand,
        estimate_seconds=0.0,
        after=(),
        is_gang=False,
        is_rack_bound=False,
        label="",
        preferred_rack="",
        tasks_per_worker=0,
        has_checkpoints=False,
        allows_copies=False,
        is_lasting=False,
        image="",
        tail_limit_seconds=0.0,
        is_filler=False,
        unavailable_limit=0,
    ):
        self.tasks = tasks
        self.demand = demand
        self.estimate_seconds = estimate_seconds
        self.after = list(after)
        self.is_gang = is_gang
        self.is_rack_bound = is_rack_bound
        self.label = label
        self.preferred_rack = preferred_rack
        self.tasks_per_worker = tasks_per_worker
        self.has_checkpoints = has_checkpoints
        self.allows_copies = allows_copies
        self.is_lasting = is_lasting
        self.image = image
        self.tail_limit_seconds = tail_limit_seconds
        self.is_filler = is_filler
        self.unavailable_limit = unavailable_limit

    @property
    def room_demand(self):
        """Return the amounts that a task reserves on its worker."""
        if not self.is_filler:
            return self.demand
        return Amounts(0, self.demand.memory, self.demand.accelerators)

    @property
    def members_at_once(self):
        """Return how many tasks are started together: all of a gang, otherwise one."""
        return self.tasks if self.is_gang else 1

    def as_record(self):
        """Return the fields that differ from their defaults, for the store."""
        record = {"tasks": self.tasks, "demand": self.demand.as_mapping()}
        for name in self.__slots__:
            value = getattr(self, name)
            if value and name not in record:
                record[name] = value
        return record

    @classmethod
    def from_record(cls, record):
        """Build a step from a record that ``as_record`` returned.

        Examples
        --------
        >>> step = Step(2, Amounts(500, 64), after=[0], is_gang=True)
        >>> Step.from_record(step.as_record()).as_record() == step.as_record()
        True
        """
        return cls(**checked_fields(record, STEP_CHECKS))


class JobDocument:
    """Hold one accepted job; documents are immutable.

    Parameters
    ----------
    identifier, queue, pool, payload : str
        The payload is passed unchanged to each task.
    steps : list of Step
    accepted_at : float
        Unix seconds.
    occurrences : int
        How many times the steps run, each at its due time; 0 to run them once, as
        soon as possible.
    first_due : float
        Unix seconds at which occurrence 0 is due.
    interval_seconds : float
        Time between the due times of two occurrences.
    policy : dict, optional
        Policy under which the job was accepted, as returned by
        ``Queue.policy_record``. A host that starts after the queue was removed from
        the configuration has no other source for it.
    team : str, optional
        Team of the caller; empty if the queue is public.
    """

    __slots__ = (
        "accepted_at",
        "first_due",
        "identifier",
        "interval_seconds",
        "occurrences",
        "payload",
        "policy",
        "pool",
        "queue",
        "steps",
        "team",
    )

    def __init__(
        self,
        identifier,
        queue,
        pool,
        payload,
        steps,
        accepted_at,
        occurrences=0,
        first_due=0.0,
        interval_seconds=0.0,
        policy=None,
        team="",
    ):
        self.identifier = identifier
        self.queue = queue
        self.pool = pool
        self.payload = payload
        self.steps = steps
        self.accepted_at = accepted_at
        self.occurrences = occurrences
        self.first_due = first_due
        self.interval_seconds = interval_seconds
        self.policy = policy or {}
        self.team = team

    @property
    def is_timed(self):
        """Return whether the job runs at due times."""
        return self.occurrences > 0

    @property
    def is_lasting(self):
        """Return whether the job runs until it is cancelled."""
        return any(step.is_lasting for step in self.steps)

    def due_at(self, occurrence):
        """Return the time at which an occurrence may start, in Unix seconds."""
        if not self.is_timed:
            return 0.0
        return self.first_due + occurrence * self.interval_seconds

    def as_record(self):
        """Return the job as a mapping for the store."""
        record = {name: getattr(self, name) for name in self.__slots__}
        record["steps"] = [step.as_record() for step in self.steps]
        if not self.team:
            # Hosts of an earlier version can't read records with a team.
            del record["team"]
        return record

    @classmethod
    def from_record(cls, record):
        """Build a document from a record that ``as_record`` returned.

        Guards against a job that ends each owner of its pool, one after the other. An
        earlier version accepted values of other types, which its hosts may still store
        during a rolling update.

        Raises
        ------
        RecordInvalid
            A field, which the error names, has a value that can't be used.
        """
        fields = checked_fields(record, JOB_CHECKS)
        fields["steps"] = [Step.from_record(step) for step in fields["steps"]]
        return cls(**fields)

    @classmethod
    def from_record_of_ended(cls, record):
        """Build the document of a job of which nothing is to be run any more.

        It has no steps and is due at no time.
        """
        return cls(**{**record, "steps": [], **dict.fromkeys(JOB_CHECKS, 0)})


def remaining_critical_paths(steps):
    """Return the estimated seconds from the start of each step to the job's end.

    Parameters
    ----------
    steps : list of Step

    Returns
    -------
    list of float

    Examples
    --------
    >>> one = Amounts(1000, 64)
    >>> steps = [Step(1, one, 2.0), Step(1, one, 3.0, [0]), Step(1, one, 0.5, [0])]
    >>> remaining_critical_paths(steps)
    [5.0, 3.0, 0.5]
    """
    critical_paths = [step.estimate_seconds for step in steps]
    for number in reversed(range(len(steps))):
        for earlier in steps[number].after:
            longest = steps[earlier].estimate_seconds + critical_paths[number]
            critical_paths[earlier] = max(critical_paths[earlier], longest)
    return critical_paths
