"""Give waiting jobs their order, by urgency, deadline and quota."""

import heapq
import math

from sortedcontainers import SortedList

__all__ = ["TeamQueues"]


class TeamQueues:
    """Hold waiting jobs, and walk through them in the order in which they start.

    First deferred work whose latest start is near, then each team's jobs in the
    order of the queue as long as the team stays within its quota; last the jobs that
    borrow, those of the team that uses least of its quota first.

    Parameters
    ----------
    order : JobOrder
    quotas : QuotaBook
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
        """Return the place of a waiting job in the order of the queue."""
        return self._keys[name]

    def add(self, job):
        """Add a job that is not there."""
        key = (self._order.key(job), job.name)
        self._jobs[job.name] = job
        self._keys[job.name] = key
        self._teams.setdefault(job.team, SortedList()).add(key)
        due = self._order.due(job)
        if due < math.inf:
            self._due.add((due, job.name))

    def discard(self, name):
        """Remove a job if it is there."""
        job = self._jobs.pop(name, None)
        if job is None:
            return
        keys = self._teams[job.team]
        keys.remove(self._keys.pop(name))
        if not keys:
            del self._teams[job.team]
        self._due.discard((self._order.due(job), name))

    def due(self, now):
        """Return the names of jobs whose latest start is near."""
        return [name for _, name in self._due.irange(maximum=(now, ""))]

    def walk(self, now):
        """Yield the jobs in order; ``is_borrowing`` is set on each.

        What was yielded counts as started for those that follow.
        """
        due = self.due(now)
        for name in due:
            job = self._jobs[name]
            job.is_borrowing = False
            yield job
        left = _Positions(self._teams, set(due))
        borrowers = yield from self._walk_within(left)
        yield from self._walk_borrowers(left, borrowers)

    def _walk_within(self, left):
        planned, borrowers = {}, []
        heap = [(left.key(team), team) for team in left.teams()]
        heapq.heapify(heap)
        while heap:
            key, team = heapq.heappop(heap)
            job = self._jobs[key[1]]
            before = planned.get(team, 0)
            if self._quotas.borrows(team, job.demand, before + job.members):
                borrowers.append(team)
                continue
            planned[team] = before + job.members
            job.is_borrowing = False
            yield job
            if left.advance(team):
                heapq.heappush(heap, (left.key(team), team))
        return borrowers

    def _walk_borrowers(self, left, borrowers):
        planned = dict.fromkeys(borrowers, 0)
        heap = [(self._quotas.ratio(team), left.key(team), team) for team in borrowers]
        heapq.heapify(heap)
        while heap:
            _, key, team = heapq.heappop(heap)
            job = self._jobs[key[1]]
            job.is_borrowing = True
            planned[team] += job.demand.processors * job.members
            yield job
            if left.advance(team):
                ratio = self._quotas.ratio(team, planned[team])
                heapq.heappush(heap, (ratio, left.key(team), team))


class _Positions:
    """Walk each team's keys, past the names that were seen already."""

    __slots__ = ("_heads", "_iterators", "_seen")

    def __init__(self, teams, seen):
        self._seen = seen
        self._iterators = {team: iter(keys) for team, keys in teams.items()}
        self._heads = {}
        for team in list(self._iterators):
            self.advance(team)

    def teams(self):
        return list(self._heads)

    def key(self, team):
        return self._heads[team]

    def advance(self, team):
        for key in self._iterators[team]:
            if key[1] not in self._seen:
                self._heads[team] = key
                return True
        self._heads.pop(team, None)
        return False
