"""Allocate the slots of backend servers and queue requests while none is free."""

import itertools
import random
import threading
from concurrent.futures import Future

from papayapick.ledger import LedgerError, ReservationUnknown
from papayapick.placer.exceptions import ServiceUnknown
from papayapick.placer.fair_queue import QueuedRequest
from papayapick.placer.grants import HeldGrant, HeldGrants
from papayapick.placer.service_queue import ServiceQueue
from papayapick.wire.messages import ServiceLoad, SlotGrant

__all__ = ["SlotAllocator"]

_GRANT_MARGIN_SECONDS = 1.0
_DONE, _LEAVING, _UNKNOWN = "done", "leaving", "unknown"


class SlotAllocator:
    """Grant the slots of one shard.

    A slot counts as taken until there is proof that its call has ended: a release
    after a complete answer, or a report of the backend server that does not list
    the request any more.

    Parameters
    ----------
    shard : str
    epoch : int
    ledger : SlotLedger
    policy : InstancePolicy
    clock : Clock
    generator : random.Random, optional
        Adds jitter to the retry delays of refused callers.
    """

    __slots__ = (
        "_clock",
        "_epoch",
        "_generator",
        "_grant_ids",
        "_held",
        "_ledger",
        "_lock",
        "_policy",
        "_queues",
        "_shard",
    )

    def __init__(self, shard, epoch, ledger, policy, clock, generator=None):
        self._shard = shard
        self._epoch = epoch
        self._ledger = ledger
        self._policy = policy
        self._clock = clock
        self._generator = generator or random.Random()
        self._grant_ids = itertools.count(1)
        self._held = HeldGrants()
        self._queues = {}
        self._lock = threading.Lock()

    def request(self, request, waiting_limit):
        """Grant a slot now or queue the request for one.

        Parameters
        ----------
        request : SlotRequest
        waiting_limit : int
            Maximum number of queued requests of the service.

        Returns
        -------
        SlotGrant or concurrent.futures.Future of SlotGrant

        Raises
        ------
        ServiceUnknown, WaitingQueueFull, SlotWaitExpired, WaitTooLong
        """
        now = self._clock.monotonic()
        wait_seconds = (request.wait_milliseconds or 0) / 1000
        with self._lock:
            if not self._ledger.instances(request.service):
                raise ServiceUnknown(shard=self._shard, service=request.service)
            queue = self._queue(request.service)
            if not len(queue.requests):
                grant = self._grant(request, now)
                if grant is not None:
                    return grant
            busy = self._held.count(request.service)
            caller = request.caller or ""
            queue.check_wait(caller, wait_seconds, now, busy)
            evicted = queue.make_room(caller, waiting_limit, now, busy)
            queued = QueuedRequest(Future(), now + wait_seconds, request)
            queue.requests.add(queued)
        _settle(evicted)
        return queued.future

    def release(self, grant_id, outcome=_DONE, run_seconds=0.0):
        """Record the outcome of a call and free its slot unless it is in doubt.

        Parameters
        ----------
        grant_id : int
        outcome : {"done", "leaving", "failed", "unknown", "unused", ...}
            After ``unknown`` the call may still run: a caller that stopped
            waiting does not prove its end, and a slot granted again too early
            would overload the backend server. The slot stays taken until the
            backend server reports that the call has ended.
        run_seconds : float
        """
        now = self._clock.monotonic()
        with self._lock:
            held = self._held.get(grant_id)
            if held is None:
                # Released twice, or freed by a reconciliation with the backend
                # server before the release arrived.
                return
            self._policy.ended(grant_id, outcome, run_seconds)
            if outcome == _LEAVING:
                # The live host list lags behind the backend server's own
                # announcement.
                self._ledger.close(held.instance)
            if outcome == _UNKNOWN:
                held.in_doubt_after = now
                return
            self._free(grant_id, held, now)
            settled = self._serve(held.service, now)
        _settle(settled)

    def reconcile(self, instance, running):
        """Free the slots in doubt whose calls a backend server no longer runs.

        Parameters
        ----------
        instance : str
        running : list of str
            Ids of the requests that the backend server reports as running.
        """
        now = self._clock.monotonic()
        settled = []
        with self._lock:
            ended = self._held.ended(instance, running, now)
            for grant, held in ended:
                self._policy.ended(grant, _UNKNOWN, now - held.granted_at)
                self._free(grant, held, now)
            for service in {held.service for _, held in ended}:
                settled += self._serve(service, now)
        _settle(settled)

    def expire(self):
        """Refuse queued requests that have expired or can't be served in time."""
        now = self._clock.monotonic()
        refused = []
        with self._lock:
            for name, queue in self._queues.items():
                if not len(queue.requests):
                    continue
                busy = self._held.count(name)
                refused += queue.remove_expired(now, busy)
                refused += queue.remove_unservable(now, busy)
        _settle(refused)

    def serve_waiting(self):
        """Grant free slots to queued requests, for slots freed without a release."""
        now = self._clock.monotonic()
        settled = []
        with self._lock:
            for name in self._queues:
                settled += self._serve(name, now)
        _settle(settled)

    def refuse_all(self, error):
        """Refuse every queued request with an error.

        Parameters
        ----------
        error : PlacerError
        """
        with self._lock:
            refused = [
                queued
                for queue in self._queues.values()
                for queued in queue.requests.take_all()
            ]
        _settle([(queued.future, error) for queued in refused])

    def restore(self, instance, running):
        """Mark slots as taken for calls that a backend server reports as running.

        Parameters
        ----------
        instance : str
        running : list of str
            Ids of the requests.
        """
        now = self._clock.monotonic()
        with self._lock:
            service = self._service_of(instance)
            known = self._held.request_ids(instance)
            for request_id in running:
                # When an instance returns after it announced that it leaves, some
                # of its calls are grants of this owner.
                if request_id in known:
                    continue
                self._ledger.restore(instance, request_id)
                held = HeldGrant(instance, service, request_id, now, now)
                self._held.add(request_id, held)

    def in_doubt_instances(self):
        """Return the instances with calls whose end is in doubt.

        Returns
        -------
        list of str
        """
        now = self._clock.monotonic()
        with self._lock:
            return self._held.in_doubt_instances(now)

    def loads(self):
        """Return the load of each service, as heartbeats report it."""
        with self._lock:
            return [
                ServiceLoad(
                    service=name,
                    free_slots=self._policy.free_slots(self._ledger, name),
                    waiting=len(self._queue(name).requests),
                )
                for name in self._ledger.services()
            ]

    def held_count(self):
        """Return the number of granted slots that are not freed."""
        with self._lock:
            return len(self._held)

    def with_ledger(self, change):
        """Call ``change`` with the slot ledger under the lock; return its result."""
        with self._lock:
            return change(self._ledger)

    def _queue(self, name):
        queue = self._queues.get(name)
        if queue is None:
            queue = self._queues[name] = ServiceQueue(name, self._generator)
        return queue

    def _service_of(self, instance):
        return next(
            name
            for name in self._ledger.services()
            if instance in self._ledger.instances(name)
        )

    def _grant(self, request, now):
        avoid = request.avoid or ()
        name = self._policy.choose(self._ledger, request.service, avoid)
        if name is None:
            return None
        grant_id = next(self._grant_ids)
        try:
            self._ledger.reserve(name, grant_id)
        except LedgerError:
            return None
        # The gateway may use the grant until its longest wait and the use window
        # are over, which may be later than the upper bound of a short run. A
        # backend server that is queried before then does not know the call yet,
        # and its slot would be granted a second time.
        longest = max(request.run_milliseconds, request.wait_milliseconds or 0) / 1000
        in_doubt_after = now + longest + _GRANT_MARGIN_SECONDS
        held = HeldGrant(name, request.service, request.request_id, now, in_doubt_after)
        self._held.add(grant_id, held)
        self._policy.granted(request.service, name, grant_id)
        return SlotGrant(
            grant_id=grant_id,
            shard=self._shard,
            epoch=self._epoch,
            instance=name,
            url=self._ledger.url(name),
        )

    def _free(self, grant_id, held, now):
        self._held.remove(grant_id)
        self._queue(held.service).note_end(now, now - held.granted_at)
        try:
            self._ledger.release(grant_id)
        except ReservationUnknown:
            # The instance and its slots were removed while the call ran.
            return

    def _serve(self, name, now):
        """Refuse the expired requests of a service and grant free slots in order.

        Returns
        -------
        list of (concurrent.futures.Future, SlotGrant or PlacerError)
            To be settled outside the lock.
        """
        queue = self._queue(name)
        settled = queue.remove_expired(now, self._held.count(name))
        while (first := queue.requests.first()) is not None:
            grant = self._grant(first.request, now)
            if grant is None:
                break
            queue.requests.take_first()
            settled.append((first.future, grant))
        return settled


def _settle(settled):
    # Called outside the lock, since the callbacks of a future send to peers and
    # may take time.
    for future, result in settled:
        if isinstance(result, SlotGrant):
            future.set_result(result)
        else:
            future.set_exception(result)
