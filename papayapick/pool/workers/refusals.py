"""Whether a worker that answers polls refuses the connections for its orders."""

from papayapick.pool.workers.events import ORDERS_REFUSED

__all__ = ["OrderRefusals"]

# Then another order may find out whether the worker accepts it.
_REFUSED_SECONDS = 1.0


class OrderRefusals:
    """Track whether the orders to one worker get through.

    Guards against a worker that seems sound, as it answers polls over a connection of
    before, and has none left for orders: each start there would count as unanswered,
    and its task wait until the stop of that start gets through.

    Parameters
    ----------
    worker : str
    clock : Clock
    """

    __slots__ = ("_clock", "_refused_at", "_worker")

    def __init__(self, worker, clock):
        self._worker = worker
        self._clock = clock
        self._refused_at = float("-inf")

    @property
    def are_recent(self):
        """Return whether an order was refused, and none was answered since."""
        return self._clock.monotonic() - self._refused_at < _REFUSED_SECONDS

    def note_order(self, is_answered, is_refused):
        """Note the outcome of an order.

        Parameters
        ----------
        is_answered : bool
        is_refused : bool
            Whether the worker refuses new connections now.
        """
        if is_answered:
            self._refused_at = float("-inf")
        elif is_refused:
            if not self.are_recent:
                ORDERS_REFUSED.write(worker=self._worker)
            self._refused_at = self._clock.monotonic()
