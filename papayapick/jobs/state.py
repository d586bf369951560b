"""State of a job, its steps and its tasks."""

from papayapick.jobs.documents import StepKey, remaining_critical_paths

__all__ = ["JobState", "JobStatus", "StepState", "TaskState"]

# Number of the latest done runs of a step with which its active runs are compared.
_DONE_RUNS = 9
# More than any two queues differ by.
_NOT_OWED_LEVELS = 1000


class JobStatus:
    """Name the states of a job."""

    WAITING = "waiting"
    RUNNING = "running"
    COMPLETED = "completed"
    FAILED = "failed"
    CANCELLED = "cancelled"

    FINAL = frozenset((COMPLETED, FAILED, CANCELLED))


class TaskState:
    """Hold the state of one task.

    Attributes
    ----------
    attempt : int
        Number of the last start; 0 before the first.
    failed_attempts : set of int
        Numbers of the starts whose outcome was a failure. The set counts each start
        once: after a takeover, outcomes are read again in any order, including those
        that are part of the stored record, and the members of a gang fail together.
        Empty for a lasting task, which may fail any number of times.
    checkpoint : str
        Latest saved checkpoint; empty for none.
    runs : list of Run
        Runs without a known outcome; more than one only for copies.
    avoid : set of str
        Workers to use only if no other is free, since the task was slow or refused
        there.
    failed_on : set of str
        Workers on which the task failed. They are used only if no other worker may run
        the task, or, for a lasting task, if no other is free.
    stuck_since : float or None
        Monotonic seconds since which only workers in ``failed_on`` have room for the
        task.
    last_ended : EndedRun or None
        The run after which it waits, or waited, for a worker again; None until then.
    place : str
        Worker of the last start; empty while the task waits for a worker. The task may
        run there even while it is held after a takeover, so it is stored for the next
        owner.
    replaced : int
        How many times the task was moved because its run was stalled or slow.
    """

    __slots__ = (
        "attempt",
        "avoid",
        "checkpoint",
        "failed_attempts",
        "failed_on",
        "is_done",
        "last_ended",
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
        self.last_ended = None
        self.place = ""
        self.replaced = 0
        self.runs = []
        self.stuck_since = None

    @property
    def failures(self):
        """Return the number of starts that failed."""
        return len(self.failed_attempts)

    def adopt_run(self, run):
        """Add a run that a worker lists.

        If an order was carried out late, the run may come in addition to another, or be
        older than the recorded start. The recorded place then stays that of the other
        run, which the next owner must be able to find.
        """
        if not self.runs and (run.attempt >= self.attempt or not self.place):
            self.place = run.worker
        self.attempt = max(self.attempt, run.attempt)
        self.runs.append(run)

    def remove(self, run):
        """Remove a run that has ended or can no longer start."""
        if run not in self.runs:
            return
        self.runs.remove(run)
        if self.runs and self.place == run.worker:
            self.place = self.runs[0].worker

    def refresh_place(self):
        """Set the place from the known runs; no other run of the task can exist."""
        self.place = self.runs[0].worker if self.runs else ""


class StepState:
    """Hold the state of one step of one occurrence.

    Parameters
    ----------
    job : JobState
    occurrence, number : int
    """

    __slots__ = (
        "comparison",
        "done_seconds",
        "done_workers",
        "held_on",
        "is_gang_broken",
        "is_ready",
        "job",
        "key",
        "logged_wait",
        "logged_wait_at",
        "preempted_at",
        "ready_at",
        "saved_shares",
        "step",
        "tasks",
        "unfinished_tasks",
        "usual_seconds",
        "wait_reason",
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
        # Monotonic seconds at which other runs were last preempted for this step.
        self.preempted_at = float("-inf")
        # Share of the work that tasks had done when they were stopped for others, by
        # index; only where overload is expected.
        self.saved_shares = {}
        # Workers on which room is held for this step, with the monotonic seconds at
        # which the hold begins.
        self.held_on = {}
        # Why no round has placed the waiting tasks yet. None if no round has examined
        # the step since it last changed.
        self.wait_reason = None
        # Reason for waiting that was last logged, None for none, and the time of it.
        self.logged_wait = None
        self.logged_wait_at = 0.0
        # Durations of the runs that ended as done: the longest, and the latest ones.
        self.usual_seconds = 0.0
        self.done_seconds = []
        # Worker of each of these runs.
        self.done_workers = []
        # Comparison of the workers by the runs of this step, kept by ``WorkerSpeeds``.
        self.comparison = None
        # Whether a member ended before the gang was done. All others must end before
        # the gang is started again.
        self.is_gang_broken = False

    @property
    def is_done(self):
        """Return whether all tasks have ended as done."""
        return self.unfinished_tasks == 0

    def note_done_run(self, seconds, worker):
        """Record the duration and the worker of a run that ended as done."""
        self.usual_seconds = max(self.usual_seconds, seconds)
        self.done_seconds = [*self.done_seconds[1 - _DONE_RUNS :], seconds]
        self.done_workers = [*self.done_workers[1 - _DONE_RUNS :], worker]

    def active_runs(self):
        """Return the runs without a known outcome."""
        return [run for task in self.tasks for run in task.runs]


class JobState:
    """Hold the state of one job.

    Parameters
    ----------
    document : JobDocument
    queue : Queue
    arrived_at : float
        Monotonic seconds at which the owner first read the job, or at which it was
        accepted under an earlier owner.

    Attributes
    ----------
    status : str
        One of ``JobStatus``, derived from all known outcomes.
    durable_status : str
        Status to report to callers: it becomes final only once that is stored.
    failed_task : TaskKey or None
        Task whose failures made the job fail.
    failed_worker : str
        Worker on which that task last failed.
    occurrences : dict of int to list of StepState
        Occurrences that are due, or that a worker has listed, and not over.
    early_occurrences : set of int
        Those of them that are not due yet. None of their tasks is queued.
    finished_occurrences : set of int
        Numbers of the occurrences that are over.
    critical_paths : list of float
        For each step, the estimated seconds from its start to the job's end.
    critical_path_seconds : float
        The longest of these times.
    is_owed : bool
        Whether the job is within the rate of its team. Other jobs are served last.
    is_set_aside : bool
        Whether none of its tasks is queued, as they can't be placed.
    is_yielding : bool
        Whether it is served after the others of its priority that can be in time.
    """

    __slots__ = (
        "arrived_at",
        "critical_path_seconds",
        "critical_paths",
        "document",
        "durable_status",
        "early_occurrences",
        "failed_task",
        "failed_worker",
        "finished_at",
        "finished_occurrences",
        "has_placed_task",
        "is_owed",
        "is_set_aside",
        "is_yielding",
        "occurrences",
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
        self.is_owed = True
        self.is_set_aside = self.is_yielding = False
        # Whether this owner has placed a task of the job.
        self.has_placed_task = False
        self.occurrences = {}
        self.early_occurrences = set()
        self.finished_occurrences = set()
        self.critical_paths = remaining_critical_paths(document.steps)
        self.critical_path_seconds = max(self.critical_paths, default=0.0)

    @property
    def identifier(self):
        """Return the identifier that the caller chose."""
        return self.document.identifier

    @property
    def priority(self):
        """Return the priority at which the job is served; 0 is the most urgent.

        Lasting jobs keep that of their queue, since their tasks must always run.
        """
        if self.is_owed or self.document.is_lasting:
            return self.queue.priority
        return self.queue.priority + _NOT_OWED_LEVELS

    @property
    def is_final(self):
        """Return whether no further task of the job is to be started."""
        return self.status in JobStatus.FINAL

    def open_occurrence(self, number):
        """Add an occurrence that is due."""
        steps = [
            StepState(self, number, index) for index in range(len(self.document.steps))
        ]
        self.occurrences[number] = steps
        return steps

    def keep_workers(self, workers):
        """Forget on which other workers lasting tasks failed; those are gone.

        Parameters
        ----------
        workers : container of str
            Ids of all workers of the pool.
        """
        for step in self.steps() if self.document.is_lasting else ():
            for task in step.tasks:
                if task.failed_on:
                    task.failed_on = {one for one in task.failed_on if one in workers}

    def steps(self):
        """Return the steps of all occurrences that are not over."""
        return [step for steps in self.occurrences.values() for step in steps]
