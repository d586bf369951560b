"""Grant slots, and queue requests for a while when there are none."""

import itertools
import threading
from collections import deque
from concurrent.futures import Future

from papayapick.ledger import LedgerError, ReservationUnknown
from papayapick.placer.exceptions import ServiceUnknown, WaitingFull, WaitOver
from papayapick.wire.messages import ServiceLoad, SlotGrant

__all__ = ["SlotDesk"]

_RETRY_SECONDS = 0.5
_GRANT_MARGIN = 1.0


class _Waiting:
    __slots__ = ("avoid", "deadline", "future", "run_seconds")

    def __init__(self, future, deadline, avoid, run_seconds):
        self.future = future
        self.deadline = deadline
        self.avoid = avoid
        self.run_seconds = run_seconds


class _Held:
    __slots__ = ("doubtful_after", "instance")

    def __init__(self, instance, doubtful_after):
        self.instance = instance
        self.doubtful_after = doubtful_after


class SlotDesk:
    """Give out the slots of one shard.

    A slot counts as taken until there is proof of its end: a release, or the
    backend server's word once the run's upper bound is over.

    Parameters
    ----------
    shard : str
    epoch : int
    ledger : SlotLedger
    policy : InstancePolicy
    clock : Clock
    """

    __slots__ = (
        "_clock",
        "_epoch",
        "_held",
        "_ledger",
        "_lock",
        "_numbers",
        "_policy",
        "_shard",
        "_waiting",
    )

    def __init__(self, shard, epoch, ledger, policy, clock):
        self._shard = shard
        self._epoch = epoch
        self._ledger = ledger
        self._policy = policy
        self._clock = clock
        self._numbers = itertools.count(1)
        self._held = {}
        self._waiting = {}
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
        ServiceUnknown, WaitingFull, WaitOver
        """
        now = self._clock.monotonic()
        run_seconds = wanted.run_milliseconds / 1000
        with self._lock:
            if not self._ledger.instances(wanted.service):
                raise ServiceUnknown(shard=self._shard, service=wanted.service)
            queue = self._waiting.setdefault(wanted.service, deque())
            if not queue:
                grant = self._grant(wanted.service, wanted.avoid or (), run_seconds)
                if grant is not None:
                    return grant
            if not wanted.wait_milliseconds:
                raise WaitOver(service=wanted.service, retry_after=_RETRY_SECONDS)
            if len(queue) >= waiting_limit:
                raise WaitingFull(
                    service=wanted.service,
                    waiting=len(queue),
                    retry_after=_RETRY_SECONDS,
                )
            waiting = _Waiting(
                Future(),
                now + wanted.wait_milliseconds / 1000,
                wanted.avoid or (),
                run_seconds,
            )
            queue.append(waiting)
            return waiting.future

    def release(self, grant_id):
        """Take a slot back and hand it to the next that waits."""
        with self._lock:
            self._held.pop(grant_id, None)
            try:
                self._ledger.give_back(grant_id)
            except ReservationUnknown:
                # Released twice, or reconciled with the backend server before
                # the release came.
                return
            granted = self._serve_waiting()
        _settle(granted)

    def expire(self):
        """Refuse those whose time to wait is over, at once."""
        now = self._clock.monotonic()
        expired = []
        with self._lock:
            for service, queue in self._waiting.items():
                kept = deque(found for found in queue if found.deadline > now)
                if len(kept) < len(queue):
                    expired += [
                        (service, found) for found in queue if found.deadline <= now
                    ]
                    self._waiting[service] = kept
        for service, found in expired:
            found.future.set_exception(
                WaitOver(service=service, retry_after=_RETRY_SECONDS)
            )

    def serve_waiting(self):
        """Hand out slots that came free without a release."""
        with self._lock:
            granted = self._serve_waiting()
        _settle(granted)

    def refuse_all(self, error):
        """Refuse every request that waits, with a typed error."""
        with self._lock:
            queues, self._waiting = self._waiting, {}
        for queue in queues.values():
            for found in queue:
                found.future.set_exception(error)

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
            for request_id in running:
                self._ledger.restore(instance, request_id)
                self._held[request_id] = _Held(instance, now)

    def doubtful(self):
        """Return grants past their upper bound by instance, for reconciling.

        Returns
        -------
        dict of str to list
        """
        now = self._clock.monotonic()
        found = {}
        with self._lock:
            for grant, held in self._held.items():
                if held.doubtful_after <= now:
                    found.setdefault(held.instance, []).append(grant)
        return found

    def loads(self):
        """Return the load of each service, for heartbeats."""
        with self._lock:
            return [
                ServiceLoad(
                    service=service,
                    free_slots=self._ledger.free_slots(service),
                    waiting=len(self._waiting.get(service, ())),
                )
                for service in self._ledger.services()
            ]

    def held(self):
        """Return the number of slots given out."""
        with self._lock:
            return len(self._held)

    def with_ledger(self, change):
        """Run a change of the ledger under the desk's lock."""
        with self._lock:
            return change(self._ledger)

    def _grant(self, service, avoid, run_seconds):
        name = self._policy.choose(self._ledger, service, avoid)
        if name is None:
            return None
        grant_id = next(self._numbers)
        try:
            self._ledger.take(name, grant_id)
        except LedgerError:
            return None
        doubtful_after = self._clock.monotonic() + run_seconds + _GRANT_MARGIN
        self._held[grant_id] = _Held(name, doubtful_after)
        return SlotGrant(
            grant_id=grant_id,
            shard=self._shard,
            epoch=self._epoch,
            instance=name,
            url=self._ledger.url(name),
        )

    def _serve_waiting(self):
        granted = []
        now = self._clock.monotonic()
        for service, queue in self._waiting.items():
            while queue:
                first = queue[0]
                if first.deadline <= now:
                    break
                grant = self._grant(service, first.avoid, first.run_seconds)
                if grant is None:
                    break
                queue.popleft()
                granted.append((first.future, grant))
        return granted


def _settle(granted):
    # Outside the lock: a future's callbacks send to peers and may take time.
    for future, grant in granted:
        future.set_result(grant)
