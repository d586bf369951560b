"""Order the waiting jobs of all teams by urgency, deadline and quota."""

import heapq
import math

from sortedcontainers import SortedList

__all__ = ["TeamQueues"]


class TeamQueues:
    """Waiting jobs by team, iterated in the order in which they start.

    Deferred jobs whose latest start is near come first, then the jobs of all teams in
    the order of the queue as long as their team stays within its quota. Jobs that
    borrow come last, those of the team with the lowest use of its quota first.

    Parameters
    ----------
    order : JobOrder
    quotas : QuotaTracker
    """

    __slots__ = ("_due", "_jobs", "_keys", "_order", "_quotas", "_teams")

    def __init__(self, order, quotas):
        self._order = order
        self._quotas = quotas
        self._jobs = {}
        self._keys = {}
        self._teams = {}
        self._due = SortedList()

    def __len__(self):
        return len(self._jobs)

    def __iter__(self):
        return iter(list(self._jobs))

    def __contains__(self, name):
        return name in self._jobs

    def get(self, name):
        """Return a waiting job, or None."""
        return self._jobs.get(name)

    def key(self, name):
        """Return the sort key of a waiting job."""
        return self._keys[name]

    def add(self, job):
        """Add a job that is not in the queues."""
        key = (self._order.key(job), job.name)
        self._jobs[job.name] = job
        self._keys[job.name] = key
        self._teams.setdefault(job.team, SortedList()).add(key)
        due = self._order.due(job)
        if due < math.inf:
            self._due.add((due, job.name))

    def discard(self, name):
        """Remove a job if it is in the queues."""
        job = self._jobs.pop(name, None)
        if job is None:
            return
        keys = self._teams[job.team]
        keys.remove(self._keys.pop(name))
        if not keys:
            del self._teams[job.team]
        self._due.discard((self._order.due(job), name))

    def due(self, now):
        """Return the names of the jobs whose latest start is near."""
        return [name for _, name in self._due.irange(maximum=(now, ""))]

    def walk(self, now):
        """Yield the jobs in order, with ``is_borrowing`` set on each.

        For the quotas of the jobs that follow, each yielded job counts as started.
        """
        due = self.due(now)
        for name in due:
            job = self._jobs[name]
            job.is_borrowing = False
            yield job
        positions = _QueuePositions(self._teams, set(due))
        borrowers = yield from self._walk_within_quota(positions)
        yield from self._walk_borrowers(positions, borrowers)

    def _walk_within_quota(self, positions):
        planned, borrowers = {}, []
        heap = [(positions.key(team), team) for team in positions.teams()]
        heapq.heapify(heap)
        while heap:
            key, team = heapq.heappop(heap)
            job = self._jobs[key[1]]
            before = planned.get(team, 0)
            if self._quotas.would_borrow(team, job.demand, before + job.members):
                borrowers.append(team)
                continue
            planned[team] = before + job.members
            job.is_borrowing = False
            yield job
            if positions.advance(team):
                heapq.heappush(heap, (positions.key(team), team))
        return borrowers

    def _walk_borrowers(self, positions, borrowers):
        planned = dict.fromkeys(borrowers, 0)
        heap = [
            (self._quotas.ratio(team), positions.key(team), team) for team in borrowers
        ]
        heapq.heapify(heap)
        while heap:
            _, key, team = heapq.heappop(heap)
            job = self._jobs[key[1]]
            job.is_borrowing = True
            planned[team] += job.demand.processors * job.members
            yield job
            if positions.advance(team):
                ratio = self._quotas.ratio(team, planned[team])
                heapq.heappush(heap, (ratio, positions.key(team), team))


class _QueuePositions:
    """Position in each team's queue, skipping the jobs that were yielded before.

    Parameters
    ----------
    teams : dict of str to iterable of key
        Sorted keys of the jobs of each team.
    yielded : set of str
        Names of the jobs to skip.
    """

    __slots__ = ("_heads", "_iterators", "_yielded")

    def __init__(self, teams, yielded):
        self._yielded = yielded
        self._iterators = {team: iter(keys) for team, keys in teams.items()}
        self._heads = {}
        for team in list(self._iterators):
            self.advance(team)

    def teams(self):
        """Return the teams that have jobs left."""
        return list(self._heads)

    def key(self, team):
        """Return the key of the next job of a team."""
        return self._heads[team]

    def advance(self, team):
        """Move on to the next job of a team; return whether there is one."""
        for key in self._iterators[team]:
            if key[1] not in self._yielded:
                self._heads[team] = key
                return True
        self._heads.pop(team, None)
        return False
