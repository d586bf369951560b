"""Describe queues and the policies that their jobs follow."""

__all__ = ["AdvicePolicy", "CellConfiguration", "Queue"]

_LEAST_POLICY = {
    "priority": 9,
    "failure_limit": 1,
    "stretch": 1.0,
    "objective_seconds": 0.0,
    "workers_check_room": False,
    "advice": None,
}
_POLICY_FIELDS = tuple(_LEAST_POLICY)


class AdvicePolicy:
    """Tell how long advice on a step takes and holds, in seconds.

    Parameters
    ----------
    fixed_seconds, worker_seconds : float
        A call takes the first, and the second for each worker named.
    valid_seconds : float
        So long a ticket may be used.
    """

    __slots__ = ("fixed_seconds", "valid_seconds", "worker_seconds")

    def __init__(self, fixed_seconds, worker_seconds, valid_seconds):
        self.fixed_seconds = fixed_seconds
        self.worker_seconds = worker_seconds
        self.valid_seconds = valid_seconds

    def as_record(self):
        """Return the policy as a mapping for the store."""
        return {name: getattr(self, name) for name in self.__slots__}

    def expected_seconds(self, workers):
        """Return what a call about so many workers takes.

        Examples
        --------
        >>> AdvicePolicy(0.5, 0.01, 2.5).expected_seconds(10)
        0.6
        """
        return self.fixed_seconds + self.worker_seconds * workers


class Queue:
    """Hold one queue of jobs and its policy.

    Parameters
    ----------
    name, host, path_prefix : str
        The last two select the queue of a caller's request.
    pool : str
        Pool of workers that runs its tasks.
    priority : int
        0 comes first.
    failure_limit : int
        A task that failed so often fails its job.
    stretch, objective_seconds : float
        A job should be completed within its longest chain of work times the
        first, plus the second.
    timeout_seconds : float
    workers_check_room : bool
        Whether workers of the pool refuse what does not fit.
    advice : AdvicePolicy or None
        None where any worker of the pool may run a step.
    """

    __slots__ = (
        "advice",
        "failure_limit",
        "host",
        "name",
        "objective_seconds",
        "path_prefix",
        "pool",
        "priority",
        "stretch",
        "timeout_seconds",
        "workers_check_room",
    )

    def __init__(
        self,
        name,
        host,
        path_prefix,
        pool,
        priority,
        failure_limit,
        stretch,
        objective_seconds,
        timeout_seconds,
        workers_check_room,
        advice,
    ):
        self.name = name
        self.host = host
        self.path_prefix = path_prefix
        self.pool = pool
        self.priority = priority
        self.failure_limit = failure_limit
        self.stretch = stretch
        self.objective_seconds = objective_seconds
        self.timeout_seconds = timeout_seconds
        self.workers_check_room = workers_check_room
        self.advice = advice

    def policy_record(self):
        """Return what its jobs follow, as a mapping for the store."""
        record = {name: getattr(self, name) for name in _POLICY_FIELDS}
        record["advice"] = self.advice and self.advice.as_record()
        return record

    @classmethod
    def from_policy(cls, name, pool, record):
        """Make a queue that takes no requests of what ``policy_record`` returned.

        Parameters
        ----------
        name, pool : str
        record : dict
            Fields that are missing stand at their least: such jobs come last, and fail
            with the first run that does.
        """
        fields = {**_LEAST_POLICY, **record}
        advice = fields.pop("advice")
        return cls(
            name=name,
            host="",
            path_prefix="",
            pool=pool,
            timeout_seconds=0.0,
            advice=AdvicePolicy(**advice) if advice else None,
            **fields,
        )


class CellConfiguration:
    """Hold one version of the operator's configuration.

    Parameters
    ----------
    version : int
    queues : list of Queue
    body_limit_bytes : int
    """

    __slots__ = ("_by_host", "body_limit_bytes", "queues", "version")

    def __init__(self, version, queues, body_limit_bytes):
        self.version = version
        self.queues = {queue.name: queue for queue in queues}
        self.body_limit_bytes = body_limit_bytes
        # Longest prefix first, so that the first that matches is the queue.
        self._by_host = {}
        for queue in sorted(queues, key=lambda one: -len(one.path_prefix)):
            self._by_host.setdefault(queue.host, []).append(queue)

    @property
    def pools(self):
        """Return the names of the pools that queues use."""
        return {queue.pool for queue in self.queues.values()}

    def find(self, host, path):
        """Return the queue of a request, or None.

        Parameters
        ----------
        host : str
            As sent, with or without a port.
        path : str
        """
        name = host.partition(":")[0].lower()
        for queue in self._by_host.get(name, ()):
            if path.startswith(queue.path_prefix):
                return queue
        return None
