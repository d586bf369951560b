"""Hold what is known of a job, its steps and tasks while it is not over."""

from papayapick.jobs.documents import StepKey, remaining_critical_paths

__all__ = ["JobState", "JobStatus", "StepState", "TaskState"]


# Tasks that are still at work are compared with so many that are done.
_DONE_RUNS = 9


class JobStatus:
    """Name the states of a job."""

    WAITING = "waiting"
    RUNNING = "running"
    COMPLETED = "completed"
    FAILED = "failed"
    CANCELLED = "cancelled"

    FINAL = frozenset((COMPLETED, FAILED, CANCELLED))


class TaskState:
    """Hold one task.

    Attributes
    ----------
    attempt : int
        Number of its last start; 0 before the first.
    failed_attempts : set of int
        Numbers of the starts that ended as failed. A successor reads ends again that
        led to a record, and in any order; the members of a gang fail together. Each
        start counts once.
    checkpoint : str
        Newest progress that was saved; empty for none.
    runs : list of Run
        Those whose end is not known yet; several only for copies.
    avoid : set of str
        Workers that are used for it last: it lagged or was refused there.
    failed_on : set of str
        Workers on which it failed: used only where no other may run it, or last for
        one that lasts.
    stuck_since : float or None
        Monotonic seconds since when it finds no room but where it has failed.
    place : str
        Worker of its last start; empty while it waits for one. It may run there, also
        where it is kept back after a takeover, so a successor must know of it.
    """

    __slots__ = (
        "attempt",
        "avoid",
        "checkpoint",
        "failed_attempts",
        "failed_on",
        "is_done",
        "place",
        "replaced",
        "runs",
        "stuck_since",
    )

    def __init__(self):
        self.attempt = 0
        self.avoid = set()
        self.checkpoint = ""
        self.failed_attempts = set()
        self.failed_on = set()
        self.is_done = False
        self.place = ""
        # How often it was moved because it stood still or lagged.
        self.replaced = 0
        self.runs = []
        self.stuck_since = None

    @property
    def failures(self):
        """Return how many of its starts ended as failed."""
        return len(self.failed_attempts)

    def adopt_run(self, run):
        """Take over a run that a worker lists.

        One beside another, or older than the start on record, is found where an order
        came late; a successor must look for the one that it came beside.
        """
        if not self.runs and (run.attempt >= self.attempt or not self.place):
            self.place = run.worker
        self.attempt = max(self.attempt, run.attempt)
        self.runs.append(run)

    def remove(self, run):
        """Forget a run that is at work no more."""
        if run not in self.runs:
            return
        self.runs.remove(run)
        if self.runs and self.place == run.worker:
            self.place = self.runs[0].worker

    def refresh_place(self):
        """Take note that it runs nowhere but where its runs are known to be."""
        self.place = self.runs[0].worker if self.runs else ""


class StepState:
    """Hold one step of one occurrence.

    Parameters
    ----------
    job : JobState
    occurrence, number : int
    """

    __slots__ = (
        "done_seconds",
        "held_on",
        "is_gang_broken",
        "is_ready",
        "job",
        "key",
        "unfinished_tasks",
        "preempted_at",
        "ready_at",
        "step",
        "tasks",
        "logged_wait",
        "logged_wait_at",
        "usual_seconds",
        "waiting",
    )

    def __init__(self, job, occurrence, number):
        self.job = job
        self.key = StepKey(job.document.identifier, occurrence, number)
        self.step = job.document.steps[number]
        self.tasks = [TaskState() for _ in range(self.step.tasks)]
        self.unfinished_tasks = self.step.tasks
        self.waiting = set()
        self.is_ready = False
        self.ready_at = 0.0
        # When others were last stopped for its sake.
        self.preempted_at = float("-inf")
        # Workers whose room is held for it, with the monotonic seconds from which on.
        self.held_on = {}
        # What its wait was last logged to be for, and when; None for nothing.
        self.logged_wait = None
        self.logged_wait_at = 0.0
        # What a run of it took that ended as done: the longest, and the last few.
        self.usual_seconds = 0.0
        self.done_seconds = []
        # A member ended before the gang was done: the others must end before
        # it is started again.
        self.is_gang_broken = False

    @property
    def is_done(self):
        """Return whether all of its tasks have ended as done."""
        return self.unfinished_tasks == 0

    def note_done_run(self, seconds):
        """Take in how long a run took that ended as done."""
        self.usual_seconds = max(self.usual_seconds, seconds)
        self.done_seconds = [*self.done_seconds[1 - _DONE_RUNS :], seconds]

    def active_runs(self):
        """Return the runs whose end is not known."""
        return [run for task in self.tasks for run in task.runs]


class JobState:
    """Hold one job.

    Parameters
    ----------
    document : JobDocument
    queue : Queue
    arrived_at : float
        Monotonic seconds at which its owner learned of it, or at which it was accepted
        under an earlier owner.

    Attributes
    ----------
    status : str
        One of ``JobStatus``, as it follows from all that is known.
    durable_status : str
        What callers may be told: a final status counts once it is stored.
    failed_task : TaskKey or None
        The one whose failures ended the job.
    failed_worker : str
        Where its last failure was.
    occurrences : dict of int to list of StepState
        Those that are due and not over.
    finished_occurrences : set of int
        Occurrences that are over.
    critical_paths : list of float
        For each step, the estimated seconds from its start to the job's end.
    critical_path_seconds : float
        The longest of them.
    """

    __slots__ = (
        "arrived_at",
        "critical_path_seconds",
        "critical_paths",
        "document",
        "durable_status",
        "failed_task",
        "failed_worker",
        "finished_at",
        "has_placed_task",
        "occurrences",
        "finished_occurrences",
        "queue",
        "status",
    )

    def __init__(self, document, queue, arrived_at):
        self.document = document
        self.queue = queue
        self.arrived_at = arrived_at
        self.status = JobStatus.WAITING
        self.durable_status = JobStatus.WAITING
        self.failed_task = None
        self.failed_worker = ""
        self.finished_at = None
        # A task of it was placed by this owner.
        self.has_placed_task = False
        self.occurrences = {}
        self.finished_occurrences = set()
        self.critical_paths = remaining_critical_paths(document.steps)
        self.critical_path_seconds = max(self.critical_paths, default=0.0)

    @property
    def identifier(self):
        """Return the id that the caller chose."""
        return self.document.identifier

    @property
    def is_final(self):
        """Return whether nothing of the job is to be started any more."""
        return self.status in JobStatus.FINAL

    def open_occurrence(self, number):
        """Add an occurrence that is due."""
        steps = [
            StepState(self, number, index) for index in range(len(self.document.steps))
        ]
        self.occurrences[number] = steps
        return steps

    def steps(self):
        """Return the steps of all occurrences that are not over."""
        return [step for steps in self.occurrences.values() for step in steps]
