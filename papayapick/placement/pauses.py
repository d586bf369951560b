"""Choose which deferred jobs to checkpoint so that urgent ones fit."""

from papayapick.ledger import Amounts

__all__ = ["choose_pauses"]

_NOTHING = Amounts()
_MARGIN_SECONDS = 300.0


def choose_pauses(ledger, quotas, claims, running, now):
    """Return jobs whose pause makes room for jobs that have a claim to it.

    An urgent job may have any deferred job paused, other jobs within their quota
    only those of teams that are over theirs. A job is paused only where it could
    still run whole before its deadline, so that deferred work arrives even if its
    checkpoint is lost. Each member takes the host where fewest jobs are paused,
    those with the latest deadlines first; a paused job frees all its members' room.

    Parameters
    ----------
    ledger : HostLedger
    quotas : QuotaBook
    claims : iterable of WaitingJob
        In their order; the first that no pause can help ends the search.
    running : iterable of RunningJob
    now : float

    Returns
    -------
    list of RunningJob
    """
    room = _Room(ledger, quotas, running, now)
    chosen = []
    for job in claims:
        found = room.make(job)
        if found is None:
            break
        chosen += found
    return chosen


def _can_pause(one, now):
    job = one.job
    slack = job.deadline - now - job.run_seconds
    return job.can_pause and not one.is_given_up and slack > _MARGIN_SECONDS


class _Room:
    """Count what is free, and would be, on each host."""

    __slots__ = ("_free", "_ledger", "_on_host", "_paused", "_quotas", "_returned")

    def __init__(self, ledger, quotas, running, now):
        self._ledger = ledger
        self._quotas = quotas
        self._returned = {}
        self._free = {name: ledger.free(name) for name in ledger.open_hosts()}
        self._on_host = {}
        self._paused = set()
        found = sorted(running, key=lambda one: one.job.deadline, reverse=True)
        for one in found:
            if one.is_pausing:
                # Its room comes free already.
                self._pause(one)
            elif _can_pause(one, now):
                for place in one.places:
                    self._on_host.setdefault(place.host, []).append(one)

    def make(self, job):
        """Return what to pause for a job, or None where no pause helps."""
        before, paused = dict(self._free), set(self._paused)
        returned = dict(self._returned)
        chosen = []
        for _ in range(job.members):
            found = self._place(job)
            if found is None:
                self._free, self._paused = before, paused
                self._returned = returned
                return None
            chosen += found
        return chosen

    def _place(self, job):
        best, host = None, None
        for name in self._free:
            if name in job.avoid:
                continue
            found = self._needed(name, job, best)
            if found is not None and (best is None or len(found) < len(best)):
                best, host = found, name
                if not best:
                    break
        if best is None:
            return None
        for one in best:
            self._pause(one)
        self._free[host] = self._free[host] - job.demand
        return best

    def _needed(self, name, job, best):
        demand = job.demand
        free = self._free[name]
        found = []
        for one in self._on_host.get(name, ()):
            if self._fits(name, free, demand):
                break
            if best is not None and len(found) + 1 >= len(best):
                return None
            if self._may_pause(one, job) and one not in found:
                found.append(one)
                for place in one.places:
                    if place.host == name:
                        free = free + one.job.demand
        return found if self._fits(name, free, demand) else None

    def _may_pause(self, one, job):
        if one.job.name in self._paused:
            return False
        returned = self._returned.get(one.job.team, _NOTHING)
        return job.is_urgent or self._quotas.is_over(one.job.team, returned)

    def _fits(self, name, free, demand):
        return demand.fits_in(self._ledger.usable(name, free, demand))

    def _pause(self, one):
        self._paused.add(one.job.name)
        returned = self._returned.get(one.job.team, _NOTHING)
        for _ in one.places:
            returned = returned + one.job.demand
        self._returned[one.job.team] = returned
        for place in one.places:
            if place.host in self._free:
                self._free[place.host] = self._free[place.host] + one.job.demand
