"""Room of the workers of a pool, and the choice of a worker for a task.

The room of a worker is the part of its capacity that no run has reserved.
"""

from papayapick.ledger import Amounts

__all__ = ["Rooms", "WorkerRoom", "may_run"]

_RACK_LABEL_PREFIX = "r"
# Maximum share of the workers that is excluded because they fail the tasks they start.
_MAX_EXCLUDED_SHARE = 0.25


class WorkerRoom:
    """Room of one worker, and the runs that have reserved the rest of its capacity.

    Parameters
    ----------
    registration : Registration

    Attributes
    ----------
    processors, memory, accelerators : int
        The room, in millicores, MiB and devices.
    is_open : bool
        Whether new tasks may be placed on it.
    is_suspected : bool
        Whether runs on it stalled, were slow or failed, so that it is used last.
    is_failing : bool
        Whether runs of several jobs in a row failed on it.
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
        "_suspected_until",
        "_unknown_demands",
        "accelerators",
        "filler_runs",
        "hold",
        "is_draining",
        "is_failing",
        "is_open",
        "is_suspected",
        "memory",
        "processors",
        "registration",
        "runs",
        "step_counts",
    )

    def __init__(self, registration):
        self.registration = registration
        self.is_open = False
        self.is_draining = False
        self.runs = {}
        self.step_counts = {}
        self.filler_runs = 0
        self.hold = None
        # Number of runs of jobs that have ended or are no longer known. Their demand is
        # not known, so no task is placed on the worker until they have ended.
        self._unknown_demands = 0
        self.is_suspected = False
        self.is_failing = False
        self._suspected_until = float("-inf")
        capacity = registration.capacity
        self.processors = capacity.processors
        self.memory = capacity.memory
        self.accelerators = capacity.accelerators

    @property
    def worker(self):
        """Return the id of the worker."""
        return self.registration.worker

    @property
    def rack(self):
        """Return the label of its rack, or an empty string."""
        for label in self.registration.labels:
            if label.startswith(_RACK_LABEL_PREFIX) and "-" in label:
                return label
        return ""

    @property
    def has_unknown_demand(self):
        """Return whether the demand of one of its runs is not known."""
        return bool(self._unknown_demands)

    @property
    def serving_runs(self):
        """Return the number of its runs that have a limit on their tail latency."""
        return sum(1 for run in self.runs.values() if run.tail_limit)

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
        self.is_failing = self.is_failing or is_failing

    def expire_suspicion(self, now):
        """Remove the mark of a suspected worker once its time is over."""
        self.is_suspected = now < self._suspected_until
        self.is_failing = self.is_failing and self.is_suspected

    def has_room(self, demand):
        """Return whether a demand fits into the room."""
        return (
            not self._unknown_demands
            and demand.processors <= self.processors
            and demand.memory <= self.memory
            and demand.accelerators <= self.accelerators
        )

    def reserve(self, run):
        """Reserve room for a run."""
        if run.name not in self.runs:
            self.runs[run.name] = run
            self._count(run, 1)

    def release(self, run):
        """Release the room of a run whose end is certain."""
        if self.runs.pop(run.name, None) is not None:
            self._count(run, -1)

    def _count(self, run, sign):
        if run.demand is None:
            self._unknown_demands += sign
            return
        self.processors -= sign * run.demand.processors
        self.memory -= sign * run.demand.memory
        self.accelerators -= sign * run.demand.accelerators
        key = run.key.step_key
        self.step_counts[key] = self.step_counts.get(key, 0) + sign
        if not self.step_counts[key]:
            del self.step_counts[key]
        if run.is_filler:
            self.filler_runs += sign


class Rooms:
    """Rooms of all workers of a pool."""

    __slots__ = ("_rooms",)

    def __init__(self):
        self._rooms = {}

    def __iter__(self):
        return iter(self._rooms.values())

    def __len__(self):
        return len(self._rooms)

    def get(self, worker):
        """Return the room of a worker, or None."""
        return self._rooms.get(worker)

    def add(self, room):
        """Add the room of a worker."""
        self._rooms[room.worker] = room

    def remove(self, worker):
        """Remove the room of a worker."""
        self._rooms.pop(worker, None)

    def able(self, step):
        """Return the workers that could run a task of a step if they were empty.

        Parameters
        ----------
        step : Step

        Returns
        -------
        list of WorkerRoom
        """
        demand = step.room_demand
        return [
            room
            for room in self._rooms.values()
            if demand.fits_in(room.registration.capacity)
            and (not step.label or step.label in room.registration.labels)
        ]

    def max_free(self):
        """Return the maximum of each amount over the rooms of the open workers.

        A demand that exceeds it fits on no worker, which saves a check of each worker.
        """
        processors = memory = accelerators = 0
        for room in self._rooms.values():
            if room.is_open:
                processors = max(processors, room.processors)
                memory = max(memory, room.memory)
                accelerators = max(accelerators, room.accelerators)
        return Amounts(processors, memory, accelerators)

    def choose(self, step_state, index, allowed=None, rack=None):
        """Return the best worker for a task, or None if none has room now.

        Parameters
        ----------
        step_state : StepState
        index : int
        allowed : container of str, optional
            Workers that may run the step; None for all.
        rack : str, optional
            Rack to which the choice is limited.

        Returns
        -------
        WorkerRoom or None
        """
        step = step_state.step
        task = step_state.tasks[index]
        excluded = self._excluded_failing()
        best = best_rank = None
        for room in self._with_room(step_state, allowed, rack):
            worker = room.worker
            has_failed_there = worker in task.failed_on
            # A lasting task may fail on any worker at any time, and the number of its
            # failures is not limited. A worker on which it failed is used last, but the
            # task does not wait for others that are full.
            if has_failed_there and not step.is_lasting or room in excluded:
                continue
            is_avoided = has_failed_there or worker in task.avoid or room.is_suspected
            rank = self._rank(step, room, is_avoided)
            if best_rank is None or rank < best_rank:
                best, best_rank = room, rank
        if best is None and task.failed_on and not step.is_lasting:
            return self._choose_failed_on(step_state, task, allowed, rack)
        return best

    def has_room_for(self, step_state, excluded):
        """Return whether a worker has room for a task of a step now.

        Parameters
        ----------
        step_state : StepState
        excluded : container of str
            Workers to leave out.
        """
        free = self._with_room(step_state, None, None)
        return any(room.worker not in excluded for room in free)

    def _with_room(self, step_state, allowed, rack):
        """Yield the workers that have room for a task of a step now.

        The cheapest check that rules out most workers comes first, since all workers
        are examined for each task that is placed.
        """
        step = step_state.step
        demand = step.room_demand
        processors, memory = demand.processors, demand.memory
        for room in self._rooms.values():
            if room.processors < processors or room.memory < memory:
                continue
            if not (room.is_open and room.has_room(demand)):
                continue
            if not may_run(room, step, allowed, rack):
                continue
            if room.hold is not None and not room.hold.admits(step_state):
                continue
            if _allows_another(room, step_state):
                yield room

    def _choose_failed_on(self, step_state, task, allowed, rack):
        """Return a worker for a task that has failed on all that may run it, or None.

        None is returned too if the task should wait for a worker on which it has not
        failed, and which is full or closed now. It does not wait for a worker that is
        leaving or that runs as many tasks of the step as allowed, since it could wait
        indefinitely although another worker is free. In the latter case, however, it
        waits rather than run on a suspected worker.
        """
        is_at_limit = False
        for room in self.able(step_state.step):
            if room.worker in task.failed_on or room.registration.is_leaving:
                continue
            if may_run(room, step_state.step, allowed, rack):
                if _allows_another(room, step_state):
                    return None
                is_at_limit = True
        free = [
            room
            for room in self._with_room(step_state, allowed, rack)
            if not (is_at_limit and room.is_suspected)
        ]
        return min(free, key=lambda room: room.processors, default=None)

    def _excluded_failing(self):
        """Return the workers to exclude because they fail the tasks they start.

        Such a worker is always empty and attracts each task that has no room elsewhere:
        a job would use up four attempts there within half a second and fail, although
        its tasks could wait. If many workers are failing, the cause is more likely
        elsewhere, and none is excluded.
        """
        failing = [room for room in self._rooms.values() if room.is_failing]
        if len(failing) > _MAX_EXCLUDED_SHARE * len(self._rooms):
            return ()
        return failing

    @staticmethod
    def _rank(step, room, is_avoided):
        """Return a sort key that is lowest for the best worker."""
        is_far = bool(step.preferred_rack) and step.preferred_rack != room.rack
        if step.is_filler:
            # Fillers use the processors that other runs leave unused, here 4000
            # millicores each, and disturb runs with a limit on their tail latency.
            unused_processors = room.processors - 4000 * room.filler_runs
            return (is_avoided, is_far, room.serving_runs > 0, -unused_processors)
        # Best fit keeps the free room in large pieces, so that large tasks fit. On
        # workers with accelerators, these are the amount that large tasks lack. Memory
        # decides between equal workers.
        processors_left = room.processors - step.demand.processors
        return (is_avoided, is_far, room.accelerators, processors_left, room.memory)


def may_run(room, step, allowed, rack=None):
    """Return whether a worker may run a step, regardless of its room."""
    registration = room.registration
    if allowed is not None and registration.worker not in allowed:
        return False
    if step.label and step.label not in registration.labels:
        return False
    return rack is None or room.rack == rack


def _allows_another(room, step_state):
    """Return whether a worker runs fewer tasks of a step than allowed."""
    limit = step_state.step.tasks_per_worker
    return not limit or room.step_counts.get(step_state.key, 0) < limit
