"""Runs: single starts of a task on a worker."""

import enum

from papayapick.jobs.documents import TaskKey

__all__ = ["EndedRun", "RequeueReason", "Run", "RunPhase"]

_INITIAL_PACE_PERCENT = 100


class RunPhase(enum.Enum):
    """Phase of a run, as known to the pool's owner."""

    # The start order is waiting to be sent or was sent. The room is reserved.
    ORDERED = "ordered"
    RUNNING = "running"
    # A stop was ordered. The room stays reserved until the worker lists the end.
    STOPPING = "stopping"
    # The start order was not answered: the run may be active or may start later.
    UNSURE = "unsure"


class RequeueReason(enum.Enum):
    """Why a task waits for a worker again after a start."""

    # Its worker listed the end of its run.
    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LAPSED = "lapsed"
    BROKEN = "broken"
    ALONE = "alone"
    # Its worker listed the run earlier, and now lists neither it nor its end.
    VANISHED = "vanished"
    # Its worker can't be running it any more.
    LOST = "lost"
    # Its worker stopped it before it had started.
    NEVER_STARTED = "never-started"
    # Its worker refused the start, or the order was not sent.
    REFUSED = "refused"
    # It was held after a takeover, and no run of it was found.
    RELEASED = "released"
    # Its worker listed an outcome that this build doesn't know.
    UNKNOWN = "unknown"

    @classmethod
    def _missing_(cls, value):
        # An error here would end the thread that polls the worker.
        return cls.UNKNOWN


class EndedRun:
    """Tell which run of a task was the last one to count as over, and why.

    Parameters
    ----------
    worker : str
        Empty if it is not known.
    attempt : int
    reason : RequeueReason
    counted_at : float
        Monotonic seconds at which the owner took the run for over.
    """

    __slots__ = ("attempt", "counted_at", "reason", "worker")

    def __init__(self, worker, attempt, reason, counted_at):
        self.worker = worker
        self.attempt = attempt
        self.reason = reason
        self.counted_at = counted_at


class Run:
    """Hold the state of one run of a task.

    Parameters
    ----------
    key : TaskKey
    attempt : int
        Number of the start; all members of a gang share it.
    worker : str
    demand : Amounts
        Amounts that the run reserves on its worker.
    phase : RunPhase
    placed_at : float
        Monotonic seconds at which the worker was chosen or the run was adopted.
    step : Step, optional
        Not given for a run of an unknown job.
    team : str, optional
        Team of its job; empty if it has none or the job is unknown.

    Attributes
    ----------
    since : float or None
        Monotonic seconds at which the start order was sent or the run was adopted;
        None while the order waits until the start is journaled.
    """

    __slots__ = (
        "attempt",
        "checkpoint",
        "demand",
        "image",
        "is_filler",
        "is_long",
        "is_pace_unconfirmed",
        "is_resumed",
        "is_speed_noted",
        "key",
        "measurement",
        "pace",
        "percent",
        "percent_at",
        "phase",
        "progressed_at",
        "shows_worker_speed",
        "since",
        "start_confirmed_at",
        "stop_confirmed",
        "stop_requested",
        "tail_limit",
        "team",
        "team_demand",
        "was_listed",
        "was_listed_again",
        "worker",
    )

    def __init__(
        self, key, attempt, worker, demand, phase, placed_at, step=None, team=""
    ):
        self.key = key
        self.attempt = attempt
        self.worker = worker
        self.demand = demand
        self.team = team
        # What it uses of its team's maximum, None if unknown. This includes the
        # processors of fillers, which reserve none on their worker.
        self.team_demand = None if step is None else step.demand
        self.phase = phase
        self.since = None if phase == RunPhase.ORDERED else placed_at
        self.checkpoint = ""
        self.percent = 0
        self.percent_at = placed_at
        # Monotonic seconds at which the percent was last seen to change.
        self.progressed_at = placed_at
        # Whether the run resumed from a checkpoint or was adopted. Its percent may then
        # have been above 0 when this owner first saw it.
        self.is_resumed = False
        # Whether it is known that its task takes longer than others of its step.
        self.is_long = False
        # Whether its progress has told of the speed of its worker.
        self.is_speed_noted = False
        # Value that the worker measured over the last half second, or None.
        self.measurement = None
        # Percent of its processors that the run may use, as ordered. None if unknown:
        # another owner may have set it, or an order was not answered.
        self.pace = _INITIAL_PACE_PERCENT
        # Whether an order to change the pace was not answered. It may still be carried
        # out at any time.
        self.is_pace_unconfirmed = False
        # Monotonic seconds at which the worker confirmed the start, or None.
        self.start_confirmed_at = None
        # Whether a list of the worker has contained the run, and a later list too.
        self.was_listed = False
        self.was_listed_again = False
        # Monotonic seconds at which a stop was ordered, or None.
        self.stop_requested = None
        # Monotonic seconds at which the worker confirmed the stop, or None. From then
        # on the run can't start any more.
        self.stop_confirmed = None
        self.is_filler = step is not None and step.is_filler
        # Whether the percent indicates the speed of the worker. It does not for members
        # of a gang, which wait for each other, for lasting tasks, which are always at
        # 100, and for fillers, which only use processors that others leave unused.
        self.shows_worker_speed = step is not None and not (
            step.is_gang or step.is_lasting or step.is_filler
        )
        self.tail_limit = step.tail_limit_seconds if step is not None else 0.0
        self.image = step.image if step is not None else ""

    @classmethod
    def of_task(cls, step, index, attempt, worker, phase, now):
        """Build a run of one task of a step.

        Parameters
        ----------
        step : StepState
        index, attempt : int
        worker : str
        phase : RunPhase
        now : float
            Monotonic seconds.
        """
        key = TaskKey(*step.key, index)
        demand = step.step.room_demand
        team = step.job.document.team
        return cls(key, attempt, worker, demand, phase, now, step.step, team)

    @classmethod
    def of_ended_job(cls, key, attempt, worker, now, team):
        """Build an active run of a job that is over, so that its demand is not known.

        Parameters
        ----------
        key : TaskKey
        attempt : int
        worker, team : str
            The team is empty if the job is unknown.
        now : float
            Monotonic seconds.
        """
        return cls(key, attempt, worker, None, RunPhase.RUNNING, now, team=team)

    @property
    def has_begun(self):
        """Return whether the worker is known to have started the run."""
        return self.was_listed or self.phase == RunPhase.RUNNING

    def ran_before(self, requested_at):
        """Return whether the worker confirmed the run before a list was requested.

        Parameters
        ----------
        requested_at : float
            Monotonic seconds at which the list was requested.
        """
        known_at = self.percent_at if self.was_listed else self.start_confirmed_at
        return known_at is not None and known_at < requested_at

    @property
    def name(self):
        """Return key and attempt, which identify the run on its worker."""
        return (self.key, self.attempt)

    def worked_seconds(self, now):
        """Return the longest time the run may have been active, in seconds.

        It is 0 before the start order was sent.
        """
        return 0.0 if self.since is None else now - self.since

    def note_sent(self, now):
        """Mark the start order as sent; progress is measured from this time on."""
        self.since = self.percent_at = self.progressed_at = now
