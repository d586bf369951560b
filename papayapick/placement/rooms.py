"""Hold what each worker of a pool has room for, and choose among them."""

__all__ = ["Rooms", "WorkerRoom"]

_RACK = "r"


class WorkerRoom:
    """Hold the room of one worker and the runs that take it.

    Parameters
    ----------
    registration : Registration

    Attributes
    ----------
    is_open : bool
        Whether new tasks may be placed on it.
    is_suspected : bool
        What ran on it stood still or failed: it is used last.
    runs : dict
        Run by task key and attempt, until its end is sure.
    """

    __slots__ = (
        "_suspected_until",
        "accelerators",
        "filler_processors",
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
        self.runs = {}
        self.step_counts = {}
        self.filler_processors = 0
        self.is_suspected = False
        self._suspected_until = float("-inf")
        capacity = registration.capacity
        # What is free, in millicores, MiB and pieces.
        self.processors = capacity.processors
        self.memory = capacity.memory
        self.accelerators = capacity.accelerators

    @property
    def worker(self):
        """Return the id of the worker."""
        return self.registration.worker

    @property
    def rack(self):
        """Return the label of its rack, or an empty text."""
        for label in self.registration.labels:
            if label.startswith(_RACK) and "-" in label:
                return label
        return ""

    @property
    def serving(self):
        """Return how many of its runs have a response time to keep."""
        return sum(1 for run in self.runs.values() if run.tail_limit)

    def suspect(self, now, seconds):
        """Use it last for some seconds."""
        self._suspected_until = max(self._suspected_until, now + seconds)
        self.is_suspected = True

    def end_suspicion(self, now):
        """Use it as any other again if its time is over."""
        self.is_suspected = now < self._suspected_until

    def has_room(self, demand):
        """Return whether a demand fits beside all that is reserved."""
        return (
            demand.processors <= self.processors
            and demand.memory <= self.memory
            and demand.accelerators <= self.accelerators
        )

    def reserve(self, run):
        """Take room for a run."""
        if run.name in self.runs or run.demand is None:
            return
        self.runs[run.name] = run
        self._count(run, 1)

    def release(self, run):
        """Give back the room of a run whose end is sure."""
        if self.runs.pop(run.name, None) is not None:
            self._count(run, -1)

    def _count(self, run, sign):
        self.processors -= sign * run.demand.processors
        self.memory -= sign * run.demand.memory
        self.accelerators -= sign * run.demand.accelerators
        key = run.key.step_key
        self.step_counts[key] = self.step_counts.get(key, 0) + sign
        if not self.step_counts[key]:
            del self.step_counts[key]
        if run.is_filler:
            self.filler_processors += sign


class Rooms:
    """Hold the rooms of all workers of a pool."""

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
        """Drop a worker that is gone."""
        self._rooms.pop(worker, None)

    def able(self, step):
        """Return the workers that could hold a task of a step when empty.

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

    def choose(self, step_state, index, allowed=None, rack=None):
        """Return the best worker for a task, or None where it fits nowhere now.

        Parameters
        ----------
        step_state : StepState
        index : int
        allowed : container of str, optional
            Workers that may run the step; None for all.
        rack : str, optional
            Only workers of this rack.

        Returns
        -------
        WorkerRoom or None
        """
        step = step_state.step
        demand = step.room_demand
        avoid = step_state.tasks[index].avoid
        best = best_rank = None
        for room in self._rooms.values():
            if not room.is_open or not room.has_room(demand):
                continue
            registration = room.registration
            if allowed is not None and registration.worker not in allowed:
                continue
            if step.label and step.label not in registration.labels:
                continue
            if rack is not None and room.rack != rack:
                continue
            count = room.step_counts.get(step_state.key, 0)
            if step.tasks_per_worker and count >= step.tasks_per_worker:
                continue
            is_avoided = registration.worker in avoid or room.is_suspected
            rank = self._rank(step, room, is_avoided)
            if best_rank is None or rank < best_rank:
                best, best_rank = room, rank
        return best

    @staticmethod
    def _rank(step, room, is_avoided):
        """Return a key that is least for the best worker."""
        is_far = bool(step.preferred_rack) and step.preferred_rack != room.rack
        if step.is_filler:
            # Fillers live on what the others leave, and disturb those that serve.
            unused = room.processors - 4000 * room.filler_processors
            return (is_avoided, is_far, room.serving > 0, -unused)
        # Best fit: what is left over stays in large pieces, so that large tasks
        # find room; memory decides between equals.
        left = room.processors - step.demand.processors
        return (is_avoided, is_far, left, room.memory)
