"""Grant slots, and queue requests for a while when there are none."""

import itertools
import random
import threading
from concurrent.futures import Future

from papayapick.ledger import LedgerError, ReservationUnknown
from papayapick.placer.exceptions import (
    ServiceUnknown,
    WaitingFull,
    WaitOver,
    WaitTooLong,
)
from papayapick.placer.waiting import DrainRate, Waiting, WaitingQueue
from papayapick.wire.messages import ServiceLoad, SlotGrant

__all__ = ["SlotDesk"]

_DEFAULT_RETRY_SECONDS = 0.5
_LEAST_RETRY_SECONDS = 0.1
_LONGEST_RETRY_SECONDS = 30.0
_GRANT_MARGIN = 1.0
_DONE, _LEAVING, _UNKNOWN = "done", "leaving", "unknown"


class _Held:
    __slots__ = ("doubtful_after", "granted_at", "instance", "request_id", "service")

    def __init__(self, instance, service, request_id, granted_at, doubtful_after):
        self.instance = instance
        self.service = service
        self.request_id = request_id
        self.granted_at = granted_at
        self.doubtful_after = doubtful_after


class _Service:
    __slots__ = ("drain", "held", "queue")

    def __init__(self):
        self.queue = WaitingQueue()
        self.drain = DrainRate()
        self.held = 0


