"""Decide who may wait for a slot of one service, and who is refused."""

from papayapick.placer.exceptions import SlotWaitExpired, WaitingQueueFull, WaitTooLong
from papayapick.placer.fair_queue import DrainRate, FairQueue

__all__ = ["ServiceQueue"]

_DEFAULT_RETRY_SECONDS = 0.5
_LEAST_RETRY_SECONDS = 0.1
_LONGEST_RETRY_SECONDS = 30.0


class ServiceQueue:
    """Queue the requests for one service while their wait can end well.

    In all methods ``busy`` is the number of the service's slots in use.

    Parameters
    ----------
    name : str
        Of the service.
    generator : random.Random
        Spreads the moments at which refused callers come back.
    """

    __slots__ = ("_drain", "_generator", "_name", "queue")

    def __init__(self, name, generator):
        self.queue = FairQueue()
        self._name = name
        self._generator = generator
        self._drain = DrainRate()

    def note_end(self, now, held_seconds):
        """Note a slot that came free."""
        self._drain.note_end(now, held_seconds, bool(len(self.queue)))

    def check_wait(self, caller, wait_seconds, now, busy):
        """Raise where waiting can't end well: better refused now than late.

        Raises
        ------
        WaitOver, WaitTooLong
        """
        if not wait_seconds:
            raise SlotWaitExpired(
                service=self._name, retry_after=self._retry_after(now, busy)
            )
        rate = self._drain.estimate(now, busy)
        if not rate:
            return
        if (self.queue.ahead_of(caller) + 1) / rate > wait_seconds:
            raise WaitTooLong(
                service=self._name, retry_after=self._retry_after(now, busy)
            )

    def make_room(self, caller, waiting_limit, now, busy):
        """Evict a request where the queue is full.

        Returns
        -------
        list of (concurrent.futures.Future, PlacerError)

        Raises
        ------
        WaitingFull
            None may be evicted for this caller.
        """
        if len(self.queue) < waiting_limit:
            return []
        victim = None
        if waiting_limit:
            # One caller's flood must not keep the others out of the queue.
            victim = self.queue.evict_for(caller)
        error = WaitingQueueFull(
            service=self._name,
            waiting=len(self.queue),
            retry_after=self._retry_after(now, busy),
        )
        if victim is None:
            raise error
        return [(victim.future, error)]

    def remove_expired(self, now, busy):
        """Remove requests whose time is over; return futures and errors."""
        return self._wait_over(self.queue.remove_expired(now), now, busy)

    def remove_unservable(self, now, busy):
        """Remove requests whose time can't suffice; return futures and errors."""
        rate = self._drain.estimate(now, busy)
        if not rate:
            return []
        return self._wait_over(self.queue.remove_unservable(now, rate), now, busy)

    def _wait_over(self, removed, now, busy):
        return [
            (
                waiting.future,
                SlotWaitExpired(
                    service=self._name, retry_after=self._retry_after(now, busy)
                ),
            )
            for waiting in removed
        ]

    def _retry_after(self, now, busy):
        """Return when the present queue should be gone, spread out.

        Callers refused together would come back together, and find it full
        again.
        """
        rate = self._drain.estimate(now, busy)
        if rate:
            seconds = (len(self.queue) + 1) / rate
        else:
            seconds = _DEFAULT_RETRY_SECONDS
        seconds = max(_LEAST_RETRY_SECONDS, seconds) * (1 + self._generator.random())
        return min(_LONGEST_RETRY_SECONDS, seconds)
