"""Choose the machines of a wave that have their upkeep next, and drain them.

A wave requires the upkeep of each of its machines within a time, and limits how many
may be out of service at once. The upkeep ends all runs on a machine, so the machine is
drained first: no task is placed there, short tasks run to their end, lasting ones are
moved one by one as their step allows, and the others are stopped when the time for
draining is over.
"""

from papayapick.jobs.runs import RunPhase

__all__ = [
    "Wave",
    "WaveRecord",
    "choose_machines",
    "drain_limit_seconds",
    "runs_to_stop",
]

# Progress at which a lasting task serves requests; it stays there.
_SERVING_PERCENT = 100
# Maximum time for draining a machine, however much time the wave has: its empty room is
# missing elsewhere, and a task that runs longer loses little by a stop.
_MAX_DRAIN_SECONDS = 8.0
# Time that the order, the list of machines and a renewal add to one upkeep.
_ROUND_SECONDS = 1.5
# Share of the remaining time that is planned. The rest is a reserve for calls without
# an answer.
_TIME_SHARE = 0.8


class Wave:
    """Wave of upkeep of some machines.

    Parameters
    ----------
    number : int
    machines : list of str
    seconds : float
        Time within which the upkeep of all of them must begin.
    at_once : int
        Maximum number of machines that may be out of service at the same time.
    """

    __slots__ = ("at_once", "machines", "number", "seconds")

    def __init__(self, number, machines, seconds, at_once):
        self.number = number
        self.machines = machines
        self.seconds = seconds
        self.at_once = at_once


class WaveRecord:
    """Progress of an owner's work on a wave, stored for its successor.

    Parameters
    ----------
    since : float
        Unix seconds at which the owner began with the wave.
    ordered : dict of str to str
        Worker by machine, of machines whose upkeep was or is being ordered and that are
        not known to be back.
    begun : set of str
        Machines whose upkeep has begun.
    version : int
        Version of the row that stores the record; 0 if there is none.
    """

    __slots__ = ("begun", "ordered", "since", "version")

    def __init__(self, since, ordered=None, begun=(), version=0):
        self.ordered = dict(ordered or {})
        self.begun = set(begun)
        self.since = since
        self.version = version

    @classmethod
    def from_row(cls, value, version):
        """Return the record for a value returned by ``as_value``."""
        return cls(value["since"], value["ordered"], value["begun"], version)

    def as_value(self):
        """Return the record as a value for the store."""
        return {
            "since": self.since,
            "ordered": self.ordered,
            "begun": sorted(self.begun),
        }

    def note_machines(self, machines):
        """Remove the machines that are back or no longer listed from ``ordered``.

        An order without an answer may still be carried out. Therefore a machine is back
        only if its upkeep has begun, and it is up with another worker.

        Parameters
        ----------
        machines : dict of str to Machine
            All machines of the platform, by name.
        """
        for name, worker in list(self.ordered.items()):
            machine = machines.get(name)
            is_back = (
                machine is not None
                and name in self.begun
                and machine.is_up
                and machine.worker not in ("", worker)
            )
            if machine is None or is_back:
                del self.ordered[name]


def choose_machines(wave, record, machines, is_own, loads, draining=()):
    """Return the machines of an owner to drain and order upkeep for now.

    Parameters
    ----------
    wave : Wave
    record : WaveRecord
    machines : dict of str to Machine
        All machines of the platform, by name.
    is_own : callable
        Takes a machine; returns whether this owner is responsible for its upkeep.
    loads : dict of str to int
        Reserved millicores by worker.
    draining : container of str
        Workers that are draining already.

    Returns
    -------
    list of str
        Machines whose upkeep was ordered before come first, since it may have begun
        without an answer.
    """
    in_upkeep = {
        name
        for name in wave.machines
        if name in machines and machines[name].is_in_upkeep
    }
    not_begun = [
        name
        for name in wave.machines
        if name in machines and is_own(machines[name]) and name not in record.begun
    ]
    ordered_before = [name for name in not_begun if name in record.ordered]

    def rank(name):
        # A draining machine stays chosen: loads change with each run that ends, and two
        # machines chosen alternately would never be empty. Otherwise, the machine with
        # the lowest load is empty soonest, and fewest runs are moved.
        worker = machines[name].worker
        return worker not in draining, loads.get(worker, 0), name

    not_ordered = sorted(
        (
            name
            for name in not_begun
            if name not in record.ordered and machines[name].is_up
        ),
        key=rank,
    )
    unavailable = in_upkeep | set(record.ordered)
    return ordered_before + not_ordered[: max(0, wave.at_once - len(unavailable))]


def drain_limit_seconds(remaining, machines_left, at_once, upkeep_seconds):
    """Return how long a machine may drain before its remaining runs are stopped.

    Parameters
    ----------
    remaining : float
        Seconds until the wave must be done.
    machines_left : int
        Number of machines whose upkeep has not begun.
    at_once : int
        Maximum number of machines that may be out of service at the same time.
    upkeep_seconds : float

    Returns
    -------
    float
        Seconds.

    Examples
    --------
    >>> drain_limit_seconds(60.0, 6, 2, 2.0)
    8.0
    >>> round(drain_limit_seconds(20.0, 6, 2, 2.0), 2)
    1.83
    >>> drain_limit_seconds(5.0, 6, 2, 2.0)
    0.0
    """
    rounds = max(1, -(-machines_left // max(1, at_once)))
    # The upkeep of the last round only has to begin in time.
    spare = remaining * _TIME_SHARE / rounds - upkeep_seconds - _ROUND_SECONDS
    return min(_MAX_DRAIN_SECONDS, max(0.0, spare))


def runs_to_stop(room, step_of, is_over):
    """Return the runs to stop now on a draining worker.

    Parameters
    ----------
    room : WorkerRoom
    step_of : callable
        Takes the key of a task; returns its StepState, or None if that has ended.
    is_over : bool
        Whether the time for draining is over.

    Returns
    -------
    list of Run
    """
    stopping, moved = [], {}
    for run in room.runs.values():
        if run.stop_requested is not None:
            continue
        step = step_of(run.key)
        if step is None or not step.step.is_lasting:
            if is_over:
                stopping.append(run)
            continue
        count = moved.get(step.key, 0)
        if _may_move(step, run, count):
            moved[step.key] = count + 1
            stopping.append(run)
    return stopping


def _may_move(step, run, moved):
    """Return whether one more task of a lasting step may be unavailable."""
    limit = step.step.unavailable_limit
    if not limit or not _is_serving(run):
        return True
    unavailable = moved + sum(
        not any(_is_serving(one) for one in task.runs)
        for index, task in enumerate(step.tasks)
        if index != run.key.index
    )
    return unavailable < limit


def _is_serving(run):
    return (
        run.phase == RunPhase.RUNNING
        and run.stop_requested is None
        and run.percent == _SERVING_PERCENT
    )
