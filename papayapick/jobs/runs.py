"""Hold one start of a task on a worker."""

import enum

from papayapick.jobs.documents import TaskKey

__all__ = ["Run", "RunPhase"]

_PACE_AT_START = 100


class RunPhase(enum.Enum):
    """Tell how far a run is, as far as its owner knows."""

    # The order was or is being sent; its room is taken.
    ORDERED = "ordered"
    RUNNING = "running"
    # A stop was ordered; its room is taken until the end is listed.
    STOPPING = "stopping"
    # The order had no answer: it may run now, or start later.
    UNSURE = "unsure"


class Run:
    """Hold one start of a task.

    Parameters
    ----------
    key : TaskKey
    attempt : int
        Number of the start; all members of a gang share it.
    worker : str
    demand : Amounts
        What it takes of its worker's room.
    phase : RunPhase
    placed_at : float
        Monotonic seconds at which its worker was chosen, or at which it was taken over.

    Attributes
    ----------
    since : float or None
        Monotonic seconds at which its order left, or at which it was taken over; None
        while it waits for its record.
    """

    __slots__ = (
        "start_confirmed_at",
        "attempt",
        "checkpoint",
        "demand",
        "measurement",
        "is_pace_unconfirmed",
        "image",
        "is_filler",
        "shows_worker_speed",
        "is_resumed",
        "key",
        "progressed_at",
        "pace",
        "percent",
        "percent_at",
        "phase",
        "since",
        "stop_confirmed",
        "stop_requested",
        "tail_limit",
        "was_listed",
        "was_listed_again",
        "worker",
    )

    def __init__(self, key, attempt, worker, demand, phase, placed_at, step=None):
        self.key = key
        self.attempt = attempt
        self.worker = worker
        self.demand = demand
        self.phase = phase
        self.since = None if phase == RunPhase.ORDERED else placed_at
        self.checkpoint = ""
        self.percent = 0
        self.percent_at = placed_at
        # When its percent was last seen to change.
        self.progressed_at = placed_at
        # It began with saved progress, or was taken over: its percent did not start
        # from nothing when this owner first saw it.
        self.is_resumed = False
        # What its worker told of the half second before, or None.
        self.measurement = None
        # Percent of its processors that it may use, as ordered; None where that is not
        # known: another owner may have set it, or an order had no answer.
        self.pace = _PACE_AT_START
        # An order on its pace had no answer: it may be carried out at any time.
        self.is_pace_unconfirmed = False
        # Monotonic seconds of its worker's answer that it runs, or None.
        self.start_confirmed_at = None
        # A worker has listed it.
        self.was_listed = False
        # A later list has shown it too.
        self.was_listed_again = False
        # Monotonic seconds of the stop's order, or None.
        self.stop_requested = None
        # Monotonic seconds of the answer to a stop, or None: since then the run
        # can't start any more.
        self.stop_confirmed = None
        self.is_filler = step is not None and step.is_filler
        # Whether its percent tells how fast its worker is: members of a gang wait for
        # each other, lasting tasks are at 100, fillers get what others leave.
        self.shows_worker_speed = step is not None and not (
            step.is_gang or step.is_lasting or step.is_filler
        )
        self.tail_limit = step.tail_limit_seconds if step is not None else 0.0
        self.image = step.image if step is not None else ""

    @classmethod
    def of_task(cls, step, index, attempt, worker, phase, now):
        """Return a run of one task.

        Parameters
        ----------
        step : StepState
        index, attempt : int
        worker : str
        phase : RunPhase
        now : float
        """
        key = TaskKey(*step.key, index)
        demand = step.step.room_demand
        return cls(key, attempt, worker, demand, phase, now, step.step)

    @property
    def has_begun(self):
        """Return whether its worker is known to have begun it."""
        return self.was_listed or self.phase == RunPhase.RUNNING

    def ran_before(self, asked_at):
        """Return whether its worker ran it before a list was asked for.

        Parameters
        ----------
        asked_at : float
            Monotonic seconds.
        """
        known_at = self.percent_at if self.was_listed else self.start_confirmed_at
        return known_at is not None and known_at < asked_at

    @property
    def name(self):
        """Return key and attempt, which name the run on its worker."""
        return (self.key, self.attempt)

    def worked_seconds(self, now):
        """Return how long it may have been at work: 0 before its order left."""
        return 0.0 if self.since is None else now - self.since

    def note_sent(self, now):
        """Note that its order leaves now: before, it could not move."""
        self.since = self.percent_at = self.progressed_at = now
