"""Choose the jobs that yield when not all that wait can be done in time.

Load pattern: a burst above the capacity of the pool. Served by latest start alone, each
job is begun when it can only just be in time, and all of them just miss.
"""

import heapq

from papayapick.overload.sizes import SizeClass, YieldShares

__all__ = ["YieldPlan"]

_MILLICORES = 1000


class YieldPlan:
    """Let the jobs yield that cost most core-seconds, until the others are in time.

    The jobs are taken by the time by which they need their room. Where the work up to
    one exceeds what the processors can do by then, the largest job so far yields: that
    is the method of Moore and Hodgson, by which the fewest jobs are late. Jobs that
    have begun do not yield to others, and of the large jobs of a queue at most half
    yield, besides those that could not be in time even by themselves.

    One plan is kept for each priority, because it counts how often large jobs yielded.

    Examples
    --------
    >>> from papayapick.overload.types import DelayedJob
    >>> jobs = [DelayedJob(name, work, 1.0, False, 1.0)
    ...         for name, work in [("a", 3.0), ("b", 1.0), ("c", 1.0)]]
    >>> YieldPlan().yielding(jobs, 2000, 0.0)
    {'a'}
    """

    __slots__ = ("_shares",)

    def __init__(self):
        self._shares = YieldShares()

    def yielding(self, jobs, processors, now):
        """Return the identifiers of the jobs that are served after the others.

        Parameters
        ----------
        jobs : list of DelayedJob
            Of one priority. Those that only run are among them, since they use
            processors as well.
        processors : float
            Millicores that this priority can use.
        now : float
            Monotonic seconds.

        Returns
        -------
        set of str
        """
        classes = self._shares.begin(jobs)
        selection = _Selection(classes, self._shares.allowances())
        for job in sorted(jobs, key=lambda job: (job.finish_by, job.identifier)):
            limit = processors / _MILLICORES * max(0.0, job.finish_by - now)
            if job.work > limit > 0 and not job.has_begun:
                # Kept, it would make all others yield, and still be late.
                selection.leave_out(job)
                continue
            selection.add(job)
            selection.shrink(limit)
        self._shares.end(selection.yielding)
        return selection.yielding


class _Selection:
    """The jobs that do not yield so far, the largest ones in front."""

    __slots__ = ("_allowances", "_begun", "_classes", "_kept", "_waiting", "_work")

    def __init__(self, classes, allowances):
        self._classes = classes
        # How many jobs of a queue and class may yield; see ``YieldShares``.
        self._allowances = allowances
        # Heap by queue and class of the jobs that have not begun, and of those that
        # have. Jobs of the usual size share one heap.
        self._waiting = {}
        self._begun = []
        self._work = 0.0
        self._kept = {}

    @property
    def yielding(self):
        """Return the identifiers of the jobs that yield."""
        return {name for name, is_kept in self._kept.items() if not is_kept}

    def add(self, job):
        """Add a job that needs its room no sooner than those added before."""
        entry = (-job.work, job.identifier)
        if job.has_begun:
            heapq.heappush(self._begun, entry)
        else:
            kind = self._classes[job.identifier]
            heap = self._waiting.setdefault(kind, [])
            heapq.heappush(heap, entry)
        self._kept[job.identifier] = True
        self._work += job.work

    def leave_out(self, job):
        """Let a job yield that could not be in time even by itself."""
        self._kept[job.identifier] = False

    def shrink(self, limit):
        """Let jobs yield until the work of the others is within a limit.

        Parameters
        ----------
        limit : float
            Core-seconds.
        """
        while self._work > limit:
            heap = self._largest()
            if heap is None:
                # Only jobs are left that may not yield.
                return
            work, identifier = heapq.heappop(heap)
            self._work += work
            self._kept[identifier] = False

    def _largest(self):
        """Return the heap whose first job yields next, or None."""
        filled = [kind for kind, heap in self._waiting.items() if heap]
        if not filled:
            return self._begun or None
        allowed = [kind for kind in filled if self._may_yield(kind)]
        if not allowed:
            return None
        chosen = min(allowed, key=lambda kind: self._waiting[kind][0])
        if chosen in self._allowances:
            self._allowances[chosen] -= 1
        return self._waiting[chosen]

    def _may_yield(self, kind):
        _, size_class = kind
        return size_class == SizeClass.USUAL or self._allowances.get(kind, 0) > 0
