"""Decide which machines of a wave have their upkeep next, and what leaves them first.

A wave asks that each of its machines has its upkeep within a time, and only so many at
once. What runs on a machine ends with its upkeep, so it is emptied first: nothing new
is placed there, short tasks end by themselves, lasting ones are moved one by one as
their step allows, and what is left is stopped when the time for one round is over.
"""

from papayapick.jobs.runs import RunPhase

__all__ = [
    "Wave",
    "WaveRecord",
    "choose_machines",
    "drain_limit_seconds",
    "runs_to_stop",
]

# A task that works has this percent once it is up; lasting tasks stay there.
_AT_WORK = 100
# A machine is emptied for no longer, however much time the wave has: the room that
# stands empty is missed elsewhere, and a task that takes longer loses little by a stop.
_MOST_PATIENCE_SECONDS = 8.0
# An order, the list of machines and a renewal take this long around an upkeep.
_ROUND_SECONDS = 1.5
# Of the time that is left, a share stays for calls that have no answer.
_TIME_SHARE = 0.8


class Wave:
    """Hold one wave of upkeep.

    Parameters
    ----------
    number : int
    machines : list of str
    seconds : float
        In which all of them are to begin their upkeep.
    at_once : int
        Most machines that may be away for it at the same time.
    """

    __slots__ = ("at_once", "machines", "number", "seconds")

    def __init__(self, number, machines, seconds, at_once):
        self.number = number
        self.machines = machines
        self.seconds = seconds
        self.at_once = at_once


class WaveRecord:
    """Hold how far an owner is with a wave, as its successor will read it.

    Parameters
    ----------
    ordered : dict of str to str
        Machines whose upkeep was or is being ordered, and whose return was not seen;
        with the worker that each had.
    begun : set of str
        Machines whose upkeep has begun.
    since : float
        Unix seconds at which the wave was taken up.
    version : int
        Of the row that holds it; 0 where there is none.
    """

    __slots__ = ("begun", "ordered", "since", "version")

    def __init__(self, since, ordered=None, begun=(), version=0):
        self.ordered = dict(ordered or {})
        self.begun = set(begun)
        self.since = since
        self.version = version

    @classmethod
    def from_row(cls, value, version):
        """Read what ``as_value`` returned."""
        return cls(value["since"], value["ordered"], value["begun"], version)

    def as_value(self):
        """Return the record for the store."""
        return {
            "since": self.since,
            "ordered": self.ordered,
            "begun": sorted(self.begun),
        }

    def note_machines(self, machines):
        """Take in the list of machines: those that are back are not away any more.

        An order that had no answer may still be carried out: only a machine whose
        upkeep has begun, and that is up with another worker, is back.

        Parameters
        ----------
        machines : dict of str to Machine
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
    """Return the machines of an owner that are emptied and have their upkeep now.

    Parameters
    ----------
    wave : Wave
    record : WaveRecord
    machines : dict of str to Machine
        All of the platform, by name.
    is_own : callable
        Takes a machine; returns whether its upkeep is this owner's part.
    loads : dict of str to int
        For each worker, millicores of what runs there.
    draining : container of str
        Workers that are being emptied already.

    Returns
    -------
    list of str
        Those ordered before come first: their upkeep may have begun unseen.
    """
    in_upkeep = {
        name
        for name in wave.machines
        if name in machines and machines[name].is_in_upkeep
    }
    left = [
        name
        for name in wave.machines
        if name in machines and is_own(machines[name]) and name not in record.begun
    ]
    again = [name for name in left if name in record.ordered]

    def rank(name):
        # One that is being emptied stays: loads change with each end, and two machines
        # taken by turns would never be empty. Else where the least runs, the least is
        # moved, and it is ready soonest.
        worker = machines[name].worker
        return worker not in draining, loads.get(worker, 0), name

    fresh = sorted(
        (name for name in left if name not in record.ordered and machines[name].is_up),
        key=rank,
    )
    away = in_upkeep | set(record.ordered)
    return again + fresh[: max(0, wave.at_once - len(away))]


def drain_limit_seconds(rest, left, at_once, upkeep_seconds):
    """Return how long a machine may be emptied before what is left is stopped.

    Parameters
    ----------
    rest : float
        Seconds until the wave is to be done.
    left : int
        Machines whose upkeep has not begun.
    at_once : int
    upkeep_seconds : float

    Examples
    --------
    >>> patience_seconds(60.0, 6, 2, 2.0)
    8.0
    >>> round(patience_seconds(20.0, 6, 2, 2.0), 2)
    1.83
    >>> patience_seconds(5.0, 6, 2, 2.0)
    0.0
    """
    rounds = max(1, -(-left // max(1, at_once)))
    # The last round need only begin.
    spare = rest * _TIME_SHARE / rounds - upkeep_seconds - _ROUND_SECONDS
    return min(_MOST_PATIENCE_SECONDS, max(0.0, spare))


def runs_to_stop(room, step_of, is_over):
    """Return the runs of a machine that is emptied which are to be stopped now.

    Parameters
    ----------
    room : WorkerRoom
    step_of : callable
        Takes a task's key; returns its StepState, or None where that is over.
    is_over : bool
        The time for emptying is over.

    Returns
    -------
    list of Run
    """
    found, moved = [], {}
    for run in room.runs.values():
        if run.stop_requested is not None:
            continue
        step = step_of(run.key)
        if step is None or not step.step.is_lasting:
            if is_over:
                found.append(run)
            continue
        count = moved.get(step.key, 0)
        if _may_move(step, run, count):
            moved[step.key] = count + 1
            found.append(run)
    return found


def _may_move(step, run, moved):
    """Return whether one more task of a lasting step may be away."""
    limit = step.step.unavailable_limit
    if not limit or not _is_at_work(run):
        return True
    away = moved + sum(
        not any(_is_at_work(one) for one in task.runs)
        for index, task in enumerate(step.tasks)
        if index != run.key.index
    )
    return away < limit


def _is_at_work(run):
    return (
        run.phase == RunPhase.RUNNING
        and run.stop_requested is None
        and run.percent == _AT_WORK
    )
