"""Admit requests to the queue for the slots of one service, or refuse them."""

from papayapick.placer.exceptions import SlotWaitExpired, WaitingQueueFull, WaitTooLong
from papayapick.placer.fair_queue import DrainRate, FairQueue

__all__ = ["ServiceQueue"]

_DEFAULT_RETRY_SECONDS = 0.5
_MIN_RETRY_SECONDS = 0.1
_MAX_RETRY_SECONDS = 30.0


class ServiceQueue:
    """Queue the requests for one service that can be served in time.

    In all methods ``now`` is in monotonic seconds and ``busy`` is the number of
    the service's slots in use.

    Parameters
    ----------
    name : str
        Name of the service.
    generator : random.Random
        Adds jitter to the retry delays of refused callers.
    """

    __slots__ = ("_drain_rate", "_generator", "_name", "requests")

    def __init__(self, name, generator):
        self.requests = FairQueue()
        self._name = name
        self._generator = generator
        self._drain_rate = DrainRate()

    def note_end(self, now, held_seconds):
        """Record that a slot was freed after it was held for some seconds."""
        self._drain_rate.note_end(now, held_seconds, bool(len(self.requests)))

    def check_wait(self, caller, wait_seconds, now, busy):
        """Raise if a new request could not be served within its wait.

        A caller that is refused on arrival can still retry, while one that is
        refused at its deadline can't.

        Raises
        ------
        SlotWaitExpired
            The request does not wait.
        WaitTooLong
            The estimated wait exceeds the time that the request may wait.
        """
        if not wait_seconds:
            raise SlotWaitExpired(
                service=self._name, retry_after=self._retry_after(now, busy)
            )
        rate = self._drain_rate.estimate(now, busy)
        if not rate:
            return
        if (self.requests.ahead_of(caller) + 1) / rate > wait_seconds:
            raise WaitTooLong(
                service=self._name, retry_after=self._retry_after(now, busy)
            )

    def make_room(self, caller, waiting_limit, now, busy):
        """Evict a request if the queue is full.

        Returns
        -------
        list of (concurrent.futures.Future, PlacerError)
            Future and error of the evicted request; empty if there was room.

        Raises
        ------
        WaitingQueueFull
            No request may be evicted for this caller.
        """
        if len(self.requests) < waiting_limit:
            return []
        victim = None
        if waiting_limit:
            # Without eviction, a burst of one caller would fill the queue and
            # all other callers would be refused.
            victim = self.requests.evict_for(caller)
        error = WaitingQueueFull(
            service=self._name,
            waiting=len(self.requests),
            retry_after=self._retry_after(now, busy),
        )
        if victim is None:
            raise error
        return [(victim.future, error)]

    def remove_expired(self, now, busy):
        """Remove requests past their deadline; return their futures and errors."""
        return self._with_expiry_errors(self.requests.remove_expired(now), now, busy)

    def remove_unservable(self, now, busy):
        """Remove requests that can't be served in time; return futures and errors."""
        rate = self._drain_rate.estimate(now, busy)
        if not rate:
            return []
        return self._with_expiry_errors(
            self.requests.remove_unservable(now, rate), now, busy
        )

    def _with_expiry_errors(self, removed, now, busy):
        return [
            (
                queued.future,
                SlotWaitExpired(
                    service=self._name, retry_after=self._retry_after(now, busy)
                ),
            )
            for queued in removed
        ]

    def _retry_after(self, now, busy):
        """Return the seconds until the queue has drained, with jitter.

        Without jitter, callers that were refused together would retry together
        and find the queue full again.
        """
        rate = self._drain_rate.estimate(now, busy)
        if rate:
            seconds = (len(self.requests) + 1) / rate
        else:
            seconds = _DEFAULT_RETRY_SECONDS
        seconds = max(_MIN_RETRY_SECONDS, seconds) * (1 + self._generator.random())
        return min(_MAX_RETRY_SECONDS, seconds)