class SlotDesk:
    """Give out the slots of one shard.

    A slot counts as taken until there is proof of its end: a release after a
    whole answer, or the backend server's word that the request runs no more.

    Parameters
    ----------
    shard : str
    epoch : int
    ledger : SlotLedger
    policy : InstancePolicy
    clock : Clock
    generator : random.Random, optional
        Spreads the moments at which refused callers come back.
    """

    __slots__ = (
        "_clock",
        "_epoch",
        "_generator",
        "_held",
        "_ledger",
        "_lock",
        "_numbers",
        "_policy",
        "_services",
        "_shard",
    )

    def __init__(self, shard, epoch, ledger, policy, clock, generator=None):
        self._shard = shard
        self._epoch = epoch
        self._ledger = ledger
        self._policy = policy
        self._clock = clock
        self._generator = generator or random.Random()
        self._numbers = itertools.count(1)
        self._held = {}
        self._services = {}
        self._lock = threading.Lock()

    def request(self, wanted, waiting_limit):
        """Grant a slot now or queue for one.

        Parameters
        ----------
        wanted : SlotRequest
        waiting_limit : int
            Most requests that may wait for the service.

        Returns
        -------
        SlotGrant or concurrent.futures.Future

        Raises
        ------
        ServiceUnknown, WaitingFull, WaitOver, WaitTooLong
        """
        now = self._clock.monotonic()
        wait_seconds = (wanted.wait_milliseconds or 0) / 1000
        with self._lock:
            if not self._ledger.instances(wanted.service):
                raise ServiceUnknown(shard=self._shard, service=wanted.service)
            service = self._service(wanted.service)
            if not len(service.queue):
                grant = self._grant(wanted, now)
                if grant is not None:
                    return grant
            self._check_wait(service, wanted, wait_seconds, now)
            evicted = self._make_room(service, wanted, waiting_limit, now)
            waiting = Waiting(Future(), now + wait_seconds, wanted)
            service.queue.add(waiting)
        if evicted is not None:
            _refuse([evicted])
        return waiting.future

    def release(self, grant_id, outcome=_DONE, run_seconds=0.0):
        """Hear what became of a call, and take its slot back on proof of its end.

        Parameters
        ----------
        grant_id : int
        outcome : {"done", "leaving", "failed", "unknown", "unused", ...}
            After ``unknown`` the call may still run: a caller that stopped
            waiting proves nothing, and a slot given out again would put more
            on the backend server than it holds. The slot stays taken until
            the backend server is asked.
        run_seconds : float
        """
        now = self._clock.monotonic()
        with self._lock:
            held = self._held.get(grant_id)
            if held is None:
                # Released twice, or reconciled with the backend server before
                # the release came.
                return
            self._policy.ended(grant_id, outcome, run_seconds)
            if outcome == _LEAVING:
                # The live list lags; the backend server's own word does not.
                self._ledger.close(held.instance)
            if outcome == _UNKNOWN:
                held.doubtful_after = now
                return
            self._free(grant_id, held, now)
            settled = self._serve(held.service, now)
        _settle(settled)

    def reconcile(self, instance, running):
        """Take back doubtful slots of calls that a backend server runs no more.

        Parameters
        ----------
        instance : str
        running : list of str
            Ids of the requests that it says it runs.
        """
        now = self._clock.monotonic()
        settled = []
        with self._lock:
            ended = [
                (grant, held)
                for grant, held in self._held.items()
                if held.instance == instance
                and held.doubtful_after <= now
                and held.request_id not in running
            ]
            for grant, held in ended:
                self._policy.ended(grant, _UNKNOWN, now - held.granted_at)
                self._free(grant, held, now)
            for service in {held.service for _, held in ended}:
                settled += self._serve(service, now)
        _settle(settled)

    def expire(self):
        """Refuse at once those whose time is over or can't suffice any more."""
        now = self._clock.monotonic()
        refused = []
        with self._lock:
            for name, service in self._services.items():
                if not len(service.queue):
                    continue
                over = service.queue.remove_expired(now)
                rate = service.drain.estimate(now, service.held)
                if rate:
                    over += service.queue.remove_hopeless(now, rate)
                refused += self._wait_over(name, service, over, now)
        _refuse(refused)

    def serve_waiting(self):
        """Hand out slots that came free without a release."""
        now = self._clock.monotonic()
        settled = []
        with self._lock:
            for name in self._services:
                settled += self._serve(name, now)
        _settle(settled)

    def refuse_all(self, error):
        """Refuse every request that waits, with a typed error."""
        with self._lock:
            found = [
                waiting
                for service in self._services.values()
                for waiting in service.queue.take_all()
            ]
        _refuse([(waiting.future, error) for waiting in found])

    def restore(self, instance, running):
        """Count calls that the backend server says it runs.

        Parameters
        ----------
        instance : str
        running : list of str
            Ids of the requests.
        """
        now = self._clock.monotonic()
        with self._lock:
            service = self._service_of(instance)
            known = {
                held.request_id
                for held in self._held.values()
                if held.instance == instance
            }
            for request_id in running:
                # After a return from leaving, some are this owner's grants.
                if request_id in known:
                    continue
                self._ledger.restore(instance, request_id)
                self._held[request_id] = _Held(instance, service, request_id, now, now)
                self._service(service).held += 1

    def doubtful(self):
        """Return the instances to ask about calls whose end is in doubt.

        Returns
        -------
        list of str
        """
        now = self._clock.monotonic()
        with self._lock:
            return sorted(
                {
                    held.instance
                    for held in self._held.values()
                    if held.doubtful_after <= now
                }
            )

    def loads(self):
        """Return the load of each service, for heartbeats."""
        with self._lock:
            return [
                ServiceLoad(
                    service=name,
                    free_slots=self._policy.free_slots(self._ledger, name),
                    waiting=len(self._service(name).queue),
                )
                for name in self._ledger.services()
            ]

    def held(self):
        """Return the number of slots given out."""
        with self._lock:
            return len(self._held)

    def with_ledger(self, change):
        """Run a change of the ledger under the desk's lock."""
        with self._lock:
            return change(self._ledger)

    def _service(self, name):
        found = self._services.get(name)
        if found is None:
            found = self._services[name] = _Service()
        return found

    def _service_of(self, instance):
        return next(
            name
            for name in self._ledger.services()
            if instance in self._ledger.instances(name)
        )

    def _check_wait(self, service, wanted, wait_seconds, now):
        """Raise where waiting can't end well: better refused now than late."""
        if not wait_seconds:
            raise WaitOver(
                service=wanted.service, retry_after=self._retry_after(service, now)
            )
        rate = service.drain.estimate(now, service.held)
        if not rate:
            return
        ahead = service.queue.ahead_of(wanted.caller or "")
        if (ahead + 1) / rate > wait_seconds:
            raise WaitTooLong(
                service=wanted.service, retry_after=self._retry_after(service, now)
            )

    def _make_room(self, service, wanted, waiting_limit, now):
        if len(service.queue) < waiting_limit:
            return None
        victim = None
        if waiting_limit:
            # One caller's flood must not keep the others out of the queue.
            victim = service.queue.evict_for(wanted.caller or "")
        error = WaitingFull(
            service=wanted.service,
            waiting=len(service.queue),
            retry_after=self._retry_after(service, now),
        )
        if victim is None:
            raise error
        return victim.future, error

    def _retry_after(self, service, now):
        """Return when the present queue should be gone, spread out.

        Callers refused together would come back together, and find it full
        again.
        """
        rate = service.drain.estimate(now, service.held)
        if rate:
            seconds = (len(service.queue) + 1) / rate
        else:
            seconds = _DEFAULT_RETRY_SECONDS
        seconds = max(_LEAST_RETRY_SECONDS, seconds) * (1 + self._generator.random())
        return min(_LONGEST_RETRY_SECONDS, seconds)

    def _grant(self, wanted, now):
        avoid = wanted.avoid or ()
        name = self._policy.choose(self._ledger, wanted.service, avoid)
        if name is None:
            return None
        grant_id = next(self._numbers)
        try:
            self._ledger.take(name, grant_id)
        except LedgerError:
            return None
        # The gateway may use the grant until its longest wait and the use window
        # are over, which may be later than a short run's upper bound: asked
        # before, the backend server would not know of the call yet, and the
        # slot would go to a second one.
        longest = max(wanted.run_milliseconds, wanted.wait_milliseconds or 0) / 1000
        doubtful_after = now + longest + _GRANT_MARGIN
        self._held[grant_id] = _Held(
            name, wanted.service, wanted.request_id, now, doubtful_after
        )
        self._service(wanted.service).held += 1
        self._policy.granted(wanted.service, name, grant_id)
        return SlotGrant(
            grant_id=grant_id,
            shard=self._shard,
            epoch=self._epoch,
            instance=name,
            url=self._ledger.url(name),
        )

    def _free(self, grant_id, held, now):
        del self._held[grant_id]
        service = self._service(held.service)
        service.held -= 1
        is_queued = bool(len(service.queue))
        service.drain.note_end(now, now - held.granted_at, is_queued)
        try:
            self._ledger.give_back(grant_id)
        except ReservationUnknown:
            # The instance was removed meanwhile, and its slots with it.
            return

    def _serve(self, name, now):
        """Give free slots to those whose turn it is; refuse the expired."""
        service = self._service(name)
        settled = []
        over = service.queue.remove_expired(now)
        settled += self._wait_over(name, service, over, now)
        while (first := service.queue.first()) is not None:
            grant = self._grant(first.wanted, now)
            if grant is None:
                break
            service.queue.take_first()
            settled.append((first.future, grant))
        return settled

    def _wait_over(self, name, service, over, now):
        return [
            (
                waiting.future,
                WaitOver(service=name, retry_after=self._retry_after(service, now)),
            )
            for waiting in over
        ]


def _settle(settled):
    # Outside the lock: a future's callbacks send to peers and may take time.
    for future, result in settled:
        if isinstance(result, SlotGrant):
            future.set_result(result)
        else:
            future.set_exception(result)


def _refuse(refused):
    for future, error in refused:
        future.set_exception(error)
