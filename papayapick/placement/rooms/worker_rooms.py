"""Room of one worker: the part of its capacity that no run has reserved."""

from papayapick.jobs.labels import rack_label
from papayapick.speeds import SpeedTier

__all__ = ["WorkerRoom"]


class WorkerRoom:
    """Room of one worker, and the runs that have reserved the rest of its capacity.

    Parameters
    ----------
    registration : Registration

    Attributes
    ----------
    worker : str
        Id of the worker.
    rack : str
        Label of its rack, or an empty string.
    number : int
        Position among the rooms of the pool, in the order in which they were added.
    is_suspected : bool
        Whether runs on it stalled, were slow or failed, so that it is used last.
    is_draining : bool
        Whether it is being emptied for the upkeep of its machine.
    hold : Hold or None
        Hold of its room for a step that waits.
    runs : dict
        Run by task key and attempt, until its end is certain.
    step_counts : dict
        Number of its runs by step key.
    filler_runs : int
        Number of its fillers, which reserve no processors.
    """

    __slots__ = (
        "_accelerators",
        "_index",
        "_is_failing",
        "_is_open",
        "_memory",
        "_processors",
        "_suspected_until",
        "_team_usage",
        "_tier",
        "_unknown_demands",
        "filler_runs",
        "hold",
        "is_draining",
        "is_suspected",
        "number",
        "rack",
        "registration",
        "runs",
        "step_counts",
        "worker",
    )

    def __init__(self, registration):
        self.registration = registration
        self.worker = registration.worker
        self.rack = rack_label(registration.labels)
        self.number = 0
        self._index = None
        self._team_usage = None
        self._is_open = False
        self._tier = SpeedTier.NORMAL
        self.is_draining = False
        self.runs = {}
        self.step_counts = {}
        self.filler_runs = 0
        self.hold = None
        # Number of runs of jobs that have ended or are no longer known. Their demand is
        # not known, so no task is placed on the worker until they have ended.
        self._unknown_demands = 0
        self.is_suspected = False
        self._is_failing = False
        self._suspected_until = float("-inf")
        capacity = registration.capacity
        self._processors = capacity.processors
        self._memory = capacity.memory
        self._accelerators = capacity.accelerators

    @property
    def processors(self):
        """Free processors in millicores."""
        return self._processors

    @processors.setter
    def processors(self, millicores):
        self._processors = millicores
        self._note_freed()

    @property
    def memory(self):
        """Free memory in MiB."""
        return self._memory

    @property
    def accelerators(self):
        """Number of free accelerators."""
        return self._accelerators

    @property
    def is_open(self):
        """Whether new tasks may be placed on the worker."""
        return self._is_open

    @is_open.setter
    def is_open(self, is_open):
        if is_open != self._is_open:
            self._is_open = is_open
            self._note_freed()

    @property
    def is_failing(self):
        """Whether runs of several jobs in a row failed on the worker."""
        return self._is_failing

    @is_failing.setter
    def is_failing(self, is_failing):
        if is_failing != self._is_failing:
            self._is_failing = is_failing
            if self._index is not None:
                self._index.note_failing(self)

    @property
    def tier(self):
        """Class of the worker's speed, a SpeedTier."""
        return self._tier

    @tier.setter
    def tier(self, tier):
        if tier != self._tier:
            self._tier = tier
            if self._index is not None:
                self._index.note_change(self)

    @property
    def has_unknown_demand(self):
        """Return whether the demand of one of its runs is not known."""
        return bool(self._unknown_demands)

    @property
    def serving_runs(self):
        """Return the number of its runs that have a limit on their tail latency."""
        return sum(1 for run in self.runs.values() if run.tail_limit)

    def join(self, index, number, team_usage):
        """Report all changes from now on.

        Parameters
        ----------
        index : RoomIndex
        number : int
        team_usage : TeamUsage
            Counts the runs by team.
        """
        self._index = index
        self._team_usage = team_usage
        self.number = number
        for run in self.runs.values():
            team_usage.add(run.team, run.team_demand)
        index.note_freed(self)
        if self._is_failing:
            index.note_failing(self)

    def leave(self):
        """Report no further changes, as the worker has left the pool."""
        if self._index is not None:
            self._index.discard(self)
            self._index = None
            for run in self.runs.values():
                self._team_usage.remove(run.team, run.team_demand)
            self._team_usage = None

    def change_kind(self, labels, capacity):
        """Set the labels and the capacity of the worker; it must not be indexed."""
        earlier = self.registration.capacity
        self._processors += capacity.processors - earlier.processors
        self._memory += capacity.memory - earlier.memory
        self._accelerators += capacity.accelerators - earlier.accelerators
        self.registration.labels, self.registration.capacity = labels, capacity
        self.rack = rack_label(labels)

    def drop_hold(self):
        """Drop the hold of the room; tasks that it kept away may fit now."""
        self.hold = None
        self._note_freed()

    def mark_suspected(self, now, seconds, is_failing=False):
        """Mark it as suspected for some seconds.

        Parameters
        ----------
        now, seconds : float
        is_failing : bool, optional
            Whether it is suspected because it fails the tasks it starts.
        """
        self._suspected_until = max(self._suspected_until, now + seconds)
        self.is_suspected = True
        self.is_failing = self._is_failing or is_failing

    def expire_suspicion(self, now):
        """Remove the mark of a suspected worker once its time is over."""
        if self.is_suspected:
            self.is_suspected = now < self._suspected_until
            self.is_failing = self._is_failing and self.is_suspected

    def has_room(self, demand):
        """Return whether a demand fits into the room."""
        return (
            not self._unknown_demands
            and demand.processors <= self._processors
            and demand.memory <= self._memory
            and demand.accelerators <= self._accelerators
        )

    def reserve(self, run):
        """Reserve room for a run."""
        if run.name not in self.runs:
            self.runs[run.name] = run
            self._count(run, 1)
            if self._index is not None:
                self._index.note_change(self)
                self._team_usage.add(run.team, run.team_demand)

    def release(self, run):
        """Release the room of a run whose end is certain."""
        if self.runs.pop(run.name, None) is not None:
            self._count(run, -1)
            self._note_freed()
            if self._index is not None:
                self._team_usage.remove(run.team, run.team_demand)

    def _note_freed(self):
        if self._index is not None:
            self._index.note_freed(self)

    def _count(self, run, sign):
        if run.demand is None:
            self._unknown_demands += sign
            return
        self._processors -= sign * run.demand.processors
        self._memory -= sign * run.demand.memory
        self._accelerators -= sign * run.demand.accelerators
        key = run.key.step_key
        self.step_counts[key] = self.step_counts.get(key, 0) + sign
        if not self.step_counts[key]:
            del self.step_counts[key]
        if run.is_filler:
            self.filler_runs += sign
