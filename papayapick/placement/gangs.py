"""Reserve all members of a job at once, now or at the earliest time."""

from papayapick.ledger import Amounts
from papayapick.placement.jobs import Place

__all__ = ["PromisedStart", "promise_start", "reserve_all"]

_NOTHING = Amounts()


class PromisedStart:
    """Hold the time at which all members of a job fit, and their hosts.

    Parameters
    ----------
    time : float
    holds : dict of str to Amounts
        Room that is free already on each host and must still be free then.
    """

    __slots__ = ("holds", "time")

    def __init__(self, time, holds):
        self.time = time
        self.holds = holds


def reserve_all(ledger, policy, job):
    """Reserve every member of a job, or none.

    Two jobs that each hold some of their members and wait for the rest would
    wait for each other for ever; under the ledger's lock neither sees the other
    half done, and a job that lacks one place gives all back before it returns.

    Parameters
    ----------
    ledger : HostLedger
    policy : HostPolicy
    job : WaitingJob

    Returns
    -------
    list of Place or None
    """
    places = []
    with ledger.lock:
        if not ledger.may_hold(job.demand, job.members):
            return None
        hidden = _hide(ledger, job.avoid)
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
            for name in hidden:
                ledger.open(name)
    return places


def promise_start(ledger, job, running, now):
    """Return when and where a job fits if every run lasts to its bound.

    Parameters
    ----------
    ledger : HostLedger
    job : WaitingJob
    running : iterable of RunningJob
    now : float

    Returns
    -------
    Promise or None
        None where the open hosts can't hold the job even when empty.
    """
    names = [name for name in ledger.open_hosts() if name not in job.avoid]
    free = {name: ledger.free(name) for name in names}
    released = {}
    counts = {name: _count(ledger, name, free[name], job) for name in names}
    room = sum(counts.values())
    time = now
    for end, host, amounts in _ends(running, now):
        if room >= job.members:
            break
        if host not in free:
            continue
        time = end
        released[host] = released.get(host, _NOTHING) + amounts
        count = _count(ledger, host, free[host] + released[host], job)
        room += count - counts[host]
        counts[host] = count
    if room < job.members:
        return None
    return PromisedStart(time, _holds(job, counts, released))


def _hide(ledger, names):
    hidden = [name for name in names if ledger.is_open(name)]
    for name in hidden:
        ledger.close(name)
    return hidden


def _ends(running, now):
    found = [
        (max(one.end, now), place.host, one.job.demand)
        for one in running
        for place in one.places
    ]
    return sorted(found, key=lambda end: end[0])


def _count(ledger, name, free, job):
    demand = job.demand
    free = ledger.usable(name, free, demand)
    count = job.members
    for there, needed in (
        (free.processors, demand.processors),
        (free.memory, demand.memory),
        (free.accelerators, demand.accelerators),
    ):
        if there < needed or there < 0:
            return 0
        if needed:
            count = min(count, there // needed)
    return count


def _holds(job, counts, released):
    # Most members to a host: fewer hosts are held.
    left = job.members
    holds = {}
    for name in sorted(counts, key=counts.get, reverse=True):
        members = min(left, counts[name])
        if not members:
            break
        left -= members
        holds[name] = _rest(job.demand, members, released.get(name, _NOTHING))
    return holds


def _rest(demand, members, released):
    return Amounts(
        max(0, demand.processors * members - released.processors),
        max(0, demand.memory * members - released.memory),
        max(0, demand.accelerators * members - released.accelerators),
    )
