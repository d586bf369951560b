"""Describe jobs of steps as their callers hand them in."""

from typing import NamedTuple

from papayapick.ledger.amounts import Amounts

__all__ = ["JobDocument", "Step", "StepKey", "TaskKey", "remaining_critical_paths"]


class TaskKey(NamedTuple):
    """Name one task: job, occurrence, step and its number in the step."""

    job: str
    occurrence: int
    step: int
    index: int

    @property
    def step_key(self):
        """Return the key of the task's step."""
        return StepKey(self.job, self.occurrence, self.step)


class StepKey(NamedTuple):
    """Name one step of one occurrence of a job."""

    job: str
    occurrence: int
    step: int

    def __str__(self):
        return f"{self.job}.{self.occurrence}.{self.step}"


class Step:
    """Describe the tasks of one step, which are alike.

    Parameters
    ----------
    tasks : int
    demand : Amounts
        Of each task.
    estimate_seconds : float
        Of a task's run; callers are off by up to nine tenths.
    after : list of int
        Earlier steps that must be done first.
    is_gang : bool
        All tasks start together and end together.
    is_rack_bound : bool
        A gang that works slowly when it is spread over racks.
    label : str
        A worker must have it; empty for any worker.
    preferred_rack : str
        Tasks are slow on workers of other racks; empty for no data.
    tasks_per_worker : int
        At most so many on one worker; 0 for no limit.
    has_checkpoints, allows_copies, is_lasting : bool
    image : str
        Tasks of one image behave alike.
    tail_limit_seconds : float
        Response time that a task must keep for its own users; 0 for none.
    is_filler : bool
        Its processors are not counted; it gets what others leave unused.
    unavailable_limit : int
        So many tasks may be away at the same time by the system's own actions.
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
        """Return what a task counts against the capacity of its worker."""
        if not self.is_filler:
            return self.demand
        return Amounts(0, self.demand.memory, self.demand.accelerators)

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
        """Read what ``as_record`` returned.

        Examples
        --------
        >>> step = Step(2, Amounts(500, 64), after=[0], is_gang=True)
        >>> Step.from_record(step.as_record()).as_record() == step.as_record()
        True
        """
        fields = dict(record)
        fields["demand"] = Amounts.from_mapping(fields["demand"])
        return cls(**fields)


class JobDocument:
    """Hold one accepted job; it never changes.

    Parameters
    ----------
    identifier, queue, pool, payload : str
        The payload is handed to each of its tasks as it is.
    steps : list of Step
    accepted_at : float
        Unix seconds.
    occurrences : int
        The steps run so many times at their due times; 0 for once, at once.
    first_due, interval_seconds : float
        Occurrence k is due at the first (Unix seconds) plus k times the second.
    policy : dict, optional
        What it was accepted under, as ``Queue.policy_record`` returns it: hosts that
        start after the queue was removed have no other word of it.
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

    @property
    def is_timed(self):
        """Return whether the job runs at due times."""
        return self.occurrences > 0

    @property
    def is_lasting(self):
        """Return whether the job runs until it is cancelled."""
        return any(step.is_lasting for step in self.steps)

    def due_at(self, occurrence):
        """Return when an occurrence may start, in Unix seconds."""
        if not self.is_timed:
            return 0.0
        return self.first_due + occurrence * self.interval_seconds

    def as_record(self):
        """Return the job as a mapping for the store."""
        record = {name: getattr(self, name) for name in self.__slots__}
        record["steps"] = [step.as_record() for step in self.steps]
        return record

    @classmethod
    def from_record(cls, record):
        """Read what ``as_record`` returned."""
        fields = dict(record)
        fields["steps"] = [Step.from_record(step) for step in fields["steps"]]
        return cls(**fields)


def remaining_critical_paths(steps):
    """Return, for each step, the estimated seconds from its start to the job's end.

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
