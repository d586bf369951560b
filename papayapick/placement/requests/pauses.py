"""Choose the deferred jobs to checkpoint so that urgent ones fit."""

from papayapick.ledger import Amounts

__all__ = ["choose_pauses"]

_NOTHING = Amounts()
# Minimum slack of a paused job: its deadline less its whole run time.
_MIN_SLACK_SECONDS = 300.0


def choose_pauses(ledger, quotas, claims, running, now):
    """Return the jobs to pause to make room for the jobs that have a claim to it.

    For an urgent job any deferred job may be paused; for other jobs, which are within
    the quota of their team, only jobs of teams that exceed theirs. A job is paused only
    if it could still run from the start before its deadline, so that it meets the
    deadline even if its checkpoint is lost. Each member is placed on the host on which
    fewest jobs must be paused, and jobs with the latest deadlines are paused first. A
    paused job frees the room of all its members.

    Parameters
    ----------
    ledger : HostLedger
    quotas : QuotaTracker
    claims : iterable of WaitingJob
        In the order of service. The search ends at the first for which pauses cannot
        make room.
    running : iterable of RunningJob
    now : float

    Returns
    -------
    list of RunningJob
    """
    plan = _PausePlan(ledger, quotas, running, now)
    chosen = []
    for job in claims:
        pauses = plan.make_room(job)
        if pauses is None:
            break
        chosen += pauses
    return chosen


def _can_pause(run, now):
    job = run.job
    slack = job.deadline - now - job.run_seconds
    return job.can_pause and not run.is_given_up and slack > _MIN_SLACK_SECONDS


class _PausePlan:
    """Jobs chosen to pause, and the free room of each host once they are paused."""

    __slots__ = (
        "_free",
        "_ledger",
        "_pausable_by_host",
        "_paused",
        "_quotas",
        "_released_by_team",
    )

    def __init__(self, ledger, quotas, running, now):
        self._ledger = ledger
        self._quotas = quotas
        self._released_by_team = {}
        self._free = {name: ledger.free(name) for name in ledger.open_hosts()}
        self._pausable_by_host = {}
        self._paused = set()
        latest_first = sorted(running, key=lambda run: run.job.deadline, reverse=True)
        for run in latest_first:
            if run.is_pausing:
                # Its room is about to become free.
                self._pause(run)
            elif _can_pause(run, now):
                for place in run.places:
                    self._pausable_by_host.setdefault(place.host, []).append(run)

    def make_room(self, job):
        """Return the jobs to pause for a job, or None if pauses cannot make room."""
        free, paused = dict(self._free), set(self._paused)
        released = dict(self._released_by_team)
        chosen = []
        for _ in range(job.members):
            pauses = self._place(job)
            if pauses is None:
                self._free, self._paused = free, paused
                self._released_by_team = released
                return None
            chosen += pauses
        return chosen

    def _place(self, job):
        best, host = None, None
        for name in self._free:
            if name in job.avoid:
                continue
            pauses = self._needed_pauses(name, job, best)
            if pauses is not None and (best is None or len(pauses) < len(best)):
                best, host = pauses, name
                if not best:
                    break
        if best is None:
            return None
        for run in best:
            self._pause(run)
        self._free[host] = self._free[host] - job.demand
        return best

    def _needed_pauses(self, name, job, best):
        demand = job.demand
        free = self._free[name]
        pauses = []
        for run in self._pausable_by_host.get(name, ()):
            if self._fits(name, free, demand):
                break
            if best is not None and len(pauses) + 1 >= len(best):
                return None
            if self._may_pause(run, job) and run not in pauses:
                pauses.append(run)
                for place in run.places:
                    if place.host == name:
                        free = free + run.job.demand
        return pauses if self._fits(name, free, demand) else None

    def _may_pause(self, run, job):
        if run.job.name in self._paused:
            return False
        released = self._released_by_team.get(run.job.team, _NOTHING)
        return job.is_urgent or self._quotas.is_over_quota(run.job.team, released)

    def _fits(self, name, free, demand):
        return demand.fits_in(self._ledger.usable(name, free, demand))

    def _pause(self, run):
        self._paused.add(run.job.name)
        released = self._released_by_team.get(run.job.team, _NOTHING)
        for _ in run.places:
            released = released + run.job.demand
        self._released_by_team[run.job.team] = released
        for place in run.places:
            if place.host in self._free:
                self._free[place.host] = self._free[place.host] + run.job.demand
