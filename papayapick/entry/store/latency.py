"""Measure the minimum latency of the store as seen from this host."""

__all__ = ["StoreLatency"]

# Operations that read one row or write one group. Those that wait for changes or read
# whole tables show nothing about the latency.
_SHORT_OPERATIONS = frozenset(("read", "transact"))
_ANSWERED = "200"


class StoreLatency:
    """Hold the shortest duration of a short store call from this host.

    A single sample is not enough: while the store is slow or this process starts, a
    call takes many times the network round trip. The minimum of all calls comes close
    to the round trip, and an outage does not raise it, since each attempt is measured
    separately.

    Attributes
    ----------
    seconds : float or None
        None before the first answered call.
    """

    __slots__ = ("seconds",)

    def __init__(self):
        self.seconds = None

    def note_call(self, operation, outcome, seconds):
        """Record the duration of one call.

        Parameters
        ----------
        operation, outcome : str
            As ``Store`` passes them to its observer.
        seconds : float
        """
        if operation not in _SHORT_OPERATIONS or outcome != _ANSWERED:
            return
        if self.seconds is None or seconds < self.seconds:
            self.seconds = seconds
