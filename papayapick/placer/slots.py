"""Grant slots, and queue requests for a while when there are none."""

import itertools
import random
import threading
from concurrent.futures import Future

from papayapick.ledger import LedgerError, ReservationUnknown
from papayapick.placer.exceptions import ServiceUnknown
from papayapick.placer.grants import HeldGrant, HeldGrants
from papayapick.placer.lines import ServiceLine
from papayapick.placer.waiting import Waiting
from papayapick.wire.messages import ServiceLoad, SlotGrant

__all__ = ["SlotDesk"]

_GRANT_MARGIN = 1.0
_DONE, _LEAVING, _UNKNOWN = "done", "leaving", "unknown"


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
        "_lines",
        "_lock",
        "_numbers",
        "_policy",
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
        self._held = HeldGrants()
        self._lines = {}
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
            line = self._line(wanted.service)
            if not len(line.queue):
                grant = self._grant(wanted, now)
                if grant is not None:
                    return grant
            busy = self._held.count(wanted.service)
            caller = wanted.caller or ""
            line.check_wait(caller, wait_seconds, now, busy)
            evicted = line.make_room(caller, waiting_limit, now, busy)
            waiting = Waiting(Future(), now + wait_seconds, wanted)
            line.queue.add(waiting)
        _settle(evicted)
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
            ended = self._held.ended(instance, running, now)
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
            for name, line in self._lines.items():
                if not len(line.queue):
                    continue
                busy = self._held.count(name)
                refused += line.remove_expired(now, busy)
                refused += line.remove_hopeless(now, busy)
        _settle(refused)

    def serve_waiting(self):
        """Hand out slots that came free without a release."""
        now = self._clock.monotonic()
        settled = []
        with self._lock:
            for name in self._lines:
                settled += self._serve(name, now)
        _settle(settled)

    def refuse_all(self, error):
        """Refuse every request that waits, with a typed error."""
        with self._lock:
            found = [
                waiting
                for line in self._lines.values()
                for waiting in line.queue.take_all()
            ]
        _settle([(waiting.future, error) for waiting in found])

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
            known = self._held.request_ids(instance)
            for request_id in running:
                # After a return from leaving, some are this owner's grants.
                if request_id in known:
                    continue
                self._ledger.restore(instance, request_id)
                held = HeldGrant(instance, service, request_id, now, now)
                self._held.add(request_id, held)

    def doubtful(self):
        """Return the instances to ask about calls whose end is in doubt.

        Returns
        -------
        list of str
        """
        now = self._clock.monotonic()
        with self._lock:
            return self._held.doubtful_instances(now)

    def loads(self):
        """Return the load of each service, for heartbeats."""
        with self._lock:
            return [
                ServiceLoad(
                    service=name,
                    free_slots=self._policy.free_slots(self._ledger, name),
                    waiting=len(self._line(name).queue),
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

    def _line(self, name):
        found = self._lines.get(name)
        if found is None:
            found = self._lines[name] = ServiceLine(name, self._generator)
        return found

    def _service_of(self, instance):
        return next(
            name
            for name in self._ledger.services()
            if instance in self._ledger.instances(name)
        )

    def _grant(self, wanted, now):
        avoid = wanted.avoid or ()
        name = self._policy.choose(self._ledger, wanted.service, avoid)
        if name is None:
            return None
        grant_id = next(self._numbers)
        try:
            self._ledger.reserve(name, grant_id)
        except LedgerError:
            return None
        # The gateway may use the grant until its longest wait and the use window
        # are over, which may be later than a short run's upper bound: asked
        # before, the backend server would not know of the call yet, and the
        # slot would go to a second one.
        longest = max(wanted.run_milliseconds, wanted.wait_milliseconds or 0) / 1000
        doubtful_after = now + longest + _GRANT_MARGIN
        held = HeldGrant(name, wanted.service, wanted.request_id, now, doubtful_after)
        self._held.add(grant_id, held)
        self._policy.granted(wanted.service, name, grant_id)
        return SlotGrant(
            grant_id=grant_id,
            shard=self._shard,
            epoch=self._epoch,
            instance=name,
            url=self._ledger.url(name),
        )

    def _free(self, grant_id, held, now):
        self._held.remove(grant_id)
        self._line(held.service).note_end(now, now - held.granted_at)
        try:
            self._ledger.release(grant_id)
        except ReservationUnknown:
            # The instance was removed meanwhile, and its slots with it.
            return

    def _serve(self, name, now):
        """Give free slots to those whose turn it is; refuse the expired."""
        line = self._line(name)
        settled = line.remove_expired(now, self._held.count(name))
        while (first := line.queue.first()) is not None:
            grant = self._grant(first.wanted, now)
            if grant is None:
                break
            line.queue.take_first()
            settled.append((first.future, grant))
        return settled


def _settle(settled):
    # Outside the lock: a future's callbacks send to peers and may take time.
    for future, result in settled:
        if isinstance(result, SlotGrant):
            future.set_result(result)
        else:
            future.set_exception(result)
