"""Reserve room for all members of a job at once, now or at the earliest time."""

from papayapick.ledger import Amounts
from papayapick.placement.requests.jobs import Place

__all__ = ["PromisedStart", "promise_start", "reserve_all"]

_NOTHING = Amounts()


class PromisedStart:
    """Time at which all members of a job fit, and the room to hold for them.

    Parameters
    ----------
    time : float
    holds : dict of str to Amounts
        Room that is free now on each host and must stay free until that time.
    """

    __slots__ = ("holds", "time")

    def __init__(self, time, holds):
        self.time = time
        self.holds = holds


def reserve_all(ledger, policy, job):
    """Reserve room for every member of a job, or for none.

    Two jobs that each hold room for some of their members and wait for the rest
    would deadlock. The ledger's lock is held throughout, and if one member does not
    fit, all reservations are released before the function returns.

    Parameters
    ----------
    ledger : HostLedger
    policy : HostPolicy
    job : WaitingJob

    Returns
    -------
    list of Place or None
        None if the job does not fit.
    """
    places = []
    with ledger.lock:
        if not ledger.may_have_room(job.demand, job.members):
            return None
        closed = _close(ledger, job.avoid)
        try:
            for number in range(job.members):
                name = policy.choose(ledger, job.demand)
                if name is None:
                    for place in places:
                        ledger.release(place.task)
                    return None
                task = f"{job.name}.{job.attempt}.{number}"
                ledger.reserve(name, task, job.demand)
                places.append(Place(name, task))
        finally:
            for name in closed:
                ledger.open(name)
    return places


def promise_start(ledger, job, running, now):
    """Return the earliest start of a job if every run takes its maximum run time.

    Parameters
    ----------
    ledger : HostLedger
    job : WaitingJob
    running : iterable of RunningJob
    now : float

    Returns
    -------
    PromisedStart or None
        None if the job does not fit on the open hosts even when they are empty.
    """
    names = [name for name in ledger.open_hosts() if name not in job.avoid]
    free = {name: ledger.free(name) for name in names}
    released = {}
    counts = {name: _members_that_fit(ledger, name, free[name], job) for name in names}
    fitting = sum(counts.values())
    time = now
    for end, host, amounts in _ends(running, now):
        if fitting >= job.members:
            break
        if host not in free:
            continue
        time = end
        released[host] = released.get(host, _NOTHING) + amounts
        count = _members_that_fit(ledger, host, free[host] + released[host], job)
        fitting += count - counts[host]
        counts[host] = count
    if fitting < job.members:
        return None
    return PromisedStart(time, _holds(job, counts, released))


def _close(ledger, names):
    closed = [name for name in names if ledger.is_open(name)]
    for name in closed:
        ledger.close(name)
    return closed


def _ends(running, now):
    ends = [
        (max(one.end, now), place.host, one.job.demand)
        for one in running
        for place in one.places
    ]
    return sorted(ends, key=lambda end: end[0])


def _members_that_fit(ledger, name, free, job):
    demand = job.demand
    free = ledger.usable(name, free, demand)
    count = job.members
    for available, needed in (
        (free.processors, demand.processors),
        (free.memory, demand.memory),
        (free.accelerators, demand.accelerators),
    ):
        if available < needed or available < 0:
            return 0
        if needed:
            count = min(count, available // needed)
    return count


def _holds(job, counts, released):
    # Fill the hosts that fit most members first, so that room is held on fewer hosts.
    remaining = job.members
    holds = {}
    for name in sorted(counts, key=counts.get, reverse=True):
        members = min(remaining, counts[name])
        if not members:
            break
        remaining -= members
        holds[name] = _room_to_hold(job.demand, members, released.get(name, _NOTHING))
    return holds


def _room_to_hold(demand, members, released):
    return Amounts(
        max(0, demand.processors * members - released.processors),
        max(0, demand.memory * members - released.memory),
        max(0, demand.accelerators * members - released.accelerators),
    )
