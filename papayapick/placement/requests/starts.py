"""Policies that choose which waiting jobs start now."""

import itertools
from typing import Protocol

from papayapick.ledger import Amounts
from papayapick.placement.requests.gangs import promise_start, reserve_all
from papayapick.placement.requests.host_policies import BestFit
from papayapick.placement.requests.jobs import RunningJob

__all__ = ["Backfill", "FirstComeFirstServed", "FirstThatFits", "StartPolicy"]

# Maximum number of waiting jobs examined in one pass.
_MAX_EXAMINED = 256
# Larger than the rank of any job.
_NO_RANK = 3
_NOTHING = Amounts()


class StartPolicy(Protocol):
    """Choose the jobs that start now, and reserve their room."""

    def choose(self, ledger, waiting, running, now):
        """Return the jobs to start, with their room reserved.

        Parameters
        ----------
        ledger : HostLedger
        waiting : iterable of WaitingJob
            In the order of service.
        running : iterable of RunningJob
        now : float

        Returns
        -------
        list of RunningJob
        """

    def choose_added(self, ledger, added, running, now):
        """Return which of the jobs added since the last choice start.

        Nothing else has changed since, and each added job follows one that waits.
        """


class FirstComeFirstServed:
    """Start jobs strictly in order; a baseline in which a large job blocks others."""

    __slots__ = ("_hosts",)

    def __init__(self, hosts=None):
        self._hosts = hosts or BestFit()

    def choose(self, ledger, waiting, running, now):
        """Start jobs in order until one does not fit."""
        starts = []
        for job in waiting:
            places = reserve_all(ledger, self._hosts, job)
            if places is None:
                break
            starts.append(RunningJob(job, places, now + job.run_seconds))
        return starts

    def choose_added(self, ledger, added, running, now):
        """Start none, since each follows a job that does not fit."""
        return []


class FirstThatFits:
    """Start every job that fits; a baseline in which small jobs starve large ones."""

    __slots__ = ("_hosts", "_max_examined")

    def __init__(self, hosts=None, max_examined=_MAX_EXAMINED):
        self._hosts = hosts or BestFit()
        self._max_examined = max_examined

    def choose(self, ledger, waiting, running, now):
        """Start each job that fits, in order."""
        starts = []
        for job in itertools.islice(waiting, self._max_examined):
            places = reserve_all(ledger, self._hosts, job)
            if places is not None:
                starts.append(RunningJob(job, places, now + job.run_seconds))
        return starts

    def choose_added(self, ledger, added, running, now):
        """Start each added job that fits."""
        return self.choose(ledger, added, (), now)


class Backfill:
    """Start jobs in order, and promise the first that does not fit a start.

    Jobs behind it start only if they cannot delay it: they end by the promised time,
    or use room that it does not need then. As every run is stopped at its maximum run
    time, the promised start can only become earlier as long as no host is lost.

    Parameters
    ----------
    hosts : HostPolicy, optional
    max_examined : int
        Maximum number of waiting jobs examined in one pass.

    Attributes
    ----------
    promised : tuple of (str, PromisedStart) or None
        Name of the job with a promised start, and that start.
    """

    __slots__ = (
        "_best_waiting_rank",
        "_holds",
        "_hosts",
        "_max_examined",
        "_unfit_shapes",
        "promised",
    )

    def __init__(self, hosts=None, max_examined=_MAX_EXAMINED):
        self._hosts = hosts or BestFit()
        self._max_examined = max_examined
        self._holds = {}
        self._unfit_shapes = set()
        self._best_waiting_rank = _NO_RANK
        self.promised = None

    def choose(self, ledger, waiting, running, now):
        """Start jobs in order, then those that fit behind the first that must wait."""
        starts = []
        self.promised = None
        self._unfit_shapes = set()
        self._best_waiting_rank = _NO_RANK
        with ledger.lock:
            self._set_holds(ledger, {})
            running = list(running)
            for job in itertools.islice(waiting, self._max_examined):
                places = self._reserve(ledger, job, now)
                if places is None and self.promised is None:
                    places = self._promise(ledger, job, running + starts, now)
                if places is not None:
                    starts.append(RunningJob(job, places, now + job.run_seconds))
                if places is None:
                    self._best_waiting_rank = min(self._best_waiting_rank, job.rank)
        return starts

    def choose_added(self, ledger, added, running, now):
        """Start added jobs behind the promised one, or promise one of them a start."""
        starts = []
        with ledger.lock:
            for job in added:
                places = self._reserve(ledger, job, now)
                if places is None and self.promised is None:
                    all_running = itertools.chain(running, starts)
                    places = self._promise(ledger, job, all_running, now)
                if places is not None:
                    starts.append(RunningJob(job, places, now + job.run_seconds))
        return starts

    def _reserve(self, ledger, job, now):
        is_short = self._is_short(job, now)
        if job.can_pause and job.rank > self._best_waiting_rank and not is_short:
            # It would be paused again for a waiting job of a more urgent rank.
            return None
        shape = (job.demand, job.members, job.avoid, is_short, self.promised is None)
        if shape in self._unfit_shapes:
            return None
        places = reserve_all(ledger, self._hosts, job)
        if places is None and is_short:
            # It ends before the promised time, so it may use the held room.
            previous_holds = self._holds
            self._set_holds(ledger, {})
            places = reserve_all(ledger, self._hosts, job)
            self._set_holds(ledger, previous_holds)
        if places is None:
            self._unfit_shapes.add(shape)
        return places

    def _is_short(self, job, now):
        promised = self.promised
        return promised is not None and now + job.run_seconds <= promised[1].time

    def _promise(self, ledger, job, running, now):
        """Promise a job a start, or return its places if it fits after all."""
        start = promise_start(ledger, job, running, now)
        if start is None and job.avoid:
            # It fits only if it may use the hosts on which it failed.
            job.avoid = frozenset()
            places = self._reserve(ledger, job, now)
            if places is not None:
                return places
            start = promise_start(ledger, job, running, now)
        if start is not None:
            self.promised = (job.name, start)
            self._set_holds(ledger, start.holds)
        return None

    def _set_holds(self, ledger, holds):
        for name in self._holds:
            if name not in holds and name in ledger:
                ledger.hold(name, _NOTHING)
        for name, amounts in holds.items():
            ledger.hold(name, amounts)
        self._holds = holds
