"""Keep room free for urgent steps while patient ones would take all of it.

Load pattern: the work of patient queues exceeds the capacity of the pool for long, and
urgent jobs arrive in waves and bursts. Every worker is full of tasks that take seconds;
an urgent task waits until one of them ends or is stopped, which takes longer than its
job has time. So the room that urgent jobs needed at their recent peak and do not use
now is kept on some workers, and patient tasks are placed on the others. What patient
queues lose is bounded by a share of the pool.
"""

import collections

__all__ = ["Headroom"]

# Longer than a burst, so that the room is still there when the next one begins.
_WINDOW_SECONDS = 10.0
# A larger share delays patient jobs by more than it saves urgent ones.
_MAX_SHARE = 0.06
# While more than this share of the pool is free, urgent tasks find room anyway, and a
# patient task that few workers may run must not wait for it.
_AMPLE_SHARE = 0.3


class _Usage:
    """Sum up what the tasks of one priority use and wait for, in millicores."""

    __slots__ = ("tasks", "used", "wanted")

    def __init__(self):
        self.tasks = 0
        self.used = 0
        self.wanted = 0

    def add(self, step):
        """Add the tasks of a step that run or wait; second copies do not count."""
        demand = step.step.room_demand.processors
        self.tasks += step.unfinished_tasks
        self.used += (step.unfinished_tasks - len(step.waiting)) * demand
        self.wanted += step.unfinished_tasks * demand


