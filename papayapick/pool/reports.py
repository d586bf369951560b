"""What workers say: registrations, runs, ends and answers to orders."""

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
    """Tell what became of an order to start a task."""

    STARTED = "started"
    # An older epoch than the worker has seen: this owner was replaced.
    FENCED = "fenced"
    # The run's number is not above that of a run stopped or ended there.
    OUTDATED = "outdated"
    # The order arrived after the end of the lease that it named.
    EXPIRED = "expired"
    NO_ROOM = "no-room"
    TICKET_INVALID = "ticket-invalid"
    # Another life of the worker, or one that is unwell; nothing was done.
    REFUSED = "refused"
    NOT_SENT = "not-sent"
    # No answer: the task may run, or may start later.
    UNKNOWN = "unknown"


class EndOutcome:
    """Name the ways in which a run ends, as workers list them."""

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LAPSED = "lapsed"
    # Another member of the gang ended.
    BROKEN = "broken"
    # The other members of the gang did not come in time.
    ALONE = "alone"


class Registration:
    """Hold what a worker has registered of itself.

    Parameters
    ----------
    worker, pool, address, zone : str
    capacity : Amounts
    labels : tuple of str
        Its kind and its rack.
    is_leaving : bool
        It takes no new tasks and leaves soon.
    leaves_in : float
        Least seconds that it stays while it is leaving.
    born : int or None
        Start of its present life, in Unix milliseconds.
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


class RunReport:
    """Hold one run that a worker lists.

    Parameters
    ----------
    key : TaskKey
    attempt : int
    checkpoint : str
    percent : int
        Of its work that is done; of a lasting task, 100 when it is at work.
    measurement : float or None
        Tail of the response time in milliseconds for a task that serves,
        processors in use in millicores for any other; None where there is none.
    """

    __slots__ = ("attempt", "checkpoint", "measurement", "key", "percent")

    def __init__(self, key, attempt, checkpoint="", percent=0, measurement=None):
        self.key = key
        self.attempt = attempt
        self.checkpoint = checkpoint
        self.percent = percent
        self.measurement = measurement


class EndReport:
    """Hold one end that a worker lists until it is acknowledged.

    Parameters
    ----------
    number : int
        Grows by one with each end in the worker's life.
    key : TaskKey
    attempt : int
    outcome : str
        One of ``EndOutcome``.
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
    """Hold both lists of a worker.

    Parameters
    ----------
    clock : float
        Seconds on the worker's clock.
    born : int or None
    runs : list of RunReport
    ends : list of EndReport
        Those that are not acknowledged.
    has_more_ends : bool, optional
        The worker may hold back later ones until some of these are acknowledged.
    """

    __slots__ = ("born", "clock", "ends", "has_more_ends", "runs")

    def __init__(self, clock, born, runs, ends, has_more_ends=False):
        self.has_more_ends = has_more_ends
        self.clock = clock
        self.born = born
        self.runs = runs
        self.ends = ends


def run_fields(run):
    """Return the fields by which a line of the log names a run."""
    return {
        "request_id": run.key.job,
        "step": run.key.step,
        "task": run.key.index,
        "attempt": run.attempt,
        "worker": run.worker,
    }
