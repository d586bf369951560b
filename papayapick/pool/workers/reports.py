"""Data reported by workers: registrations, runs, ends and outcomes of starts."""

import enum

__all__ = [
    "EndOutcome",
    "EndReport",
    "Registration",
    "RunReport",
    "StartOutcome",
    "WorkerReport",
    "run_fields",
]


class StartOutcome(enum.Enum):
    """Outcome of an order to start a task."""

    STARTED = "started"
    # The worker has seen a newer epoch: this owner was replaced.
    FENCED = "fenced"
    # The attempt is not newer than a run of the task that was stopped or ended there.
    OUTDATED = "outdated"
    # The order arrived after the end of the lease that it named.
    EXPIRED = "expired"
    NO_ROOM = "no-room"
    TICKET_INVALID = "ticket-invalid"
    # The worker has restarted since, or is unhealthy; the task did not start.
    REFUSED = "refused"
    NOT_SENT = "not-sent"
    # No answer: the task may run, or may start later.
    UNKNOWN = "unknown"


class EndOutcome:
    """Outcomes of a run, as workers report them."""

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    # The lease ended, or the run was lost with its worker.
    LAPSED = "lapsed"
    # Another member of the gang ended.
    BROKEN = "broken"
    # The other members of the gang did not start in time.
    ALONE = "alone"


class Registration:
    """Registration of a worker.

    Parameters
    ----------
    worker, pool, address, zone : str
    capacity : Amounts
    labels : tuple of str
        Kind of the worker, and its rack.
    is_leaving : bool
        Whether the worker is draining: it accepts no new tasks and leaves soon.
    leaves_in : float
        Seconds for which a draining worker stays at least.
    born : int or None
        Start time of the worker's process, in Unix milliseconds. A restarted worker
        keeps its id and gets a new start time.
    """

    __slots__ = (
        "address",
        "born",
        "capacity",
        "is_leaving",
        "labels",
        "leaves_in",
        "pool",
        "worker",
        "zone",
    )

    def __init__(
        self,
        worker,
        pool,
        address,
        zone,
        capacity,
        labels=(),
        is_leaving=False,
        leaves_in=0.0,
        born=None,
    ):
        self.worker = worker
        self.pool = pool
        self.address = address
        self.zone = zone
        self.capacity = capacity
        self.labels = labels
        self.is_leaving = is_leaving
        self.leaves_in = leaves_in
        self.born = born

    def note_born(self, born):
        """Note the start time of a process of the worker; the latest one counts.

        Returns
        -------
        bool
            Whether it is later than the one known.
        """
        if born is None or (self.born is not None and born <= self.born):
            return False
        self.born = born
        return True

    def is_later_than(self, other):
        """Return whether it is of a later life of the worker than another one."""
        return self.born is not None and (other.born is None or self.born > other.born)


class RunReport:
    """A run that a worker reports as running.

    Parameters
    ----------
    key : TaskKey
    attempt : int
    checkpoint : str
    percent : int
        Share of the work that is done; 100 for a lasting task that has started up.
    measurement : float or None
        Tail latency in milliseconds for a task that serves requests, processors in
        use in millicores for any other task; None if it was not measured.
    """

    __slots__ = ("attempt", "checkpoint", "measurement", "key", "percent")

    def __init__(self, key, attempt, checkpoint="", percent=0, measurement=None):
        self.key = key
        self.attempt = attempt
        self.checkpoint = checkpoint
        self.percent = percent
        self.measurement = measurement


class EndReport:
    """The end of a run, which a worker reports until it is acknowledged.

    Parameters
    ----------
    number : int
        Sequence number of the end, counted from the start of the worker's process.
    key : TaskKey
    attempt : int
    outcome : str
        One of the values of ``EndOutcome``.
    checkpoint : str
    """

    __slots__ = ("attempt", "checkpoint", "key", "number", "outcome")

    def __init__(self, number, key, attempt, outcome, checkpoint=""):
        self.number = number
        self.key = key
        self.attempt = attempt
        self.outcome = outcome
        self.checkpoint = checkpoint


class WorkerReport:
    """A worker's report of its runs and of ends that are not acknowledged yet.

    Parameters
    ----------
    clock : float
        Time on the worker's clock, in seconds.
    born : int or None
        Start time of the worker's process, as in ``Registration``.
    runs : list of RunReport
    ends : list of EndReport
        Ends that are not acknowledged.
    has_more_ends : bool, optional
        Whether the worker may hold back later ends until some of these are
        acknowledged.
    """

    __slots__ = ("born", "clock", "ends", "has_more_ends", "runs")

    def __init__(self, clock, born, runs, ends, has_more_ends=False):
        self.has_more_ends = has_more_ends
        self.clock = clock
        self.born = born
        self.runs = runs
        self.ends = ends


def run_fields(run):
    """Return the fields that identify a run in a log event."""
    return {
        "request_id": run.key.job,
        "step": run.key.step,
        "task": run.key.index,
        "attempt": run.attempt,
        "worker": run.worker,
    }