class Headroom:
    """Choose the workers whose room is kept for the most urgent queue at work.

    Parameters
    ----------
    rooms : Rooms

    Attributes
    ----------
    lends : bool
        Whether tasks with checkpoints may use what is kept, since they are stopped for
        urgent ones that need it. The others leave it free.
    """

    # For the record that the next owner of the pool continues from.
    name = "urgent-peak"
    version = 1

    __slots__ = (
        "_is_short",
        "_kept",
        "_limits",
        "_peaks",
        "_priority",
        "_restored",
        "_rooms",
        "_task_processors",
        "lends",
    )

    def __init__(self, rooms):
        self._rooms = rooms
        self.lends = False
        # Age and millicores of the peak that an earlier owner saw, until the next
        # update.
        self._restored = None
        # Priority of the queue for which room is kept.
        self._priority = None
        # Millicores to keep by room.
        self._kept = {}
        # Whether the last round found so little free that what is kept limits others.
        self._limits = False
        # Whether the room that is kept is less than urgent jobs may need.
        self._is_short = False
        # Time and millicores that urgent jobs wanted within the window.
        self._peaks = collections.deque()
        # Mean demand of an urgent task: less room than that is of no use to them.
        self._task_processors = 0

    @property
    def priority(self):
        """Priority of the queue for which room is kept; infinite if there is none."""
        return float("inf") if self._priority is None else self._priority

    def as_record(self, now):
        """Return the recent peak for the next owner of the pool.

        Parameters
        ----------
        now : float
            Monotonic seconds.

        Returns
        -------
        dict of str to float, or None
            None if no room is kept, or none is lent: room is then kept as without a
            record.
        """
        if not self.lends or self._priority is None or not self._peaks:
            return None
        at, wanted = max(self._peaks, key=lambda peak: (peak[1], peak[0]))
        return {
            "priority": self._priority,
            "task_processors": self._task_processors,
            "wanted": wanted,
            "age_seconds": now - at,
        }

    def restore(self, record, age_seconds):
        """Continue from the record of an earlier owner.

        Parameters
        ----------
        record : dict of str to float
        age_seconds : float
            Since the record was made.

        Raises
        ------
        LookupError, TypeError, ValueError
            If the record can't be read; nothing is changed then.
        """
        priority, processors = int(record["priority"]), int(record["task_processors"])
        age = float(record["age_seconds"]) + age_seconds
        wanted = int(record["wanted"])
        if processors <= 0 or wanted < 0:
            raise ValueError(record)
        if age <= _WINDOW_SECONDS and self._priority is None:
            self._priority, self._task_processors = priority, processors
            self._restored = age, wanted

    def update(self, jobs, now):
        """Choose anew what is kept; return the rooms of which less is kept now.

        Parameters
        ----------
        jobs : iterable of JobState
            Without a final status.
        now : float
            Monotonic seconds.

        Returns
        -------
        set of WorkerRoom
        """
        if self._restored is not None:
            age, wanted = self._restored
            self._restored = None
            self._peaks.append((now - age, wanted))
        usage = self._measure(jobs, now)
        before, was_short = self._kept, self._is_short
        self._kept, self._is_short = {}, False
        if self._task_processors:
            self._keep(self._needed_tasks(usage))
        if was_short and not self._is_short:
            return set(self._useful())
        return {room for room in before if self._kept.get(room, 0) < before[room]}

    def lift(self):
        """Return the rooms that others may use again, as much of the pool is free now.

        Returns
        -------
        set of WorkerRoom
            Empty if they could use them in the last round, or can't now.
        """
        did_limit, self._limits = self._limits, not self._is_ample()
        return set(self._rooms.worst_fit()) if did_limit and not self._limits else set()

    def admits(self, room, step_state):
        """Return whether a task of a step may be placed on a worker.

        Lasting tasks are not patient: they serve requests as long as they run. A task
        for which the worker is held has waited for its turn.

        Parameters
        ----------
        room : WorkerRoom
        step_state : StepState
        """
        if not self._kept and not self._is_short:
            return True
        step = step_state.step
        if step.is_lasting or step_state.job.priority <= self._priority:
            return True
        if self.lends and step.has_checkpoints and not step.is_gang:
            return True
        if room.hold is not None and room.hold.step_key == step_state.key:
            return True
        if self._is_ample():
            return True
        return step.room_demand.processors <= room.processors - self._kept_on(room)

    def _is_ample(self):
        free = self._rooms.free_processors
        return free > _AMPLE_SHARE * self._rooms.capacity_processors

    def _kept_on(self, room):
        if self._is_short:
            # Freed since, and of use for the urgent tasks that lack room.
            return room.processors - room.processors % self._task_processors
        return self._kept.get(room, 0)

    def _measure(self, jobs, now):
        """Return the usage of the most urgent queue with work that ends."""
        found = {}
        for job in jobs:
            if job.document.is_lasting or job.document.is_timed:
                continue
            usage = found.setdefault(job.priority, _Usage())
            for step in job.steps():
                if step.is_ready and not step.is_done:
                    usage.add(step)
        urgent = min(found, default=None)
        if urgent is not None and (self._priority is None or urgent <= self._priority):
            if urgent != self._priority:
                self._peaks.clear()
            self._priority = urgent
        usage = found.get(self._priority, _Usage())
        if usage.tasks:
            self._task_processors = usage.wanted // usage.tasks
        self._peaks.append((now, usage.wanted))
        while now - self._peaks[0][0] > _WINDOW_SECONDS:
            self._peaks.popleft()
        if not any(wanted for _, wanted in self._peaks):
            # The next most urgent queue may be one that was patient beside this one.
            self._priority = None
        return usage

    def _needed_tasks(self, usage):
        """Return the number of urgent tasks to keep room for."""
        peak = max(wanted for _, wanted in self._peaks)
        needed = min(peak - usage.used, _MAX_SHARE * self._rooms.capacity_processors)
        return needed // self._task_processors

    def _keep(self, tasks):
        for room in self._useful():
            if tasks <= 0:
                break
            kept = min(tasks, room.processors // self._task_processors)
            self._kept[room] = kept * self._task_processors
            tasks -= kept
        self._is_short = tasks > 0

    def _useful(self):
        """Yield the open workers with room for an urgent task.

        Those come first to which a patient task would be given last.
        """
        for room in self._rooms.worst_fit():
            if room.processors >= self._task_processors:
                yield room
