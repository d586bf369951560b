"""Choose which waiting jobs start now."""

import itertools
from typing import Protocol

from papayapick.ledger import Amounts
from papayapick.placement.gangs import promise_start, reserve_all
from papayapick.placement.host_policies import BestFit
from papayapick.placement.jobs import RunningJob

__all__ = ["Backfill", "FirstComeFirstServed", "FirstThatFits", "StartPolicy"]

_LOOKS = 256
_NO_RANK = 3
_NOTHING = Amounts()


class StartPolicy(Protocol):
    """Reserve what starts now."""

    def choose(self, ledger, waiting, running, now):
        """Return the jobs to start, reserved, as a list of RunningJob.

        Parameters
        ----------
        ledger : HostLedger
        waiting : iterable of WaitingJob
            In their order.
        running : iterable of RunningJob
        now : float
        """

    def choose_added(self, ledger, added, running, now):
        """Return what starts of jobs that came since the last choice.

        Nothing else has changed, and each comes after one that had to wait.
        """


class FirstComeFirstServed:
    """Start jobs strictly in order: a baseline; one large job blocks all."""

    __slots__ = ("_hosts",)

    def __init__(self, hosts=None):
        self._hosts = hosts or BestFit()

    def choose(self, ledger, waiting, running, now):
        """Start from the front until one does not fit."""
        starts = []
        for job in waiting:
            places = reserve_all(ledger, self._hosts, job)
            if places is None:
                break
            starts.append(RunningJob(job, places, now + job.run_seconds))
        return starts

    def choose_added(self, ledger, added, running, now):
        """Start none: they stand behind one that waits."""
        return []


class FirstThatFits:
    """Start whatever fits: a baseline; small jobs starve the large."""

    __slots__ = ("_hosts", "_looks")

    def __init__(self, hosts=None, looks=_LOOKS):
        self._hosts = hosts or BestFit()
        self._looks = looks

    def choose(self, ledger, waiting, running, now):
        """Start each job that fits, none before another."""
        starts = []
        for job in itertools.islice(waiting, self._looks):
            places = reserve_all(ledger, self._hosts, job)
            if places is not None:
                starts.append(RunningJob(job, places, now + job.run_seconds))
        return starts

    def choose_added(self, ledger, added, running, now):
        """Start each that fits."""
        return self.choose(ledger, added, (), now)


class Backfill:
    """Start in order; promise the first that does not fit a time and hosts.

    Jobs behind it start where they can't delay it: they are over by the promised
    time, or use room that it does not need then. As every run is stopped at its
    bound, the promised time can only come nearer while the hosts stay.

    Parameters
    ----------
    hosts : HostPolicy, optional
    looks : int
        Jobs looked at in one pass.
    """

    __slots__ = ("_held", "_hosts", "_looks", "_refused", "_waiting_rank", "promised")

    def __init__(self, hosts=None, looks=_LOOKS):
        self._hosts = hosts or BestFit()
        self._looks = looks
        self._held = {}
        self._refused = set()
        self._waiting_rank = _NO_RANK
        self.promised = None

    def choose(self, ledger, waiting, running, now):
        """Start from the front, then fill behind the first that must wait."""
        starts = []
        self.promised = None
        self._refused = set()
        self._waiting_rank = _NO_RANK
        with ledger.lock:
            self._hold(ledger, {})
            running = list(running)
            for job in itertools.islice(waiting, self._looks):
                places = self._place(ledger, job, now)
                if places is None and self.promised is None:
                    places = self._promise(ledger, job, running + starts, now)
                if places is not None:
                    starts.append(RunningJob(job, places, now + job.run_seconds))
                if places is None:
                    self._waiting_rank = min(self._waiting_rank, job.rank)
        return starts

    def choose_added(self, ledger, added, running, now):
        """Fill behind the job that has a promise, or promise one of these."""
        starts = []
        with ledger.lock:
            for job in added:
                places = self._place(ledger, job, now)
                if places is None and self.promised is None:
                    found = itertools.chain(running, starts)
                    places = self._promise(ledger, job, found, now)
                if places is not None:
                    starts.append(RunningJob(job, places, now + job.run_seconds))
        return starts

    def _place(self, ledger, job, now):
        is_short = self._is_short(job, now)
        if job.can_pause and job.rank > self._waiting_rank and not is_short:
            # It would be paused again for another that waits behind the first.
            return None
        shape = (job.demand, job.members, job.avoid, is_short, self.promised is None)
        if shape in self._refused:
            return None
        places = reserve_all(ledger, self._hosts, job)
        if places is None and is_short:
            # It gives the held room back before the promised time.
            held = self._held
            self._hold(ledger, {})
            places = reserve_all(ledger, self._hosts, job)
            self._hold(ledger, held)
        if places is None:
            self._refused.add(shape)
        return places

    def _is_short(self, job, now):
        promised = self.promised
        return promised is not None and now + job.run_seconds <= promised[1].time

    def _promise(self, ledger, job, running, now):
        found = promise_start(ledger, job, running, now)
        if found is None and job.avoid:
            # Without the hosts that it failed on it would wait for ever.
            job.avoid = frozenset()
            places = self._place(ledger, job, now)
            if places is not None:
                return places
            found = promise_start(ledger, job, running, now)
        if found is not None:
            self.promised = (job.name, found)
            self._hold(ledger, found.holds)
        return None

    def _hold(self, ledger, holds):
        for name in self._held:
            if name not in holds and name in ledger:
                ledger.hold(name, _NOTHING)
        for name, amounts in holds.items():
            ledger.hold(name, amounts)
        self._held = holds
