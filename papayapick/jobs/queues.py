"""Describe queues and the policies of their jobs."""

from papayapick.quotas.teams import TeamDirectory

__all__ = ["AdvicePolicy", "CellConfiguration", "Queue"]

_DEFAULT_POLICY = {
    "priority": 9,
    "failure_limit": 1,
    "stretch": 1.0,
    "objective_seconds": 0.0,
    "workers_check_room": False,
    "advice": None,
}
_POLICY_FIELDS = tuple(_DEFAULT_POLICY)


class AdvicePolicy:
    """Describe how long calls for advice on a step take and how long it is valid.

    Parameters
    ----------
    fixed_seconds : float
        Duration of a call without any worker.
    worker_seconds : float
        Additional duration for each worker in the call.
    valid_seconds : float
        Time for which a ticket may be used.
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
        """Return the expected duration of a call about a number of workers.

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
    name : str
    host, path_prefix : str
        A request with this host name and path prefix belongs to the queue.
    pool : str
        Pool of workers that runs the queue's tasks.
    priority : int
        0 is the most urgent.
    failure_limit : int
        Number of failures of one task after which its job fails.
    stretch, objective_seconds : float
        A job should be completed within the length of its critical path times the
        stretch, plus the objective.
    timeout_seconds : float
        Time limit that the platform configures for the queue's route.
    workers_check_room : bool
        Whether workers of the pool refuse tasks that do not fit.
    advice : AdvicePolicy or None
        None if any worker of the pool may run any step.
    is_public : bool, optional
        Whether callers need no key of a team.
    """

    __slots__ = (
        "advice",
        "failure_limit",
        "host",
        "is_public",
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
        is_public=True,
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
        self.is_public = is_public

    def policy_record(self):
        """Return the policy of the queue's jobs as a mapping for the store."""
        record = {name: getattr(self, name) for name in _POLICY_FIELDS}
        record["advice"] = self.advice and self.advice.as_record()
        return record

    @classmethod
    def from_policy(cls, name, pool, record):
        """Build a queue that accepts no requests from a policy record.

        Parameters
        ----------
        name, pool : str
        record : dict
            As returned by ``policy_record``. Missing fields get the least favourable
            values: such jobs have the lowest priority and fail with their first
            failed run.
        """
        fields = {**_DEFAULT_POLICY, **record}
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
    teams : TeamDirectory, optional
    accepted_connections : dict of str to int, optional
        How many connections each worker of a pool accepts from all hosts together.
    """

    __slots__ = (
        "_by_host",
        "accepted_connections",
        "body_limit_bytes",
        "queues",
        "teams",
        "version",
    )

    def __init__(
        self, version, queues, body_limit_bytes, teams=None, accepted_connections=None
    ):
        self.version = version
        self.accepted_connections = accepted_connections or {}
        self.teams = TeamDirectory() if teams is None else teams
        self.queues = {queue.name: queue for queue in queues}
        self.body_limit_bytes = body_limit_bytes
        # Sorted by descending length of the prefix, so that the first match is the
        # most specific one.
        self._by_host = {}
        for queue in sorted(queues, key=lambda one: -len(one.path_prefix)):
            self._by_host.setdefault(queue.host, []).append(queue)

    @property
    def pools(self):
        """Return the names of the pools that the queues use."""
        return {queue.pool for queue in self.queues.values()}

    def tightest_stretch(self, pool):
        """Return the least stretch of the queues of a pool; None if it has none."""
        return min(
            (queue.stretch for queue in self.queues.values() if queue.pool == pool),
            default=None,
        )

    def find(self, host, path):
        """Return the queue of a request, or None.

        Parameters
        ----------
        host : str
            Host name as sent by the caller, with or without a port.
        path : str
        """
        name = host.partition(":")[0].lower()
        for queue in self._by_host.get(name, ()):
            if path.startswith(queue.path_prefix):
                return queue
        return None
